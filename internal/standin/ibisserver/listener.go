package ibisserver

import (
	"net"
	"net/http"
	"sync"
)

// limitedListener accepts no more than a number of connections at once; others wait in the kernel's queue.
type limitedListener struct {
	net.Listener
	free chan struct{}
	done chan struct{}
	once sync.Once
}

func limitListener(listener net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: listener,
		free:     make(chan struct{}, limit),
		done:     make(chan struct{}),
	}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{
		Conn:    conn,
		release: sync.OnceFunc(func() { <-l.free }),
	}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
	case http.StateClosed, http.StateHijacked:
		s.connections--
	}
}
