// Package ibisrowcache replicates the coordination rows of the platform's table to every node: the rows of members, deaths and
// pages (the owners of slots). The pure core ibisgossip decides which rows are sent to which neighbours; this package does
// the I/O and notifies subscribers of changed rows.
//
// The copies are a cache that accepts only higher versions, whatever their source. Rows that this node committed or read
// are published here; rows that other nodes published are applied in the same way. A node that starts copies the rows from
// nodes that the settings or a contact row of the table name, and from the table itself only if none of them answers.
//
// Lock order: Rows.mu is a leaf: no other lock is acquired while it is held. Subscribers are called one at a time, in the
// order in which the rows were applied, without the lock; they may publish rows.
package ibisrowcache
