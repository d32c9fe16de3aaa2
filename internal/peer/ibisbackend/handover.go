package ibisbackend

import (
	"context"
	"errors"
	"net"
	"sync"
)

var (
	errHandedOver = errors.New("request was handed over already")
	errNoHandover = errors.New("connection carries no request")
	errAborted    = errors.New("request has ended before it was handed over")
)

// handover tracks the sending of one request: it allows writes on one connection only, and records whether any byte was
// written.
type handover struct {
	check func() error

	mu      sync.Mutex
	conn    *guardedConn
	refusal error
	writing bool
	written bool
}

// beginWrite returns an error if the connection must not write; each successful call is followed by one endWrite.
func (h *handover) beginWrite(conn *guardedConn) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusal != nil {
		return h.refusal
	}
	if h.conn != conn {
		if h.writing || h.written {
			return errHandedOver
		}
		if err := h.runCheck(); err != nil {
			return err
		}
		h.conn = conn
	}
	h.writing = true
	return nil
}

// runCheck runs the caller's check right before the first byte is written; an error of the check is final.
func (h *handover) runCheck() error {
	if h.check != nil {
		h.refusal = h.check()
	}
	return h.refusal
}

// endWrite records that a write ended after n bytes.
func (h *handover) endWrite(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writing = false
	h.written = h.written || n > 0
}

// abortUnlessWritten reports whether a byte may have been written; otherwise it rejects all later writes. The error is
// that of the check, if the check failed.
func (h *handover) abortUnlessWritten() (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.writing || h.written {
		return true, nil
	}
	if h.refusal == nil {
		h.refusal = errAborted
		return false, nil
	}
	return false, h.refusal
}

// guardedConn is a connection that writes only if the handover of its current request allows it.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	current *handover
}

// setHandover sets the request that may write to the connection from now on.
func (c *guardedConn) setHandover(h *handover) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = h
}

// Write writes the bytes if the current request may start or has started on this connection, and fails otherwise.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	h := c.current
	c.mu.Unlock()
	if h == nil {
		return 0, errNoHandover
	}
	if err := h.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	h.endWrite(n)
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
			Conn: conn,
		}, nil
	}
}
