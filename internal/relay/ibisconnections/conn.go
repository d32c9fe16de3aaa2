package ibisconnections

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// phase is what a connection waits for or does; it selects the time limit that applies.
type phase int

const (
	// phaseIdle means that the connection waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader means that it waits for the remaining headers of a request.
	phaseHeader
	// phaseServing means that it runs a request, which has no time limit here.
	phaseServing
	// phaseClosed means that it was closed because of a limit or because it was idle.
	phaseClosed
)

// conn is a tracked connection. Its lock makes the first byte of a request and the end of an idle connection exclude each
// other: http.Server reports a request only after it has read all headers.
type conn struct {
	net.Conn
	connections *Connections
	// raw gives access to the socket, nil if the connection isn't one.
	raw syscall.RawConn

	mu    sync.Mutex
	phase phase
	since time.Time
}

func newConn(inner net.Conn, connections *Connections, now time.Time) *conn {
	c := &conn{
		Conn:        inner,
		connections: connections,
		since:       now,
	}
	if socket, ok := inner.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// Read reads from the connection. Bytes that arrive on an idle connection begin a request; none are returned once the
// connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	if c.raw == nil {
		n, err := c.Conn.Read(p)
		if n > 0 && !c.receive() {
			return 0, net.ErrClosed
		}
		return n, err
	}
	var n int
	var err error
	wait := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readSocket(int(fd), p)
		return err != syscall.EAGAIN
	})
	switch {
	case wait != nil:
		return 0, wait
	case err != nil:
		return 0, err
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads what the socket has received, without waiting, while no one can close the connection for idleness.
func (c *conn) readSocket(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return 0, net.ErrClosed
	}
	n, err := syscall.Read(fd, p)
	for err == syscall.EINTR {
		n, err = syscall.Read(fd, p)
	}
	if err != nil {
		return 0, err
	}
	if n > 0 {
		c.beginHeader()
	}
	return n, nil
}

// receive records that bytes were read, and reports false if the connection is closed.
func (c *conn) receive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.beginHeader()
	return true
}

// beginHeader records the first byte of a request on an idle connection; c.mu is held.
func (c *conn) beginHeader() {
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.since = c.connections.clock.Now()
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side, which http.Server does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetResetOnClose sets whether the end of the connection, also by the exit of the process, resets it.
func (c *conn) SetResetOnClose(reset bool) {
	lingerSeconds := -1
	if reset {
		lingerSeconds = 0
	}
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = inner.SetLinger(lingerSeconds)
	}
}

// HasPeerClosed reports whether the peer has closed the connection or its sending side, also if bytes before that are unread.
func (c *conn) HasPeerClosed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	// Control, unlike Read, does not wait for a concurrent read of the connection.
	err := c.raw.Control(func(fd uintptr) { closed = hasPeerClosed(fd) })
	return err != nil || closed
}

func (c *conn) awaitRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseIdle
		c.since = now
	}
}

func (c *conn) awaitHeader(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseHeader
		c.since = now
	}
}

func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase = phaseServing
	return true
}

// closeIfIdle closes the connection if it waits for a request, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	return c.closeIf(func() bool { return c.phase == phaseIdle && !c.hasUnreadBytes() })
}

// closeIfOverdue closes the connection if it has exceeded a limit, and reports whether it did.
func (c *conn) closeIfOverdue(limits Limits, now time.Time) bool {
	return c.closeIf(func() bool {
		waited := now.Sub(c.since)
		switch c.phase {
		case phaseIdle:
			return limits.Idle > 0 && waited > limits.Idle && !c.hasUnreadBytes()
		case phaseHeader:
			return limits.Header > 0 && waited > limits.Header
		case phaseServing, phaseClosed:
		}
		return false
	})
}

// closeIf closes the connection if the condition holds, which is called with c.mu held, and reports whether it did.
func (c *conn) closeIf(condition func() bool) bool {
	c.mu.Lock()
	closing := condition()
	if closing {
		c.phase = phaseClosed
	}
	c.mu.Unlock()
	if closing {
		// Close waits for a reader, which takes the lock.
		_ = c.Conn.Close()
	}
	return closing
}

// hasUnreadBytes reports whether bytes wait in the receive buffer of the socket: a request that has arrived and was not read
// yet.
func (c *conn) hasUnreadBytes() bool {
	if c.raw == nil {
		return false
	}
	var peeked [1]byte
	unread := false
	// Control, unlike Read, does not wait for a concurrent read of the connection.
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
