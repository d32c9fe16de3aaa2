// Package ibisserver is a stand-in backend server: it announces itself, has slots, connections and a cold start, checks
// grants or not, turns straggler on demand, and counts what it ran by key and by idempotency key.
//
// Lock order: the server's lock is a leaf; it is never held while a request waits, runs or is answered.
package ibisserver
