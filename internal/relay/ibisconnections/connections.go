package ibisconnections

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/request/ibismemory"
)

// Limits are the time limits of a connection; zero means no limit.
type Limits struct {
	// Header is the time limit for receiving a request's headers, from their first byte on.
	Header time.Duration
	// Idle is the time limit for waiting for the next request.
	Idle time.Duration
}

// Connections tracks the connections of one listener; it is safe for concurrent use.
type Connections struct {
	clock ibistimer.Service

	// memory bounds the connections, nil for no bound.
	memory    *Memory
	partOf    func(peer net.Addr) ibismemory.Part
	headLimit func() int
	report    func(part ibismemory.Part, refusal Refusal, n int)

	mu   sync.Mutex
	open ibisset.Set[*conn]
	// nextScan is when connections to close may be searched again.
	nextScan time.Time

	watchesMu sync.Mutex
	watches   ibisset.Set[*watch]
}

// New returns an empty set of connections.
func New(clock ibistimer.Service, options ...Option) *Connections {
	c := &Connections{
		clock:   clock,
		open:    make(ibisset.Set[*conn]),
		watches: make(ibisset.Set[*watch]),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Listener returns a listener whose connections are tracked from their acceptance until they are closed.
func (c *Connections) Listener(inner net.Listener) net.Listener {
	return &listener{
		Listener:    inner,
		connections: c,
	}
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if part, ok := l.connections.admit(inner); ok {
			return l.connections.add(inner, part), nil
		}
		_ = inner.Close()
	}
}

func (c *Connections) add(inner net.Conn, part ibismemory.Part) *conn {
	tracked := newConn(inner, c, c.clock.Now())
	tracked.account.part = part
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.Add(tracked)
	return tracked
}

func (c *Connections) remove(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.Remove(closed)
	if c.memory != nil {
		closed.account.end(c.memory)
	}
}

// SetState records a connection's new state, as http.Server.ConnState reports it.
func (c *Connections) SetState(nc net.Conn, state http.ConnState) {
	if tracked, ok := nc.(*conn); ok && state == http.StateIdle {
		tracked.awaitRequest(c.clock.Now())
		if c.memory != nil {
			tracked.account.endRequest(c.memory)
		}
	}
}

// AwaitHeader records that a connection, whose last request has been answered, waits for the rest of a head, of which the begin has been
// read.
func (c *Connections) AwaitHeader(nc net.Conn, begin []byte) {
	if tracked, ok := nc.(*conn); ok {
		tracked.awaitHeader(begin, c.clock.Now())
	}
}

// BeginRequest records that the headers of a connection's request are complete; from then on no limit applies to it. It reports
// false if the connection is closed, so that the request must not run.
func (c *Connections) BeginRequest(nc net.Conn) bool {
	tracked, ok := nc.(*conn)
	return !ok || tracked.beginRequest()
}

// CloseOverdue closes the connections that have exceeded a limit and returns how many there were.
func (c *Connections) CloseOverdue(limits Limits) int {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.open)
	c.closeEach(func(tracked *conn) bool { return tracked.closeIfOverdue(limits, now) })
	return before - len(c.open)
}

// CloseIdle closes the connections that wait for a request and returns how many are still open.
func (c *Connections) CloseIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeEach((*conn).closeIfIdle)
	return len(c.open)
}

// CloseStalled closes the connections whose clients transfer too little and returns how many there were.
func (c *Connections) CloseStalled(least Progress) int {
	if least.Span <= 0 {
		return 0
	}
	now := c.clock.Now()
	c.mu.Lock()
	before := len(c.open)
	var parts []ibismemory.Part
	c.closeEach(func(tracked *conn) bool {
		closed := tracked.closeIfStalled(least, now)
		if closed {
			parts = append(parts, tracked.account.part)
		}
		return closed
	})
	n := before - len(c.open)
	c.mu.Unlock()
	for _, part := range parts {
		c.reportRefusal(part, RefusalProgress, 1)
	}
	return n
}

// closeEach drops the connections that the function has closed; c.mu is held.
func (c *Connections) closeEach(closeIf func(tracked *conn) bool) {
	for tracked := range c.open {
		if closeIf(tracked) {
			c.open.Remove(tracked)
			if c.memory != nil {
				tracked.account.end(c.memory)
			}
		}
	}
}
