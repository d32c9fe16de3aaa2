// Package ibistcp provides stand-ins on the level of connections: free addresses, and an HTTP server that answers with given
// bytes, which net/http's own server would not write.
package ibistcp
