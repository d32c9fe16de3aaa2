// Package ibispipeline runs the requests that a caller pipelines on one connection concurrently and returns their answers in the
// order of the requests.
//
// net/http stays the parser and the server. A connection is passed to http.Server as it is until bytes arrive behind a request
// that has not been answered yet. From then on its byte stream is split at the ends of requests: complete GET and HEAD requests
// without a body go to virtual connections of the same http.Server, whose output is joined in order; any other request waits
// until all before it have been answered and goes to the first connection alone.
//
// Whether a request is idempotent is decided by its route, which only its handler knows: it calls Conn.Admit before it passes the
// request on.
//
// Lock order: socket before the locks of the tracker and the budget. http.Server's lock may be held when it closes a Conn, so no
// method of http.Server is called with a socket's lock held.
package ibispipeline
