// Package ibisgate performs admission control for a node's own backend server: every request to that server goes through
// its Gate.
//
// Package ibisadmit decides which requests run, wait or are refused. This package serializes the events of that core,
// wakes the waiting requests and sends the admitted ones to the backend server. The request router (ibisrequestrouter)
// sends its requests through the gate. The backend server's announcements contain its address and the number of requests
// that it can run.
//
// Lock order: Gate.mu is a leaf: no other lock is acquired, and no callback is called, while it is held.
package ibisgate
