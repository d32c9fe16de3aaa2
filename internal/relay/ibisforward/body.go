package ibisforward

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxDiscardedBytes is the length in bytes up to which http.Server reads the rest of a body after the answer, and keeps the
// connection.
const maxDiscardedBytes = 256 << 10

// RequestBody is the body of a request, which may be read on while the answer is written.
type RequestBody struct {
	io.ReadCloser
	length int64
	ended  atomic.Bool
}

// KeepBody returns the body of a request, which stays readable while the answer is written. Otherwise http.Server takes the rest
// of the body for itself before it sends the answer: the answer waits for the sender, and what a backend server still gets of
// the body lacks those bytes.
func KeepBody(w http.ResponseWriter, r *http.Request) *RequestBody {
	// It fails only for writers other than those of HTTP/1 connections.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return &RequestBody{
		ReadCloser: r.Body,
		length:     r.ContentLength,
	}
}

// Read reads the body.
func (b *RequestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// AnnounceClose announces in the header of an answer that its connection ends, if the rest of the body may be too long to wait
// for.
func (b *RequestBody) AnnounceClose(header http.Header) {
	if !b.isShort() && !b.ended.Load() {
		header["Connection"] = []string{"close"}
	}
}

// DiscardRest reads what is left of a short body, once its answer has been sent. If the end of the body were left to http.Server, it
// would read the connection twice at once after the handler's end, panic and close it. So it ends the handler, and with it the
// connection, if the body has no end since the sender has gone.
func (b *RequestBody) DiscardRest() {
	if !b.isShort() || b.ended.Load() {
		return
	}
	if _, err := io.Copy(io.Discard, b); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (b *RequestBody) isShort() bool { return b.length >= 0 && b.length <= maxDiscardedBytes }
