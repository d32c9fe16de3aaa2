package ibismessage

import (
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// Reason is why an order was not run, or why its result is unknown.
type Reason string

const (
	// ReasonServerFull means that the backend server itself rejected the request.
	ReasonServerFull Reason = "serverFull"
	// ReasonOtherServer means that the node has no backend server, or one of another service.
	ReasonOtherServer Reason = "otherServer"
	// ReasonServerEnded means that the backend server's port accepts no connections.
	ReasonServerEnded Reason = "serverEnded"
	// ReasonConnectionLimit means that the backend server accepts no more connections.
	ReasonConnectionLimit Reason = "connections"
	// ReasonKeyElsewhere means that another node owns the key.
	ReasonKeyElsewhere Reason = "keyElsewhere"
	// ReasonKeyMoving means that the ownership of the key is moving to another backend server.
	ReasonKeyMoving Reason = "keyMoving"
	// ReasonUnreachable means that the node could not be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonConnectionFailed means that the connection or the answer failed after the request was sent.
	ReasonConnectionFailed Reason = "broken"
	// ReasonServerReset means that the backend server reset the connection because it was full; the request may have run.
	ReasonServerReset Reason = "serverReset"
	// ReasonServerCrashed means that the backend server ended while it had the request.
	ReasonServerCrashed Reason = "serverCrashed"
	// ReasonQuarantined means that the request is blocked, since several backend servers ended while they had it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonNoServer means that no backend server of the service accepts work.
	ReasonNoServer Reason = "noServer"
	// ReasonBusy means that every backend server that may run the request is busy.
	ReasonBusy Reason = "busy"
	// ReasonStopping means that the node is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonTooLong means that the body is longer than the configuration allows.
	ReasonTooLong Reason = "tooLong"
	// ReasonHeaderTooLong means that the headers are longer than the configuration allows.
	ReasonHeaderTooLong Reason = "headerTooLong"
	// ReasonNoRoute means that no route matches.
	ReasonNoRoute Reason = "noRoute"
	// ReasonConfigUnverified means that no route matches, and that the configuration may be older than that of other nodes.
	ReasonConfigUnverified Reason = "configUnverified"
	// ReasonFaultyRoute means that the configuration of the matching route can't be used.
	ReasonFaultyRoute Reason = "faultyRoute"
	// ReasonUnauthorized means that the request carries no key of an account, and that its route requires one.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonFaultyAccount means that the request's key can't be assigned to one account, since the configuration of accounts has
	// a fault.
	ReasonFaultyAccount Reason = "faultyAccount"
	// ReasonAccountChanged means that the request's key has moved to another account since the request arrived.
	ReasonAccountChanged Reason = "accountChanged"
	// ReasonQuota means that the limit of the request's account is reached.
	ReasonQuota Reason = "quota"
	// ReasonQuotaUnknown means that the account has a limit, and that the node can't learn whether it is reached.
	ReasonQuotaUnknown Reason = "quotaUnknown"
	// ReasonNoConfig means that no configuration is known yet.
	ReasonNoConfig Reason = "noConfig"
	// ReasonInternal means that the node failed by a fault of its own while it handled the request.
	ReasonInternal Reason = "internal"
	// ReasonMemory means that the request does not fit into the memory that clients may hold at present.
	ReasonMemory Reason = "memory"
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "badRequest"
)

// MaxBufferedAnswerBytes is the greatest length of an answer, in bytes, that is buffered whole and sent in one write. It
// covers most of the users' answers at the cost of one or two pages of memory each; longer answers are sent in chunks of
// that size.
const MaxBufferedAnswerBytes = 16 << 10

// Answer is the result of an order.
type Answer struct {
	// Outcome is OutcomeDone with the backend server's answer, OutcomeNotRun, or OutcomeUnknown.
	Outcome ibisid.Outcome
	// Reason is why there is no answer of a backend server, empty if there is one.
	Reason Reason
	// RetryAfter is the time after which a retry may be admitted, zero if unknown.
	RetryAfter time.Duration
	// Owner is the node that owns the key if the reason is ReasonKeyElsewhere.
	Owner ibisid.NodeName
	// PageVersion is the version of the page that names Owner.
	PageVersion uint64
	// Arrived reports whether the request reached a backend server, even if that rejected it.
	Arrived bool
	// FailedByCalls reports that the backend server's answer is a failure because its calls to other services failed.
	FailedByCalls bool
	// Reset reports that the backend server reset or closed the connection before its answer was complete.
	Reset bool
	// Crashed is the incarnation of the backend server that ended while it had the request; zero if none did.
	Crashed ibisroster.ServerIncarnation
	// Load is the number of running and waiting requests at the node's admission, divided by its limit; negative if unknown.
	Load float64
	// Notice is what the node last heard from its backend server, absent if it has heard nothing that it can read.
	Notice ibisset.Option[ServerNotice]
	// Node is the node that the answer came from, empty if no node was asked.
	Node ibisid.NodeName
	// Status is the backend server's HTTP status.
	Status int
	// Header holds the backend server's end-to-end headers.
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Complete reports that the whole body is in memory.
	Complete bool
	// Body reads the backend server's body and must be closed; it is nil if there is no answer.
	Body io.ReadCloser
	// Err is the error that caused Reason, for the logs.
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
