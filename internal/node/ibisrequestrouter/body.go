package ibisrequestrouter

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// maxBufferedBodyBytes is the largest body that is buffered, so that it can be sent again in another attempt.
const maxBufferedBodyBytes = 64 << 10

// body is the body of a request: a small one is buffered for further attempts, any other can be sent once.
type body struct {
	content  []byte
	stream   io.Reader
	length   int64
	consumed atomic.Bool
}

// readBody buffers a small body; a large one, or one of unknown length, is left to be streamed once. The body must arrive
// by the given time. net/http removes this read deadline at the end of the body. Without a body nothing would remove it, so
// it is not set then: it would abort an answer that streams for longer.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, by time.Time) (*body, *ibiscaller.Refusal) {
	b := &body{
		length: r.ContentLength,
	}
	if b.length == 0 {
		return b, nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(by)
	incoming := http.MaxBytesReader(w, r.Body, limit)
	if b.length < 0 || b.length > maxBufferedBodyBytes {
		b.stream = incoming
		return b, nil
	}
	b.content = make([]byte, b.length)
	if _, err := io.ReadFull(incoming, b.content); err != nil {
		return nil, bodyRefusal(err)
	}
	return b, nil
}

// peek returns at least the first limit bytes of the body, or all of a shorter one. They are still sent with the rest of
// the body.
func (b *body) peek(limit int64) ([]byte, *ibiscaller.Refusal) {
	if b.buffered() {
		return b.content, nil
	}
	start, err := io.ReadAll(io.LimitReader(b.stream, limit))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	b.stream = io.MultiReader(bytes.NewReader(start), b.stream)
	return start, nil
}

// buffered reports whether the whole body is in memory, so that several attempts can send it, also concurrently.
func (b *body) buffered() bool { return b.stream == nil }

// resendable reports whether another attempt can send the body: it is buffered, or no attempt has read from it.
func (b *body) resendable() bool { return b.buffered() || !b.consumed.Load() }

// open returns a reader of the body for one attempt.
func (b *body) open() io.Reader {
	if b.buffered() {
		return bytes.NewReader(b.content)
	}
	return consumptionTracker{
		body: b,
	}
}

// consumptionTracker marks a streamed body as consumed on its first read.
type consumptionTracker struct{ body *body }

func (c consumptionTracker) Read(p []byte) (int, error) {
	c.body.consumed.Store(true)
	return c.body.stream.Read(p)
}

func bodyRefusal(err error) *ibiscaller.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", fmt.Sprintf("the body is larger than the %d bytes that are allowed", tooLarge.Limit))
	}
	return refuse(http.StatusBadRequest, "bodyNotRead", "the body did not arrive whole: "+err.Error())
}
