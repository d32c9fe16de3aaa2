package ibisconnections

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ibisridge/ibisridge/internal/request/ibismemory"
)

// readAheadBytes is how much http.Server reads at once of a request's head, and so the most that it has read of the next one.
const readAheadBytes = 4 << 10

// headEnd ends the heads that clients commonly send.
var headEnd = []byte("\r\n\r\n")

// phase is what a connection waits for or does; it selects the time limit that applies.
type phase int

const (
	// phaseIdle means that the connection waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader means that it waits for the remaining headers of a request.
	phaseHeader
	// phaseReceived means that the headers are complete, and the request has not begun.
	phaseReceived
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

	// account counts what the connection holds of the budget.
	account account

	mu    sync.Mutex
	phase phase
	since time.Time
	// used means that a request has been served.
	used bool
	// head measures the head that is being read, and readHead means that the last read was of it.
	head     headScan
	readHead bool
	// lastRead is what the last read added, of which the next head may be a part.
	lastRead ibismemory.HeadCount
	// received counts the bytes of bodies, and written those of answers; receivedBefore is what had been received when the running
	// request began.
	received, written, receivedBefore int64
	// receiving and sending are since when a handler waits for the body, and since when it writes; zero if it does not.
	receiving, sending time.Time
	// readsAhead means that a read may wait for a further request, so that AwaitBody tells when a handler waits for the body.
	readsAhead bool
	// span is what the connection has transferred when its progress was last enough.
	span span
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
		if n > 0 && !c.receive(p[:n]) {
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
	if err := c.payForHead(); err != nil {
		return 0, err
	}
	return n, nil
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	began := c.connections.clock.Now()
	c.mu.Lock()
	c.sending = began
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.sending = time.Time{}
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// AwaitBody records whether a handler waits for the body of its request, for a connection that is read ahead.
func (c *conn) AwaitBody(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsAhead = true
	switch {
	case !waits:
		c.receiving = time.Time{}
	case c.receiving.IsZero():
		c.receiving = c.connections.clock.Now()
	}
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
		// http.Server reads a single byte ahead while a handler runs, to notice the end of the connection.
		if c.phase == phaseServing && len(p) > 1 && !c.readsAhead && c.receiving.IsZero() {
			c.receiving = c.connections.clock.Now()
		}
		return 0, err
	}
	if n > 0 {
		c.count(p[:n])
	}
	return n, nil
}

// receive records that bytes were read, and reports false if the connection is closed.
func (c *conn) receive(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.count(text)
	return true
}

// count records received bytes; c.mu is held.
func (c *conn) count(text []byte) {
	c.beginHeader()
	c.lastRead = ibismemory.HeadCount{}
	if !bytes.HasSuffix(text, headEnd) {
		c.lastRead.Add(text)
	}
	c.readHead = c.phase == phaseHeader
	if c.readHead {
		text = text[c.head.add(text):]
		if c.head.ended {
			c.phase = phaseReceived
		}
		if len(text) == 0 {
			return
		}
	}
	c.received += int64(len(text))
	c.receiving = time.Time{}
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
		c.used = true
		c.head = headScan{}
		if c.lastRead.Bytes <= readAheadBytes {
			// What was read beyond the last request is not read again.
			c.head.count = c.lastRead
		}
	}
}

func (c *conn) awaitHeader(begin []byte, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed || c.phase == phaseHeader {
		return
	}
	c.phase = phaseHeader
	c.since = now
	c.head = headScan{}
	c.head.add(begin)
	if c.head.ended {
		c.phase = phaseReceived
	}
}

func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase = phaseServing
	c.head = headScan{}
	c.receivedBefore, c.receiving = c.received, time.Time{}
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
		case phaseReceived, phaseServing, phaseClosed:
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
