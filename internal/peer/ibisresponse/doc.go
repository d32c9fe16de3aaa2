// Package ibisresponse checks HTTP/1 responses as a client reads them: their heads, out of which net/http reads other answers than their
// sender meant, and the end of their connection, which may only look orderly.
//
// The reads of a Conn fail from the first malformed head on, so that the response fails and the connection can't be used again. A socket
// reports a reset once, to a read or a write; a Conn whose write got the report doesn't end in order either. Transport puts Conns
// under an http.Transport.
package ibisresponse
