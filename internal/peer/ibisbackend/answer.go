package ibisbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// ErrTruncated reports an answer whose body ended before its declared length or before its last chunk.
var ErrTruncated = errors.New("answer of the backend server was cut short")

// Answer is the answer of a backend server; its body is streamed as fast as it is read.
type Answer struct {
	status int
	header http.Header
	length int64
	notRun bool
	// rateLimit is the value of HeaderRateLimit.
	rateLimit string
	// typical is the value of HeaderTypical.
	typical string
	body    *answerBody
	// replacement is read instead of the body if it is not nil.
	replacement io.Reader
}

// newAnswer returns an Answer for the response; it fails if the end of the body can't be detected or the status is below
// 200. cancel ends the exchange.
func newAnswer(method string, response *http.Response, cancel context.CancelFunc) (*Answer, error) {
	length := response.ContentLength
	bodyless := method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	if response.StatusCode < http.StatusOK {
		return nil, fmt.Errorf("answer of the backend server has status %d", response.StatusCode)
	}
	if !bodyless && length < 0 && len(response.TransferEncoding) == 0 {
		return nil, ErrNoLength
	}
	remaining := length
	if bodyless {
		remaining = 0
	}
	return &Answer{
		status:    response.StatusCode,
		header:    EndToEndHeaders(response.Header),
		length:    length,
		notRun:    response.Header.Get(HeaderNotRun) == "true",
		rateLimit: response.Header.Get(HeaderRateLimit),
		typical:   response.Header.Get(HeaderTypical),
		body: &answerBody{
			body:        response.Body,
			cancel:      cancel,
			remaining:   remaining,
			lengthKnown: remaining >= 0,
		},
	}, nil
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the headers without the hop-by-hop ones.
func (a *Answer) Header() http.Header { return a.header }

// Typical returns the value of HeaderTypical in the answer of another node, empty if there is none.
func (a *Answer) Typical() string { return a.typical }

// RateLimit returns the number of requests per second that the backend server names as its limit, absent if it names none. It fails
// if the header is not a finite number of at least zero.
func (a *Answer) RateLimit() (ibisset.Option[float64], error) {
	if a.rateLimit == "" {
		return ibisset.None[float64](), nil
	}
	perSecond, err := strconv.ParseFloat(a.rateLimit, 64)
	if err != nil || math.IsInf(perSecond, 0) || !(perSecond >= 0) {
		return ibisset.None[float64](), fmt.Errorf("%s: %q: must be a number of at least 0", HeaderRateLimit, a.rateLimit)
	}
	return ibisset.Some(perSecond), nil
}

// Length returns the length of the body in bytes, -1 for a chunked body of unknown length.
func (a *Answer) Length() int64 { return a.length }

// Body returns the body; reading it fails with ErrTruncated if the answer was truncated, and it must be closed.
func (a *Answer) Body() io.ReadCloser {
	if a.replacement == nil {
		return a.body
	}
	return replacedBody{
		Reader: a.replacement,
		Closer: a.body,
	}
}

// BytesRead returns the number of bytes of the body read so far; it must not be called concurrently with a read.
func (a *Answer) BytesRead() int64 { return a.body.bytesRead }

// NotRun reports whether the backend server set HeaderNotRun: it rejected the request before it began to run it.
func (a *Answer) NotRun() bool { return a.notRun }

// stallTimeout is the longest time that one read of a body may wait for data.
const stallTimeout = 30 * time.Second

type answerBody struct {
	stallTimer  *time.Timer
	body        io.ReadCloser
	cancel      context.CancelFunc
	onClose     func()
	bytesRead   int64
	remaining   int64
	lengthKnown bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.readWithStallTimeout(p)
	b.bytesRead += int64(n)
	b.remaining -= int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && (!b.lengthKnown || b.remaining == 0):
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, ErrTruncated
	case errors.Is(err, io.ErrUnexpectedEOF):
		return n, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return n, err
}

// readWithStallTimeout reads from the body and cancels the request if no data arrives within stallTimeout.
func (b *answerBody) readWithStallTimeout(p []byte) (int, error) {
	if b.stallTimer == nil {
		b.stallTimer = time.AfterFunc(stallTimeout, func() { b.cancel() })
	} else {
		b.stallTimer.Reset(stallTimeout)
	}
	n, err := b.body.Read(p)
	b.stallTimer.Stop()
	return n, err
}

func (b *answerBody) Close() error {
	err := b.body.Close()
	b.cancel()
	if b.onClose != nil {
		b.onClose()
	}
	return err
}
