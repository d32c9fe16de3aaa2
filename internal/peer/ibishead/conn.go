package ibishead

import (
	"net"
	"sync"
)

// Conn is a client's connection that checks the heads of responses. Its reads fail with ErrMalformed from the first fault on.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker Checker
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
	c.checker.Begin()
	_, err := c.checker.Check(readAhead)
	return err
}

// Read reads from the connection up to the first fault.
func (c *Conn) Read(p []byte) (int, error) {
	if fault := c.Fault(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if sound, fault := c.checker.Check(p[:n]); fault != nil {
		return sound, fault
	}
	return n, err
}

// Fault returns the first fault, nil if there is none.
func (c *Conn) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.err
}
