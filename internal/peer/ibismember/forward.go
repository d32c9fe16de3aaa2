package ibismember

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

const (
	// peerConnections is the largest number of connections to one other node. All but the one that ibisbackend.Client reserves
	// for control requests carry forwarded requests, so it also limits the requests in flight.
	peerConnections = 256
	// unusedClientTimeout is the time without requests after which the client of a node is removed.
	unusedClientTimeout = time.Minute
)

// ErrPeerConnectionsExhausted reports that every allowed connection to other nodes carries a request.
var ErrPeerConnectionsExhausted = errors.New("every connection to other nodes carries a request")

// Forwarder sends requests to other nodes by HTTP, with the at-most-once guarantee of ibisbackend.Client. Each request in
// flight occupies a connection. At the limit, idle connections to the least recently used nodes are closed first.
type Forwarder struct {
	tls   *tls.Config
	timer ibistimer.Service
	limit int

	mu      sync.Mutex
	running int
	idle    int
	clients map[string]*peerClient
	// byLastUse lists the clients, the most recently used first.
	byLastUse *list.List
}

type peerClient struct {
	address  string
	client   *ibisbackend.Client
	lastUsed time.Time
	running  int
	// idle is an upper bound on the connections that carry no request.
	idle    int
	element *list.Element
}

// NewForwarder returns a Forwarder that opens at most the given number of connections, by TLS if config is not nil.
func NewForwarder(config *tls.Config, timer ibistimer.Service, connections int) *Forwarder {
	return &Forwarder{
		tls:       config,
		timer:     timer,
		limit:     connections,
		clients:   make(map[string]*peerClient),
		byLastUse: list.New(),
	}
}

// Send sends a request at most once to the node at the address; the result is OutcomeNotRun with
// ErrPeerConnectionsExhausted if every connection is in use.
func (f *Forwarder) Send(ctx context.Context, address string, request ibisbackend.Request) ibisbackend.Result {
	if !request.Deadline.IsZero() {
		request.Deadline = ibistimer.WallTime(f.timer, request.Deadline)
	}
	c := f.acquire(address)
	if c == nil {
		return ibisbackend.Result{
			Outcome: ibisid.OutcomeNotRun,
			Err:     ErrPeerConnectionsExhausted,
		}
	}
	result := c.client.Send(ctx, request)
	if result.Answer == nil {
		f.release(c)
		return result
	}
	result.Answer.OnClose(func() { f.release(c) })
	return result
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		c.client.Close()
	}
}

// Connections returns an upper bound on the number of open connections.
func (f *Forwarder) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running + f.idle
}

// acquire reserves a connection to the address, preferably an idle one; it returns nil if no connection may be opened.
func (f *Forwarder) acquire(address string) *peerClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.client(address)
	if c.idle > 0 {
		c.idle--
		f.idle--
	} else if !f.ensureCapacity(c) {
		return nil
	}
	c.running++
	f.running++
	return c
}

// client returns the client of the node at the address, creates it if necessary, and marks it as the most recently used.
func (f *Forwarder) client(address string) *peerClient {
	c, ok := f.clients[address]
	if !ok {
		c = &peerClient{
			address: address,
			client:  ibisbackend.NewClient(address, peerConnections, ibisbackend.WithTLS(f.tls)),
		}
		c.element = f.byLastUse.PushFront(c)
		f.clients[address] = c
	}
	c.lastUsed = f.timer.Now()
	f.byLastUse.MoveToFront(c.element)
	f.evictUnused(c.lastUsed)
	return c
}

// ensureCapacity closes idle connections, starting with the least recently used nodes, until one more may be opened, and
// reports whether it may.
func (f *Forwarder) ensureCapacity(wanted *peerClient) bool {
	for e := f.byLastUse.Back(); e != nil && f.running+f.idle >= f.limit; e = e.Prev() {
		if c := e.Value.(*peerClient); c.idle > 0 {
			f.closeIdle(c)
		}
	}
	return f.running+f.idle < f.limit && wanted.running < peerConnections-1
}

func (f *Forwarder) closeIdle(c *peerClient) {
	c.client.Close()
	f.idle -= c.idle
	c.idle = 0
}

// evictUnused removes the clients that had no request within unusedClientTimeout.
func (f *Forwarder) evictUnused(now time.Time) {
	for e := f.byLastUse.Back(); e != nil; e = f.byLastUse.Back() {
		c := e.Value.(*peerClient)
		if c.running > 0 || now.Sub(c.lastUsed) <= unusedClientTimeout {
			return
		}
		f.closeIdle(c)
		f.byLastUse.Remove(e)
		delete(f.clients, c.address)
	}
}

// release marks a connection as idle; the HTTP exchange may have closed it, so the idle count is an upper bound.
func (f *Forwarder) release(c *peerClient) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.running--
	f.running--
	c.idle++
	f.idle++
}
