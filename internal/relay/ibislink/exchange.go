package ibislink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written before the response is read: it fits the socket's buffers.
	maxInlineBodyBytes = 16 << 10
	// maxMismatched is how many responses to earlier requests are discarded on one connection.
	maxMismatched = 3
	// maxMismatchedBytes is the largest body of a response to discard.
	maxMismatchedBytes = 1 << 20
	// MaxHeadBytes is the greatest size of the heads that are read in one exchange, in bytes: the response's, interim ones, and
	// those of responses to earlier requests. It is far above what HTTP clients commonly accept.
	MaxHeadBytes = 64 << 10
	// minBodyRate is the lowest mean rate, in bytes per second, at which a body of known length may be read after the deadline.
	minBodyRate = 1 << 10
	// maxBodySeconds is the longest time in seconds that a body's length gives it, ten years.
	maxBodySeconds = 10 * 365 * 24 * 60 * 60
)

// Exchange sends a request once and returns the response, whose body is still to be read. It fails with ErrNotSent if no
// byte was written; after any other error the request may have run. Cancelling the context closes the connection.
func (p *Pool) Exchange(ctx context.Context, request Request) (*Response, error) {
	c, err := p.get(ctx, request.ID)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(c, "")
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if request.Begin != nil {
		if err := request.Begin(&request); err != nil {
			p.put(c, "")
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	x := &exchange{
		pool: p,
		conn: c,
	}
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = c.tcp.Close() })
	response, err := x.run(request)
	if err != nil {
		x.end(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		if x.writtenBytes.Load() == 0 {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	return response, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// keepOpen means that the end of the exchange leaves the connection as it is.
	keepOpen          bool
	stopCloseOnCancel func() bool
	writtenBytes      atomic.Int64
	writeDone         chan error
	sawMismatch       bool
	endOnce           sync.Once
	keepAlive         string
}

// countedWriter counts the bytes that were written to the connection.
type countedWriter struct {
	writer  io.Writer
	written *atomic.Int64
}

func (w countedWriter) Write(b []byte) (int, error) {
	n, err := w.writer.Write(b)
	w.written.Add(int64(n))
	return n, err
}

func (x *exchange) run(request Request) (*Response, error) {
	out := request.httpRequest()
	if got := out.URL.RequestURI(); got != request.URI {
		return nil, fmt.Errorf("request target %q would be sent as %q", request.URI, got)
	}
	// An empty value keeps net/http from adding a User-Agent of its own.
	if out.Header.Get("User-Agent") == "" {
		out.Header = out.Header.Clone()
		out.Header["User-Agent"] = []string{""}
	}
	// After a partial write the peer may still have responded, for example with a refusal.
	if err := x.write(out); err != nil && x.writtenBytes.Load() == 0 {
		return nil, err
	}
	response, err := x.read(out, request.ID)
	if err != nil {
		return nil, err
	}
	x.keepAlive = response.Header.Get("Keep-Alive")
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body: &body{
			exchange: x,
			source:   response.Body,
			reusable: !response.Close && !x.sawMismatch,
			length:   response.ContentLength,
			deadline: request.Deadline,
		},
	}, nil
}

// write sends the request. A long body is sent in the background, since the response may arrive before its end.
func (x *exchange) write(out *http.Request) error {
	x.writeDone = make(chan error, 1)
	send := func() error {
		w := bufio.NewWriterSize(countedWriter{
			writer:  x.conn.checked,
			written: &x.writtenBytes,
		}, bufferBytes)
		if err := out.Write(w); err != nil {
			return err
		}
		return w.Flush()
	}
	if out.ContentLength >= 0 && out.ContentLength <= maxInlineBodyBytes {
		err := send()
		x.writeDone <- err
		return err
	}
	go func() {
		err := send()
		if err != nil {
			// The peer must not take the bytes it has received for the complete body.
			_ = x.conn.tcp.CloseWrite()
		}
		x.writeDone <- err
	}()
	return nil
}

// read returns the response with the id and discards those to earlier requests.
func (x *exchange) read(out *http.Request, id string) (*http.Response, error) {
	headBytesLeft := int64(MaxHeadBytes)
	for skipped := 0; skipped <= maxMismatched; {
		response, headBytes, err := x.conn.readHead(out, headBytesLeft)
		headBytesLeft -= headBytes
		if err != nil {
			return nil, fmt.Errorf("read response from %s: %w", x.pool.options.Address, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		got := ""
		if x.pool.options.IDHeader != "" {
			got = response.Header.Get(x.pool.options.IDHeader)
		}
		if x.conn.take(got, id, x.pool.options.Refusals.Has(response.StatusCode)) {
			return response, nil
		}
		x.sawMismatch = true
		skipped++
		if got == "" {
			return nil, fmt.Errorf("%w: response from %s with status %d carries no id", ErrMismatchedResponse, x.pool.options.Address, response.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes+1))
		if err != nil || n > maxMismatchedBytes || response.Close {
			return nil, fmt.Errorf("%w: response from %s carries id %q instead of %q", ErrMismatchedResponse, x.pool.options.Address, got, id)
		}
	}
	return nil, fmt.Errorf("%w: more than %d responses from %s to earlier requests", ErrMismatchedResponse, maxMismatched, x.pool.options.Address)
}

// end returns the connection to the pool or closes it.
func (x *exchange) end(reusable bool) {
	if x.keepOpen {
		return
	}
	x.endOnce.Do(func() {
		stopped := x.stopCloseOnCancel()
		reusable = reusable && x.conn.tcp.SetReadDeadline(time.Time{}) == nil
		if reusable && stopped && x.wroteAll() && x.conn.reader.Buffered() == 0 && len(x.conn.refusedIDs) < maxRefusedIDs {
			x.pool.put(x.conn, x.keepAlive)
			return
		}
		x.pool.discard(x.conn)
	})
}

func (x *exchange) wroteAll() bool {
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}

// body reads a response body and returns the connection to the pool at its end.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	reusable bool
	// length is in bytes, -1 if unknown.
	length   int64
	deadline time.Time
	// err is the error that ended the body; the connection may belong to another exchange since then.
	err error
}

// Read reads the body; at the end of a complete body it returns the connection to the pool. It fails with ErrLateBody if the
// body makes no progress or does not end in time; the time between two reads doesn't count as lack of progress.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n := 0
	err := b.limitRead(time.Now())
	if err == nil {
		n, err = b.source.Read(p)
	}
	if err == nil {
		return n, nil
	}
	b.exchange.end(errors.Is(err, io.EOF) && b.reusable)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: %w", ErrLateBody, err)
	}
	b.err = err
	return n, err
}

// limitRead sets the time by which the next read must return.
func (b *body) limitRead(now time.Time) error {
	if b.deadline.IsZero() || b.source == http.NoBody {
		return nil
	}
	until := now
	if until.Before(b.deadline) {
		until = b.deadline
	}
	until = until.Add(b.exchange.pool.options.StallTimeout)
	if end := b.deadline.Add(b.exchange.pool.options.EndTimeout + timeForLength(b.length)); end.Before(until) {
		until = end
	}
	return b.exchange.conn.tcp.SetReadDeadline(until)
}

// timeForLength returns how long a body of the length takes at minBodyRate, zero for an unknown length.
func timeForLength(length int64) time.Duration {
	return time.Duration(min(max(0, length)/minBodyRate, maxBodySeconds)) * time.Second
}

// Close ends the exchange. If the body was not read to its end, the connection is closed.
func (b *body) Close() error {
	b.exchange.end(b.source == http.NoBody && b.reusable)
	return nil
}
