// Package ibisgate performs admission control for a node's own backend server: every request to that server goes through
// its Gate.
//
// Package ibisadmit decides which requests run, wait or are refused. This package serializes the events of that core,
// wakes the waiting requests and sends the admitted ones to the backend server. Routing (ibisrequestrouter) sends its requests
// through the gate; the backend server's announcements say where it listens and how many requests it can run.
//
// Lock order: Gate.mu is a leaf: no other lock is acquired, and no callback is called, while it is held.
package ibisgate
