// Package ibisrowcache holds a node's cache of the coordination rows of the platform's table: the rows of members, deaths
// and pages (the owners of slots). Nodes replicate the rows to each other. The pure core ibisgossip decides which rows are
// sent to which neighbours; this package does the I/O and notifies subscribers of changed rows.
//
// The cache accepts only higher versions of a row, whatever their source. Rows that this node committed or read
// are published here; rows that other nodes published are applied in the same way. A node that starts copies the rows from
// nodes that the settings or a contact row of the table name, and from the table itself only if none of them answers.
//
// Lock order: Rows.mu is a leaf: no other lock is acquired while it is held. Subscribers are called one at a time, in the
// order in which the rows were applied, without the lock; they may publish rows.
package ibisrowcache
