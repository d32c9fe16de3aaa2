package ibisconnections

import (
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

	mu    sync.Mutex
	phase phase
	since time.Time
}

// Read reads from the connection. Bytes that arrive on an idle connection begin a request; bytes that are read after the
// connection was closed are discarded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.phase = phaseHeader
		c.since = c.connections.clock.Now()
	case phaseClosed:
		return 0, net.ErrClosed
	case phaseHeader, phaseServing:
	}
	return n, err
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

func (c *conn) awaitRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseIdle
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
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseIdle && c.closeUnread()
}

// closeIfOverdue closes the connection if it has exceeded a limit, and reports whether it did.
func (c *conn) closeIfOverdue(limits Limits, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch c.phase {
	case phaseIdle:
		return limits.Idle > 0 && waited > limits.Idle && c.closeUnread()
	case phaseHeader:
		if limits.Header > 0 && waited > limits.Header {
			c.close()
			return true
		}
	case phaseServing, phaseClosed:
	}
	return false
}

// closeUnread closes the connection unless a request has arrived that was not read yet; c.mu is held.
func (c *conn) closeUnread() bool {
	if hasUnreadBytes(c.Conn) {
		return false
	}
	c.close()
	return true
}

// close closes the connection; c.mu is held.
func (c *conn) close() {
	c.phase = phaseClosed
	_ = c.Conn.Close()
}

// hasUnreadBytes reports whether bytes wait in the receive buffer of a socket.
func hasUnreadBytes(nc net.Conn) bool {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked [1]byte
	unread := false
	// Control, unlike Read, does not wait for a concurrent read of the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
