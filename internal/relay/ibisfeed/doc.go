// Package ibisfeed keeps a node up to date with one table of the metadata store: a Follower reads the table in full once
// and then applies a feed of changes.
//
// If the store no longer has the history that a feed needs, the follower reads the table in full again. After a failure its
// requests wait for changes for a shorter time, since a store that stopped answering may have lost the request.
package ibisfeed
