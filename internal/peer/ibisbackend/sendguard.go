package ibisbackend

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
)

var (
	errAlreadyStarted = errors.New("request was handed over already")
	errNoRequest      = errors.New("connection carries no request")
	errAborted        = errors.New("request has ended before it was handed over")
)

// sendGuard tracks the sending of one request: it allows writes on one connection only, and records whether any byte was
// written.
type sendGuard struct {
	check func() error

	mu      sync.Mutex
	conn    *guardedConn
	refusal error
	writing bool
	written bool
}

// beginWrite returns an error if the connection must not write; each successful call is followed by one endWrite.
func (g *sendGuard) beginWrite(conn *guardedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusal != nil {
		return g.refusal
	}
	if g.conn != conn {
		if g.writing || g.written {
			return errAlreadyStarted
		}
		if err := g.runCheck(); err != nil {
			return err
		}
		g.conn = conn
	}
	g.writing = true
	return nil
}

// runCheck runs the caller's check right before the first byte is written; an error of the check is final.
func (g *sendGuard) runCheck() error {
	if g.check != nil {
		g.refusal = g.check()
	}
	return g.refusal
}

// endWrite records that a write ended after n bytes.
func (g *sendGuard) endWrite(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
	g.written = g.written || n > 0
}

// abortUnlessWritten reports whether a byte may have been written; otherwise it rejects all later writes. The error is
// that of the check, if the check failed.
func (g *sendGuard) abortUnlessWritten() (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writing || g.written {
		return true, nil
	}
	if g.refusal == nil {
		g.refusal = errAborted
		return false, nil
	}
	return false, g.refusal
}

// guardedConn is a connection that writes only if the sendGuard of its current request allows it.
type guardedConn struct {
	*ibisresponse.Conn

	mu      sync.Mutex
	current *sendGuard
}

// setGuard sets the request that may write to the connection, and whose answer is read from it, from now on.
func (c *guardedConn) setGuard(g *sendGuard) {
	_ = c.BeginResponse(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = g
}

// Write writes the bytes if the current request may start or has started on this connection, and fails otherwise.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.current
	c.mu.Unlock()
	if g == nil {
		return 0, errNoRequest
	}
	if err := g.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	g.endWrite(n)
	return n, err
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// guardedDial returns a dial function that wraps each connection in a guardedConn.
func guardedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{
			Conn: ibisresponse.NewConn(conn),
		}, nil
	}
}
