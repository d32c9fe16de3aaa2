// Package ibisrollout decides how a committed revision of the document reaches every node and is applied there. A version is
// in force on a node once the node has compiled it and uses it. The package ibisdocsync runs these decisions over the
// network.
//
// The live nodes of a failure domain form a tree, ordered by a rendezvous hash. Its root, the watcher, reads the head row,
// which holds the latest committed version. A hint carries the version in force on its sender: hints go down the tree, a node
// fetches the missing records from the sender of the hint, and reports of the versions in force go up the tree. Watchers
// send hints to each other, and heartbeat acknowledgements carry the version too, so a region that cannot reach the
// platform's table still receives new versions from the other regions. A node never applies a lower revision than the one
// it has in force, whichever source offers it.
//
// A Replica decides for one node; a Rollout tracks one change until all failure domains have confirmed it. Both do no I/O:
// they take events, a Replica also the current time, and a Replica returns the effects to run.
package ibisrollout
