// Package ibishead checks the heads of HTTP/1 responses as their bytes arrive, before net/http parses them: net/http accepts some that no
// sound server sends, and reads other answers out of them than their sender meant.
//
// A Conn fails its reads from the first fault on, so that the response fails and the connection can't be used again. Transport puts it
// under an http.Transport.
package ibishead
