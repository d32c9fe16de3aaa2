// Package ibisbackend implements the protocol between a node and its backend server.
//
// A backend server sends announcements to its node by an Announcer; they also serve as keep-alives. The node sends
// requests by a Client, which reports exactly whether any byte of a request was written to a connection and never sends
// a request twice. Nodes use the same Client to forward requests to each other.
//
// Lock order: the lock of a sendGuard is held while Request.Check runs, and no lock of this package is taken under it.
package ibisbackend
