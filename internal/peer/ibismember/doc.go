// Package ibismember carries the communication between nodes: control calls by net/rpc over persistent connections, and
// forwarded requests by net/http. Both use one listener, which may require mutual TLS.
//
// A Pool sends control calls, a Forwarder sends forwarded requests, and a Server receives both.
//
// Lock order: Pool.mu is never held while a connection is dialled or a call runs.
package ibismember
