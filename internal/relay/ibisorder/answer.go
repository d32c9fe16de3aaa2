package ibisorder

import (
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Reason says why an order was not run, or why nothing is known of it.
type Reason string

const (
	// ReasonServerFull means that the backend server itself turned the request away.
	ReasonServerFull Reason = "serverFull"
	// ReasonOtherServer means that the node has no backend server, or one of another service.
	ReasonOtherServer Reason = "otherServer"
	// ReasonServerEnded means that the backend server's port takes no connections.
	ReasonServerEnded Reason = "serverEnded"
	// ReasonConnections means that the backend server takes no more connections.
	ReasonConnections Reason = "connections"
	// ReasonKeyElsewhere means that another node owns the key.
	ReasonKeyElsewhere Reason = "keyElsewhere"
	// ReasonKeyMoving means that the key is on its way to another backend server.
	ReasonKeyMoving Reason = "keyMoving"
	// ReasonUnreachable means that the node could not be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCancelled means that the caller left.
	ReasonCancelled Reason = "cancelled"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBroken means that the connection or the answer broke after the request was sent.
	ReasonBroken Reason = "broken"
	// ReasonNoServer means that no backend server of the service takes work.
	ReasonNoServer Reason = "noServer"
	// ReasonBusy means that every backend server that may run the request is busy.
	ReasonBusy Reason = "busy"
	// ReasonStopping means that the node is about to end.
	ReasonStopping Reason = "stopping"
	// ReasonTooLong means that the body is longer than the configuration allows.
	ReasonTooLong Reason = "tooLong"
	// ReasonHeaderTooLong means that the headers are longer than the configuration allows.
	ReasonHeaderTooLong Reason = "headerTooLong"
	// ReasonNoRoute means that no route matches.
	ReasonNoRoute Reason = "noRoute"
	// ReasonNoConfig means that no configuration is known yet.
	ReasonNoConfig Reason = "noConfig"
	// ReasonBadRequest means that the request can't be read.
	ReasonBadRequest Reason = "badRequest"
)

// ShortAnswer is the greatest answer, in bytes, that is read whole and sent in one piece: most of the users' answers, at a
// page or two of memory each. Longer ones go in pieces of that size.
const ShortAnswer = 16 << 10

// Answer is how an order ended.
type Answer struct {
	// Outcome is OutcomeDone with the backend server's answer, OutcomeNotRun, or OutcomeUnknown.
	Outcome ibisid.Outcome
	// Reason says why there is no answer of a backend server.
	Reason Reason
	// RetryAfter is when there may be room again, zero where nothing is known.
	RetryAfter time.Duration
	// Owner is the node that owns the key, where the reason is ReasonKeyElsewhere.
	Owner ibisid.NodeName
	// PageVersion is the version of the page that says so.
	PageVersion uint64
	// Arrived says that the request reached a backend server, also where that turned it away.
	Arrived bool
	// Load is what runs and waits at the gate as a share of its limit; negative where it isn't known.
	Load float64
	// Status is the backend server's status.
	Status int
	// Header holds the backend server's end-to-end headers.
	Header http.Header
	// Length is the length of the body, -1 where it isn't known.
	Length int64
	// Body reads the backend server's body; it must be closed. Nil where there is no answer.
	Body io.ReadCloser
	// Err is the error behind the reason, for the logs.
	Err error
}

// NotRun returns the answer to an order that was not run.
func NotRun(reason Reason, retryAfter time.Duration, err error) Answer {
	return Answer{
		Outcome:    ibisid.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
		Load:       -1,
		Err:        err,
	}
}

// Unknown returns the answer to an order that may have run.
func Unknown(reason Reason, err error) Answer {
	return Answer{
		Outcome: ibisid.OutcomeUnknown,
		Reason:  reason,
		Arrived: true,
		Load:    -1,
		Err:     err,
	}
}
