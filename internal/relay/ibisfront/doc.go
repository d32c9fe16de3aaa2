// Package ibisfront takes requests from callers and brings each to a node whose backend server can run it.
//
// It matches the route, picks the service and the node, and tries again elsewhere only what has not run, or may run
// twice, while time, attempts and the retry budget allow it. The node beside the backend server decides whether the
// request is admitted; what the front knows of load is a hint with an age.
//
// Lock order: Front.mu is never held while something is sent.
package ibisfront
