package ibismember

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rpcPath is the path of the CONNECT request that switches a connection to control calls.
	rpcPath = "/_ibis/rpc"
	// dialTimeout limits the time to connect to a peer and complete the handshake.
	dialTimeout = 1 * time.Second
	// connectedStatus is the status line that accepts a connection for control calls.
	connectedStatus = "200 Connected to Go RPC"
	// maxHandshakeBytes bounds the size of a peer's answer to the handshake.
	maxHandshakeBytes = 4 << 10
)

// ErrUnreachable reports that a peer did not answer; the call may still have run there.
var ErrUnreachable = errors.New("peer unreachable")

// Caller makes control calls to other nodes.
type Caller interface {
	// Call runs a method of the node at the address; it fails with ErrUnreachable or the method's own error.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Pool is a Caller that keeps one persistent connection to each called peer.
type Pool struct {
	tls      *tls.Config
	sent     atomic.Int64
	received atomic.Int64

	mu         sync.Mutex
	clients    map[string]*rpc.Client
	unanswered map[*rpc.Client]int
	closed     bool
}

// maxUnansweredCalls is the number of consecutive calls without an answer after which their connection is closed. Otherwise
// a connection that carries bytes in one direction only could keep renewing a lease whose holder never gets the answers.
const maxUnansweredCalls = 2

// NewPool returns a Pool that connects by TLS if config is not nil, and by plain TCP otherwise.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls:        config,
		clients:    map[string]*rpc.Client{},
		unanswered: map[*rpc.Client]int{},
	}
}

// BytesSent returns the number of bytes written for control calls since the pool was created.
func (p *Pool) BytesSent() int64 { return p.sent.Load() }

// BytesReceived returns the number of bytes read for control calls since the pool was created.
func (p *Pool) BytesReceived() int64 { return p.received.Load() }

// Call runs a method of the node at the address; it fails with ErrUnreachable or the method's own error.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		p.countUnanswered(address, client)
		return fmt.Errorf("%w: %s at %s: %w", ErrUnreachable, method, address, ctx.Err())
	case <-call.Done:
		return p.finishCall(address, client, call)
	}
}

// Close closes every connection; later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	clients := p.clients
	p.clients = map[string]*rpc.Client{}
	p.closed = true
	p.mu.Unlock()
	for _, c := range clients {
		_ = c.Close()
	}
}

// countUnanswered counts a call without an answer and closes the connection at maxUnansweredCalls.
func (p *Pool) countUnanswered(address string, client *rpc.Client) {
	p.mu.Lock()
	p.unanswered[client]++
	exceeded := p.unanswered[client] >= maxUnansweredCalls
	p.mu.Unlock()
	if exceeded {
		p.closeClient(address, client)
	}
}

// finishCall returns the result of an answered call; it closes the connection unless the error is the method's own.
func (p *Pool) finishCall(address string, client *rpc.Client, call *rpc.Call) error {
	p.mu.Lock()
	delete(p.unanswered, client)
	p.mu.Unlock()
	if call.Error == nil {
		return nil
	}
	var methodErr rpc.ServerError
	if errors.As(call.Error, &methodErr) {
		return fmt.Errorf("%s at %s: %w", call.ServiceMethod, address, call.Error)
	}
	p.closeClient(address, client)
	return fmt.Errorf("%w: %s at %s: %w", ErrUnreachable, call.ServiceMethod, address, call.Error)
}

// closeClient closes a connection and removes it from the pool.
func (p *Pool) closeClient(address string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	delete(p.unanswered, client)
	p.mu.Unlock()
	_ = client.Close()
}

// client returns the connection to the address and dials one if there is none.
func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[address]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, fmt.Errorf("%w: pool is closed", ErrUnreachable)
	}
	if ok {
		return client, nil
	}
	dialed, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.storeClient(address, dialed), nil
}

// storeClient stores a new client unless a concurrent call has stored one, which it then returns instead.
func (p *Pool) storeClient(address string, dialed *rpc.Client) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.clients[address]; ok {
		_ = dialed.Close()
		return existing
	}
	if !p.closed {
		p.clients[address] = dialed
	}
	return dialed
}

func (p *Pool) dial(ctx context.Context, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, address, err)
	}
	if err := handshake(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: open control connection to %s: %w", ErrUnreachable, address, err)
	}
	counted := &countedConn{
		Conn:     conn,
		sent:     &p.sent,
		received: &p.received,
	}
	return rpc.NewClient(counted), nil
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	if p.tls == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: p.tls}).DialContext(ctx, "tcp", address)
}

// handshake makes the peer's HTTP server switch the connection to control calls.
func handshake(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(conn, "CONNECT "+rpcPath+" HTTP/1.0\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHandshakeBytes)), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connectedStatus {
		return fmt.Errorf("peer answered %q", response.Status)
	}
	return conn.SetDeadline(time.Time{})
}

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent     *atomic.Int64
	received *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
