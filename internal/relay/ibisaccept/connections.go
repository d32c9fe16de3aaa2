package ibisaccept

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader waits for the rest of a request's headers.
	phaseHeader
	// phaseServing runs a request.
	phaseServing
)

// Limits is how long a connection may wait; zero for no limit.
type Limits struct {
	// Header is the longest time that a request's headers may take.
	Header time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Connections keeps the connections of one listener; it is safe for concurrent use.
type Connections struct {
	mu    sync.Mutex
	known map[net.Conn]waiting
}

type waiting struct {
	phase phase
	since time.Time
}

// New returns a set without connections.
func New() *Connections {
	return &Connections{
		known: make(map[net.Conn]waiting),
	}
}

// Turn follows what the HTTP server says of a connection.
func (c *Connections) Turn(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := waiting{
		since: now,
	}
	switch state {
	case http.StateNew, http.StateIdle:
		w.phase = phaseIdle
	case http.StateActive:
		w.phase = phaseHeader
	case http.StateHijacked, http.StateClosed:
		delete(c.known, conn)
		return
	}
	c.known[conn] = w
}

// Begin takes in that the headers of a connection's request are complete.
func (c *Connections) Begin(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.known[conn]; ok {
		c.known[conn] = waiting{
			phase: phaseServing,
		}
	}
}

// Overdue returns the connections that have waited for longer than the limits allow, in no particular order.
func (c *Connections) Overdue(limits Limits, now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, w := range c.known {
		limit := limits.Idle
		switch w.phase {
		case phaseHeader:
			limit = limits.Header
		case phaseServing:
			continue
		case phaseIdle:
		}
		if limit > 0 && now.Sub(w.since) > limit {
			out = append(out, conn)
		}
	}
	return out
}
