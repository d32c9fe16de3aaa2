// Package ibiskeep decides which backend server owns which keys of a service that is divided by key.
//
// The keys of a service are ranges in one row of the store, the page. A range names its owner, one life of a backend
// server with the node beside it, and a fencing token that rises with every change of owner. A node grants ranges to its
// own backend server only, in the answers to heartbeats, and never for longer than the node's lease, which is another
// row of the same partition. Three rules keep an owner sole:
//
//   - A grant ends before the lease, and the lease counts from when its renewal was sent.
//   - A lapsed owner's ranges are taken by a commit that requires the lease row unchanged for a whole term of the
//     store's clock.
//   - A live owner gives a range away itself, after its backend server released the range, ended, or can't hold it any more.
//
// A Keeper is a pure core: events and the time go in, effects come out. It answers these faults: loss of a node, a
// backend server or both, cuts from the store, answers lost and writes that apply late, suspension at any step, and a
// backend server that starts again under its old id.
package ibiskeep
