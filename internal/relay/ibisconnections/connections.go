package ibisconnections

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
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

	mu   sync.Mutex
	open ibisset.Set[*conn]
}

// New returns an empty set of connections.
func New(clock ibistimer.Service) *Connections {
	return &Connections{
		clock: clock,
		open:  make(ibisset.Set[*conn]),
	}
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
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(inner), nil
}

func (c *Connections) add(inner net.Conn) *conn {
	tracked := newConn(inner, c, c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.Add(tracked)
	return tracked
}

func (c *Connections) remove(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.Remove(closed)
}

// SetState records a connection's new state, as http.Server.ConnState reports it.
func (c *Connections) SetState(nc net.Conn, state http.ConnState) {
	if tracked, ok := nc.(*conn); ok && state == http.StateIdle {
		tracked.awaitRequest(c.clock.Now())
	}
}

// AwaitHeader records that a connection, whose last request has been answered, waits for the rest of a head.
func (c *Connections) AwaitHeader(nc net.Conn) {
	if tracked, ok := nc.(*conn); ok {
		tracked.awaitHeader(c.clock.Now())
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

// closeEach drops the connections that the function has closed; c.mu is held.
func (c *Connections) closeEach(closeIf func(tracked *conn) bool) {
	for tracked := range c.open {
		if closeIf(tracked) {
			c.open.Remove(tracked)
		}
	}
}
