package ibismember

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// Server answers the control calls of other nodes and passes their forwarded requests to a handler.
type Server struct {
	rpc      *rpc.Server
	forward  http.Handler
	sent     atomic.Int64
	received atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that passes forwarded requests to the handler.
func NewServer(forward http.Handler) *Server {
	return &Server{
		rpc:     rpc.NewServer(),
		forward: forward,
		conns:   map[net.Conn]struct{}{},
	}
}

// Register makes the methods of a receiver callable under the name; it panics if the receiver has no suitable methods.
func (s *Server) Register(name string, receiver any) {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		panic(fmt.Sprintf("register control methods %s: %v", name, err))
	}
}

// BytesSent returns the number of bytes written in answer to control calls since the server was created.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// BytesReceived returns the number of bytes read for control calls since the server was created.
func (s *Server) BytesReceived() int64 { return s.received.Load() }

// ServeHTTP serves control calls on a connection that sends CONNECT, and passes all other requests to the handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		s.forward.ServeHTTP(w, r)
		return
	}
	if r.URL.Path != rpcPath && r.RequestURI != rpcPath {
		http.Error(w, "CONNECT is for control calls only", http.StatusMethodNotAllowed)
		return
	}
	s.serveControl(w)
}

// Close closes every connection for control calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serveControl(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "connection can't be taken over", http.StatusInternalServerError)
		return
	}
	counted := &countedConn{
		Conn:     conn,
		sent:     &s.sent,
		received: &s.received,
	}
	s.track(conn)
	defer s.untrack(conn)
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectedStatus+"\n\n"); err != nil {
		return
	}
	s.rpc.ServeConn(bufferedConn{
		Conn:   counted,
		reader: buffered.Reader,
	})
}

func (s *Server) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// bufferedConn first reads the bytes that the HTTP server had already buffered.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c bufferedConn) Read(b []byte) (int, error) {
	if c.reader.Buffered() > 0 {
		return c.reader.Read(b)
	}
	return c.Conn.Read(b)
}
