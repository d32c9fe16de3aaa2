package ibismessage

import (
	"context"
	"errors"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// ErrExiting is the cause of a context that ends because the process is about to exit.
var ErrExiting = errors.New("node exits")

// CutCause is why a request got no complete answer before its connection was closed.
type CutCause string

const (
	// CutCauseCallerLeft means that the caller's connection had ended before.
	CutCauseCallerLeft CutCause = "callerLeft"
	// CutCauseSource means that the answer broke off where it came from.
	CutCauseSource CutCause = "source"
	// CutCauseConnection means that writing to the caller's connection failed.
	CutCauseConnection CutCause = "connection"
	// CutCausePanic means that the handler of the request panicked.
	CutCausePanic CutCause = "panic"
	// CutCauseExit means that the process was about to exit.
	CutCauseExit CutCause = "exit"
)

// Cut describes an answer that was not written in full.
type Cut struct {
	// Cause is why it was not.
	Cause CutCause
	// Node is the node that the answer came from, empty if there was none.
	Node ibisid.NodeName
	// SentBytes is the number of bytes of the body that were written.
	SentBytes int64
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Err is the error that ended the answer.
	Err error
}

// CutCauseOf returns the given cause unless the context of the request has ended, which is the cause then.
func CutCauseOf(ctx context.Context, cause CutCause) CutCause {
	switch ended := context.Cause(ctx); {
	case ended == nil:
		return cause
	case errors.Is(ended, ErrExiting):
		return CutCauseExit
	}
	return CutCauseCallerLeft
}
