package ibislink

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the peer announces no time; servers usually keep it for 10 s.
	defaultIdleTime = 8 * time.Second
	// idleMargin is subtracted from the idle time that the peer announces, which is rounded to whole seconds.
	idleMargin = time.Second
	// dialTimeout allows for three round trips between regions and one lost packet.
	dialTimeout = 1200 * time.Millisecond
	// defaultStallTimeout outlasts a lost connection to the peer, which is noticed within 3 s.
	defaultStallTimeout = 5 * time.Second
	// defaultEndTimeout serves a caller that goes on reading although the response has lost its value.
	defaultEndTimeout = time.Minute
)

// Options configures a Pool.
type Options struct {
	// Address is the peer's IP address and port.
	Address string
	// IDHeader is the header in which responses repeat the id of their request; empty if they carry none.
	IDHeader string
	// Refusals are the statuses with which the peer says that it hasn't carried out a request. Where the response doesn't carry
	// the id of its request, such a status is believed only in the first response on a connection: a faulty peer may write an
	// earlier refusal once more.
	Refusals ibisset.Set[int]
	// MaxOpen is the maximum number of open connections; zero means no limit.
	MaxOpen int
	// MayDial, if set, is called before a connection is opened; no connection is opened if it fails.
	MayDial func() error
	// Greeting, if set, returns what is exchanged on a new connection before any other request, nil for nothing.
	Greeting func() *Greeting
	// StallTimeout is how long after Request.Deadline a read of a body waits for a byte, 5 s if zero.
	StallTimeout time.Duration
	// EndTimeout is how long after Request.Deadline a body may last, a minute if zero; a body of known length may last longer
	// by a second for each KiB.
	EndTimeout time.Duration
}

// Greeting is a request that shows whether a new connection leads to the right peer.
type Greeting struct {
	// Request is the request. The time for its response is that of the exchange for which the connection is opened.
	Request Request
	// Accept fails if the response shows that the connection must not be used; it doesn't read the body.
	Accept func(*Response) error
}

// Pool holds connections to one address; it is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   []*conn
	open   int
	opened uint64
	closed bool
}

// New returns an empty pool.
func New(options Options) *Pool {
	options.StallTimeout = cmp.Or(options.StallTimeout, defaultStallTimeout)
	options.EndTimeout = cmp.Or(options.EndTimeout, defaultEndTimeout)
	return &Pool{
		options: options,
	}
}

// Opened returns the number of connections that the pool has begun to open since it was created, failed dials included.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections; connections in use are closed when their exchange ends.
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

// CloseExpired closes connections that have been idle for longer than the peer is expected to keep them.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// get returns a usable idle connection on which no request with the id has been refused, or a new one.
func (p *Pool) get(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.idleUntil) && !c.hasRefused(id) && c.isUsable() {
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
	if p.options.MayDial != nil {
		if err := p.options.MayDial(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	p.mu.Lock()
	if p.options.MaxOpen > 0 && p.open >= p.options.MaxOpen {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: all %d connections allowed to %s are open", ErrNotSent, p.options.MaxOpen, p.options.Address)
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
	c := newConn(nc.(*net.TCPConn))
	if err := p.greet(ctx, c); err != nil {
		p.discard(c)
		return nil, fmt.Errorf("%w: %w on a new connection to %s: %w", ErrNotSent, ErrGreeting, p.options.Address, err)
	}
	return c, nil
}

// greet exchanges the greeting on a new connection.
func (p *Pool) greet(ctx context.Context, c *conn) error {
	if p.options.Greeting == nil {
		return nil
	}
	greeting := p.options.Greeting()
	if greeting == nil {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.Close() })
	defer stop()
	x := &exchange{
		pool:     p,
		conn:     c,
		keepOpen: true,
	}
	response, err := x.run(greeting.Request)
	if err != nil {
		return err
	}
	if err := greeting.Accept(response); err != nil {
		return err
	}
	return c.finishGreeting(response)
}

// put makes a connection available to the next exchange; keepAlive is the response's Keep-Alive header.
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

// idleTime returns how long to keep an idle connection, from the timeout parameter of a Keep-Alive header if there is one.
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
	return defaultIdleTime
}
