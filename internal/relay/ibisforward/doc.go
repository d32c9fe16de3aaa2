// Package ibisforward sends orders from one node to another over HTTP/1.1 and persistent connections; one header contains the
// fields of an order that the HTTP request itself does not carry.
//
// Cancelling an order closes its connection, which the other node detects at once. The time left is sent as a duration,
// because the clocks of instances differ. An answer of a backend server is passed on unchanged; a refusal of the node itself
// is marked by the outcome in the answer header.
package ibisforward
