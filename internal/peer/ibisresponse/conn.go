package ibisresponse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection that checks the responses that are read from it.
type Conn struct {
	net.Conn

	// writeMu is held during a write.
	writeMu  sync.Mutex
	writeErr error

	mu   sync.Mutex
	head HeadChecker
}

// NewConn returns a Conn on the connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// BeginResponse makes the next byte the first one of a response. The bytes that were read ahead come first; it fails with ErrMalformed if
// they have a fault.
func (c *Conn) BeginResponse(readAhead []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin()
	_, err := c.head.Check(readAhead)
	return err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It fails with ErrMalformed at the first fault of a head, and with io.ErrUnexpectedEOF if the connection
// did not end in order.
func (c *Conn) Read(p []byte) (int, error) {
	if fault := c.Fault(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	sound, fault := c.head.Check(p[:n])
	c.mu.Unlock()
	if fault != nil {
		return sound, fault
	}
	if errors.Is(err, io.EOF) {
		if failure := c.reportedToWrite(); failure != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, failure)
		}
	}
	return n, err
}

// reportedToWrite ends all writes once a read has reached the end of the connection, and returns the failure of the connection that a
// write got in place of that read, nil if the peer ended the connection in order.
func (c *Conn) reportedToWrite() error {
	// It wakes a write that waits for the peer.
	_ = c.SetWriteDeadline(time.Now())
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// A reset that follows an orderly end is reported as EPIPE.
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// Fault returns the first fault of a head, nil if there is none.
func (c *Conn) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}
