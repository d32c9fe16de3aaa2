// Package ibisevidence shares with all nodes which requests backend servers had when they ended.
//
// Each pair of a request and a server is one row, whose name says all; a node that sees the server run the request to an answer removes
// the row. A Reporter writes and removes rows in batches, so that the requests of one server's end cost one commit, and those
// that another server soon answers cost none. Rows carry a digest of the request and nothing of its content.
//
// Lock order: Reporter.mu is never held while the store is called.
package ibisevidence
