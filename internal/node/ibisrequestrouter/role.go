package ibisrequestrouter

import "net/http"

// headerRole is the header that names the role of the receiving node in a forwarded request.
const headerRole = "X-Ibis-Role"

// role is the function of a node in the handling of one request.
type role string

const (
	// roleEntry is the node that received the request from its caller; headerRole never names it.
	roleEntry role = "door"
	// roleOwner is the node that owns the slot of the request's key, or of its idempotency key if the service is not
	// divided by key.
	roleOwner role = "owner"
	// roleServer is the node that sends the request to its own backend server.
	roleServer role = "server"
)

// roleOf returns the role that the header of a forwarded request names, and whether it is a valid one.
func roleOf(r *http.Request) (role, bool) {
	given := role(r.Header.Get(headerRole))
	return given, given == roleOwner || given == roleServer
}
