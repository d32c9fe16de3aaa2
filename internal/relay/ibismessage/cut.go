package ibismessage

import (
	"context"
	"errors"
	"fmt"

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

// Cut is the error of an answer that was not written in full.
type Cut struct {
	// Cause is why.
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

// NewCut returns the error of an answer that ended with err; cause is the cause unless the context had ended before.
func NewCut(ctx context.Context, cause CutCause, err error) *Cut {
	if ended := context.Cause(ctx); errors.Is(ended, ErrExiting) {
		cause = CutCauseExit
	} else if ended != nil {
		cause = CutCauseCallerLeft
	}
	return &Cut{
		Cause: cause,
		Err:   err,
	}
}

// Error returns the cause and the error that ended the answer.
func (c *Cut) Error() string {
	return fmt.Sprintf("answer cut off after %d of %d bytes (%s): %v", c.SentBytes, c.Length, c.Cause, c.Err)
}

// Unwrap returns the error that ended the answer.
func (c *Cut) Unwrap() error { return c.Err }
