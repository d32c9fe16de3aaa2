// Package ibisfeed keeps a node up to date with one table of the metadata store: a Follower reads the table in full once
// and then applies a feed of changes.
//
// If the store no longer has the history that a feed needs, the follower reads the table in full again. After a failure its
// requests wait for changes for a shorter time, since a store that stopped answering may have lost the request.
//
// Other nodes may offer changes that they have read. Wherever changes come from, they are applied only where they continue what
// was applied before, so that the table never goes back.
package ibisfeed
