package ibispipeline

import (
	"net"
	"os"
	"time"
)

// Conn is a connection that http.Server serves: the first one of a socket, or a virtual one that gets single requests of it.
type Conn struct {
	socket *socket

	// All below is guarded by the lock of the socket.

	// request is the request that the server has and whose answer has not ended; nil before the split.
	request *request
	// input is what the server has not read of the request's head.
	input []byte
	// free means that a virtual connection, or a split first one, waits for a request.
	free bool
	// gone means that the server has closed the connection.
	gone bool
	// class is that of the running request before the split, and wrote that bytes of its answer have been written.
	class class
	wrote bool
	// readAborted means that the deadline for reading has passed.
	readAborted   bool
	writeDeadline time.Time
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.socket.inner }

// Arrived returns when the head of the running request had arrived, and false if it was passed on when it did.
func (c *Conn) Arrived() (time.Time, bool) {
	s := c.socket
	if !s.split.Load() {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.request == nil || c.request.arrived.IsZero() {
		return time.Time{}, false
	}
	return c.request.arrived, true
}

// Admit tells whether the running request is idempotent and waits until it may be passed on: an idempotent one until all
// before it are known to be idempotent or have been answered, any other one until all before it have been answered. It fails if
// the request must not be passed on, since the connection ends before its answer.
func (c *Conn) Admit(idempotent bool) error {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	c.class = classExclusive
	if idempotent {
		c.class = classIdempotent
	}
	r := c.request
	if r == nil {
		return nil
	}
	r.class = c.class
	s.changed.Broadcast()
	for {
		switch {
		case r.cut || s.closed || r.waits && s.readErr != nil:
			return net.ErrClosed
		case s.isTurn(r):
			if r.waits && s.hasPeerClosed() {
				return net.ErrClosed
			}
			return nil
		}
		r.waits = true
		s.changed.Wait()
	}
}

// MayClose ends the passing on of further requests of the socket, and reports whether the answer to the running one may announce
// the end of the connection, since no request behind it has been passed on.
func (c *Conn) MayClose() bool {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return c.request == nil || c.request.cut || s.requests[len(s.requests)-1] == c.request
}

// Read reads from the socket, or from the request that the connection has.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.socket.split.Load() {
		return c.socket.readDirectly(p)
	}
	return c.readAssigned(p)
}

func (c *Conn) readAssigned(p []byte) (int, error) {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		r := c.request
		switch {
		case len(p) == 0:
			return 0, nil
		case len(c.input) > 0:
			n := copy(p, c.input)
			c.input = c.input[n:]
			return n, nil
		case r != nil && r.unread > 0 && len(s.held) > 0:
			n := copy(p, s.held[:min(int64(len(s.held)), r.unread)])
			s.consume(n)
			r.unread -= int64(n)
			s.changed.Broadcast()
			return n, nil
		case c.readAborted:
			return 0, os.ErrDeadlineExceeded
		case s.closed, c.gone, r != nil && r.cut, r == nil && s.ending:
			return 0, net.ErrClosed
		case s.readErr != nil:
			return 0, s.readErr
		}
		if len(p) > 1 && r != nil {
			// http.Server reads a single byte to notice the end of the connection.
			s.awaitBody(true)
		}
		s.changed.Wait()
	}
}

// Write writes to the socket if all answers before this one have been written, else to the buffer, and waits if that is full.
func (c *Conn) Write(p []byte) (int, error) {
	s := c.socket
	s.mu.Lock()
	if !s.split.Load() {
		if !c.wrote {
			c.wrote = true
			s.changed.Broadcast()
		}
		s.mu.Unlock()
		return s.inner.Write(p)
	}
	defer s.mu.Unlock()
	for written := 0; ; {
		r := c.request
		switch {
		case r == nil || r.cut || s.closed:
			return written, net.ErrClosed
		case written == len(p):
			return written, nil
		case r.direct:
			s.mu.Unlock()
			n, err := s.inner.Write(p[written:])
			s.mu.Lock()
			if err != nil {
				s.fail()
			}
			return written + n, err
		case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
			return written, os.ErrDeadlineExceeded
		}
		if n := s.buffer(r, p[written:]); n > 0 {
			written += n
			continue
		}
		s.changed.Wait()
	}
}

// Close ends the answer; the socket is closed once the bytes of this answer and of those before it have been written.
func (c *Conn) Close() error {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.split.Load() {
		c.gone = true
		s.changed.Broadcast()
		return s.inner.Close()
	}
	if !c.gone {
		s.finish(c, true)
	}
	return nil
}

// CloseWrite closes the writing side of a socket that is not split. The end of a split one does that itself.
func (c *Conn) CloseWrite() error {
	s := c.socket
	if s.split.Load() {
		return nil
	}
	return s.closeWrite()
}

// SetResetOnClose sets whether the end of the socket resets it.
func (c *Conn) SetResetOnClose(reset bool) {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets = reset
	if inner, ok := s.inner.(interface{ SetResetOnClose(reset bool) }); ok {
		inner.SetResetOnClose(reset)
	}
}

// endAnswer records that the server has sent a whole answer and waits for the next request.
func (c *Conn) endAnswer() {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	c.wrote, c.class = false, classUnknown
	if s.split.Load() {
		s.finish(c, false)
		return
	}
	if !s.ended {
		// http.Server took less for the request than was expected.
		s.opaque = true
	}
	s.ended = false
	s.setIdle()
}

// LocalAddr returns the address of the socket.
func (c *Conn) LocalAddr() net.Addr { return c.socket.inner.LocalAddr() }

// RemoteAddr returns the address of the caller.
func (c *Conn) RemoteAddr() net.Addr { return c.socket.inner.RemoteAddr() }

// SetDeadline sets the deadlines for reading and writing.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline for reading. On a split socket a deadline in the future has no effect, as the time limits of the
// socket apply.
func (c *Conn) SetReadDeadline(t time.Time) error {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	c.readAborted = !t.IsZero() && !t.After(time.Now())
	if !s.split.Load() {
		if c.readAborted && s.ended {
			s.changed.Broadcast()
		}
		return s.inner.SetReadDeadline(t)
	}
	s.changed.Broadcast()
	return nil
}

// SetWriteDeadline sets the deadline for writing.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	s := c.socket
	s.mu.Lock()
	defer s.mu.Unlock()
	c.writeDeadline = t
	if !s.split.Load() || c.request != nil && c.request.direct {
		return s.inner.SetWriteDeadline(t)
	}
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), s.wake)
	}
	return nil
}
