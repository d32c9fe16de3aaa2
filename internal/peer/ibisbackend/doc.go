// Package ibisbackend implements the protocol between a node and its backend server.
//
// A backend server sends announcements to its node by an Announcer; they also serve as keep-alives. The node sends
// requests by a Client, which reports exactly whether any byte of a request was written to a connection and never sends
// a request twice. Nodes use the same Client to forward requests to each other.
//
// Lock order: no other lock is taken while the lock of a handover is held.
package ibisbackend
