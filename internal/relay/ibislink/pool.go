package ibislink

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// defaultIdle is how long an idle connection is kept where the peer names no time; shorter than the usual 10 s of servers.
	defaultIdle = 8 * time.Second
	// idleMargin is taken off the peer's idle time: one second for its rounding to whole seconds.
	idleMargin = time.Second
	// dialTimeout is the time for a new connection: three round trips between regions and one lost packet.
	dialTimeout = 1200 * time.Millisecond
)

// Options are the fixed properties of a pool.
type Options struct {
	// Address is the peer's IP address and port.
	Address string
	// IDHeader is the header in which answers repeat the id of their request; empty for none.
	IDHeader string
	// MaxOpen is the greatest number of connections; zero for no bound.
	MaxOpen int
}

// Pool keeps connections to one address; it is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   []*conn
	open   int
	opened uint64
	closed bool
}

// New returns a pool without connections.
func New(options Options) *Pool {
	return &Pool{
		options: options,
	}
}

// Opened returns how many connections the pool has opened since its start.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections and keeps no more of them.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Sweep closes connections that have been idle for longer than the peer keeps them.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// get returns an idle connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.options.MaxOpen > 0 && p.open >= p.options.MaxOpen {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %d connections to %s are open, the most that it takes", ErrNotSent, p.options.MaxOpen, p.options.Address)
	}
	p.open++
	p.opened++
	p.mu.Unlock()
	dialer := Dialer(dialTimeout)
	nc, err := dialer.DialContext(ctx, "tcp4", p.options.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(nc.(*net.TCPConn)), nil
}

// put keeps a connection for the next exchange.
func (p *Pool) put(c *conn, keepAlive string) {
	c.idleUntil = time.Now().Add(idleTime(keepAlive))
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	_ = c.tcp.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// idleTime reads the timeout parameter of a Keep-Alive header, in whole seconds.
func idleTime(keepAlive string) time.Duration {
	for param := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
