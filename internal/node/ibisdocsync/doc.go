// Package ibisdocsync keeps a node's copy of the document, the shared configuration of all nodes, in sync with the
// platform's table and with the other nodes. The pure core ibisrollout decides when to read, fetch and apply revisions; the
// Replicator of this package does the I/O, compiles each revision that comes into force and passes it to the other
// components of the node.
//
// A version names one state of the document; its revision is its number. The watcher of a failure domain is the node that
// reads the platform's table for the domain and reports which nodes have a revision in force. Neighbours are nodes that
// exchange versions, so that a node can detect that it is cut off.
//
// Lock order: Replicator.applying before Replicator.mu. Replicator.mu guards the core and the sections in force; no other
// lock is acquired, and no callback is called, while it is held. Under Replicator.applying, revisions are compiled and
// passed to the subscribers one at a time; the compiler recompiles only the changed parts.
package ibisdocsync
