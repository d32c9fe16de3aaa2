package ibisgate

import (
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

const (
	// ReasonNoServer means that the backend server has not announced itself within ibisbackend.AnnounceTimeout, or has been
	// replaced.
	ReasonNoServer ibisadmit.Reason = "noServer"
	// ReasonCallerGone means that the caller disconnected while its request was waiting.
	ReasonCallerGone ibisadmit.Reason = "callerGone"
)

const noServerRetryAfter = time.Second

// RefusedError is the error of a request that the gate did not send to the backend server.
type RefusedError struct {
	// Reason is the cause of the refusal.
	Reason ibisadmit.Reason
	// RetryAfter is the time after which the gate may admit requests again; zero means that the request should be sent to
	// another node.
	RetryAfter time.Duration
}

// Error returns the refusal with its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server's gate refused: %s", e.Reason)
}
