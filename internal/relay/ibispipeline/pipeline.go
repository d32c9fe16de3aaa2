package ibispipeline

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

// Budget bounds the memory of the process; it is safe for concurrent use and must not call back.
type Budget interface {
	// Reserve reserves bytes, and reports false if they are not available.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}

// unlimited is the budget without a bound.
type unlimited struct{}

func (unlimited) Reserve(int) bool { return true }

func (unlimited) Release(int) {}

// Tracker tracks the underlying connections, as ibisconnections.Connections does.
type Tracker interface {
	// SetState records a connection's new state, as http.Server.ConnState reports it.
	SetState(conn net.Conn, state http.ConnState)
	// AwaitHeader records that a connection waits for the rest of a head, of which the begin has been read.
	AwaitHeader(conn net.Conn, begin []byte)
	// OnPeerClosed calls the function once when the peer has closed the connection, until the returned function is called.
	OnPeerClosed(conn net.Conn, closed func()) (stop func())
}

// Options configures a Pipeline.
type Options struct {
	// MaxRequests is the number of requests of a connection that run at once.
	MaxRequests int
	// MaxAnswerBytes is the number of bytes of answers of a connection that are buffered behind one that has not ended.
	MaxAnswerBytes int
	// HeadTimeout bounds the time for reading the head of a request where the tracker does not; zero means no bound.
	HeadTimeout time.Duration
	// Clock tells when heads arrive.
	Clock ibistimer.Service
	// Tracker tracks the underlying connections.
	Tracker Tracker
	// Budget bounds the bytes that are held; nil means no bound.
	Budget Budget
}

// Pipeline splits the connections of one http.Server; it is safe for concurrent use.
type Pipeline struct {
	options Options
	server  *http.Server
	// connections counts the connections that were split, requests those that ran beside others, heldBytes the bytes of requests and
	// answers that are held now.
	connections, requests, heldBytes atomic.Int64
}

// New returns the pipeline of an http.Server, whose ConnState and ConnContext must be set before.
func New(server *http.Server, options Options) *Pipeline {
	if options.Budget == nil {
		options.Budget = unlimited{}
	}
	p := &Pipeline{
		options: options,
		server:  server,
	}
	server.ConnState = p.setState
	return p
}

// Stats are the counts of a pipeline.
type Stats struct {
	// Connections is the number of connections on which requests were pipelined.
	Connections int64
	// Requests is the number of requests that were passed to the server while others of their connection ran.
	Requests int64
	// HeldBytes is the number of bytes of requests and answers that are held.
	HeldBytes int64
}

// Stats returns the counts.
func (p *Pipeline) Stats() Stats {
	return Stats{
		Connections: p.connections.Load(),
		Requests:    p.requests.Load(),
		HeldBytes:   p.heldBytes.Load(),
	}
}

// Listener returns a listener whose connections are split where requests are pipelined.
func (p *Pipeline) Listener(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		pipeline: p,
	}
}

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newSocket(l.pipeline, inner).primary, nil
}

// setState is the server's ConnState.
func (p *Pipeline) setState(nc net.Conn, state http.ConnState) {
	if conn, ok := nc.(*Conn); ok && state == http.StateIdle {
		conn.endAnswer()
	}
}

// serve has the server serve a virtual connection.
func (p *Pipeline) serve(conn *Conn) {
	one := &oneConn{
		conn: conn,
	}
	_ = p.server.Serve(one)
	if one.conn != nil {
		// The server has been closed.
		_ = conn.Close()
	}
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn *Conn
}

// Accept returns the connection at the first call.
func (l *oneConn) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

// Close does nothing.
func (l *oneConn) Close() error { return nil }

// Addr returns the address of the server.
func (l *oneConn) Addr() net.Addr { return nil }
