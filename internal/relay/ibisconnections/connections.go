package ibisconnections

import (
	"net"
	"net/http"
	"sync"
	"time"
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
)

// Limits are the time limits of a connection; zero means no limit.
type Limits struct {
	// Header is the time limit for receiving a request's headers.
	Header time.Duration
	// Idle is the time limit for waiting for the next request.
	Idle time.Duration
}

// Connections tracks the connections of one listener; it is safe for concurrent use.
type Connections struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

type connState struct {
	phase phase
	since time.Time
}

// New returns an empty set of connections.
func New() *Connections {
	return &Connections{
		states: make(map[net.Conn]connState),
	}
}

// SetState records a connection's new state, as http.Server.ConnState reports it.
func (c *Connections) SetState(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := connState{
		since: now,
	}
	switch state {
	case http.StateNew, http.StateIdle:
		s.phase = phaseIdle
	case http.StateActive:
		s.phase = phaseHeader
	case http.StateHijacked, http.StateClosed:
		delete(c.states, conn)
		return
	}
	c.states[conn] = s
}

// MarkHeadersComplete records that the headers of a connection's request are complete; from then on no limit applies to it.
func (c *Connections) MarkHeadersComplete(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.states[conn]; ok {
		c.states[conn] = connState{
			phase: phaseServing,
		}
	}
}

// Overdue returns the connections that have exceeded a limit, in no particular order.
func (c *Connections) Overdue(limits Limits, now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, s := range c.states {
		limit := limits.Idle
		switch s.phase {
		case phaseHeader:
			limit = limits.Header
		case phaseServing:
			continue
		case phaseIdle:
		}
		if limit > 0 && now.Sub(s.since) > limit {
			out = append(out, conn)
		}
	}
	return out
}
