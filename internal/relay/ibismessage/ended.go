package ibismessage

import (
	"fmt"

	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// ServerEndedError is the error of an answer's body whose backend server ended before the answer was complete.
type ServerEndedError struct {
	// Server is the incarnation of the backend server.
	Server ibisroster.ServerIncarnation
	// Err is the error of the connection.
	Err error
}

// Error returns the id of the backend server and the error of the connection.
func (e *ServerEndedError) Error() string {
	return fmt.Sprintf("backend server %s ended: %v", e.Server.ID, e.Err)
}

// Unwrap returns the error of the connection.
func (e *ServerEndedError) Unwrap() error { return e.Err }
