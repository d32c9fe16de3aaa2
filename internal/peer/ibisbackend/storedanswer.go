package ibisbackend

import (
	"bytes"
	"io"
	"net/http"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// NotRun reports whether no byte of the request was sent.
func (r Result) NotRun() bool { return r.Outcome == ibisid.OutcomeNotRun }

// NewStoredAnswer returns an Answer with a stored status, header and complete body.
func NewStoredAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{
		status: status,
		header: header,
		length: int64(len(body)),
		body: &answerBody{
			body:        io.NopCloser(bytes.NewReader(body)),
			cancel:      func() {},
			remaining:   int64(len(body)),
			lengthKnown: true,
		},
	}
}

// WithBody returns a copy of the answer whose body is read from the reader. Closing it closes the reader, if that is an
// io.Closer, and then the original body.
func (a *Answer) WithBody(reader io.Reader) *Answer {
	with := *a
	with.replacement = reader
	return &with
}

// replacedBody reads from Reader; closing it also closes the original body.
type replacedBody struct {
	io.Reader
	io.Closer
}

// Close closes the reader, if it is an io.Closer, before the original body, which the reader may be reading.
func (b replacedBody) Close() error {
	if c, ok := b.Reader.(io.Closer); ok {
		_ = c.Close()
	}
	return b.Closer.Close()
}
