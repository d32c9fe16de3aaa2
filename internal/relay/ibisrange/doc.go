// Package ibisrange decides which backend server owns which keys of a service that is divided by key.
//
// The keys of a service are divided into ranges, which are stored together in one row of the store, the page. A range
// names its owner, which is one run of a backend server and the node beside it, and carries a fencing token that increases
// with every change of owner. A node grants ranges only to its own backend server, in the answers to heartbeats or by calls
// (Delivery), and never for longer than the node's lease, which is another row of the service's partition. Three rules ensure
// that a key has at most one holder:
//
//   - A grant ends before the lease does, and the term of the lease counts from when its renewal was sent.
//   - The ranges of an owner whose lease has lapsed are reassigned by a commit on the condition that the lease row is
//     unchanged. A lease has lapsed when, by the store's clock, its row has been unchanged for a full term or the end that
//     the row states has passed.
//   - An owner with a valid lease gives a range away itself, after its backend server has released the range, has ended, or
//     can no longer hold it.
//
// The store may come back from an older copy of its data, which begins a new era. Backend servers then keep what they hold, and
// nothing else is granted, moved or taken over until a page of the era stands.
//
// A Manager does no I/O: Update takes an event and the time and returns effects, which package ibisrangedriver carries out.
// Request routing uses the decoded Page to find the owner of a key. The rules hold under these faults: loss of a node, a
// backend server or both, disconnection from the store, lost answers and writes that take effect late, suspension at any
// step, a backend server that restarts under its old id, calls that are lost or carried out late, and a store that comes back
// from an older copy.
package ibisrange
