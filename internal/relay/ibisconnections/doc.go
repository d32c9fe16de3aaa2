// Package ibisconnections tracks the accepted connections of callers and decides which of them have exceeded a time limit:
// they have been idle for too long, or too slow with the headers of a request.
//
// The node's listener reports state changes of its connections and closes those that are overdue. net/http's own time limits
// are fixed when the server starts; these follow every change of the configuration.
package ibisconnections
