// Package ibisconnections tracks the accepted connections of a listener and closes those that have exceeded a time limit, since
// they have been idle for too long or too slow with the headers of a request, or that are idle when the node stops.
//
// net/http's own time limits are fixed when the server starts; these follow every change of the configuration. Closing an idle
// connection and reading the first byte of a request exclude each other, which http.Server.Shutdown does not provide.
//
// Lock order: Connections before conn; a conn takes the lock of its Connections only while its own is free.
package ibisconnections
