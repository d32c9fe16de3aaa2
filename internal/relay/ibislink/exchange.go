package ibislink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// inlineBody is the greatest body that is written before the answer is read: it fits the socket's buffers.
	inlineBody = 16 << 10
	// maxForeign is how many answers to earlier requests are skipped on one connection.
	maxForeign = 3
	// maxForeignBytes is the greatest body of such an answer.
	maxForeignBytes = 1 << 20
)

// Exchange sends a request once and returns the head of its answer. It fails with ErrNotSent where no byte was written;
// any other error leaves open whether the request ran. Ending the context closes the connection.
func (p *Pool) Exchange(ctx context.Context, request Request) (*Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(c, "")
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &exchange{
		pool: p,
		conn: c,
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.tcp.Close() })
	response, err := x.run(request)
	if err != nil {
		x.end(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		if x.written.Load() == 0 {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	return response, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool      *Pool
	conn      *conn
	stop      func() bool
	written   atomic.Int64
	writeDone chan error
	foreign   bool
	once      sync.Once
	keepAlive string
}

// countedWriter counts what reached the connection.
type countedWriter struct {
	to    io.Writer
	count *atomic.Int64
}

func (w countedWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.count.Add(int64(n))
	return n, err
}

func (x *exchange) run(request Request) (*Response, error) {
	out := request.httpRequest()
	if out.Header.Get("User-Agent") == "" {
		out.Header = out.Header.Clone()
		out.Header["User-Agent"] = []string{""}
	}
	if err := x.write(out); err != nil && x.written.Load() == 0 {
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
			from:     response.Body,
			reusable: !response.Close && !x.foreign,
		},
	}, nil
}

// write sends the request; a long body is sent while the answer is awaited, which may come first.
func (x *exchange) write(out *http.Request) error {
	x.writeDone = make(chan error, 1)
	send := func() error {
		w := bufio.NewWriterSize(countedWriter{
			to:    x.conn.tcp,
			count: &x.written,
		}, bufferBytes)
		if err := out.Write(w); err != nil {
			return err
		}
		return w.Flush()
	}
	if out.ContentLength >= 0 && out.ContentLength <= inlineBody {
		err := send()
		x.writeDone <- err
		return err
	}
	go func() {
		err := send()
		if err != nil {
			// The peer must not take what it has for the whole body.
			_ = x.conn.tcp.CloseWrite()
		}
		x.writeDone <- err
	}()
	return nil
}

// read returns the answer that carries the id, skipping those to earlier requests.
func (x *exchange) read(out *http.Request, id string) (*http.Response, error) {
	for skipped := 0; skipped <= maxForeign; {
		response, err := http.ReadResponse(x.conn.reader, out)
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		got := ""
		if x.pool.options.IDHeader != "" {
			got = response.Header.Get(x.pool.options.IDHeader)
		}
		if got == id || got == "" && unnamedRefusal(response) {
			return response, nil
		}
		x.foreign = true
		skipped++
		if got == "" {
			return nil, fmt.Errorf("%w: it carries no id, status %d", ErrForeignAnswer, response.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
		if err != nil || n > maxForeignBytes || response.Close {
			return nil, fmt.Errorf("%w: it carries id %q", ErrForeignAnswer, got)
		}
	}
	return nil, ErrForeignAnswer
}

// unnamedRefusal reports an answer that a server gives before it has read whose request it is.
func unnamedRefusal(r *http.Response) bool {
	return r.StatusCode == http.StatusBadRequest || r.StatusCode == http.StatusServiceUnavailable ||
		r.StatusCode == http.StatusMisdirectedRequest || r.StatusCode == http.StatusTooManyRequests
}

// end gives the connection back, or closes it.
func (x *exchange) end(reusable bool) {
	x.once.Do(func() {
		stopped := x.stop()
		if reusable && stopped && x.wroteAll() && x.conn.reader.Buffered() == 0 {
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

// body reads an answer's body and gives the connection back at its end.
type body struct {
	exchange *exchange
	from     io.ReadCloser
	reusable bool
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == nil {
		return n, nil
	}
	b.exchange.end(errors.Is(err, io.EOF) && b.reusable)
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the connection.
func (b *body) Close() error {
	b.exchange.end(b.from == http.NoBody && b.reusable)
	return nil
}
