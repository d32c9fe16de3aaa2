package ibisscenario

import (
	"io"
	"net"
	"sync"
)

// relay passes TCP connections on to one address until it is cut; a cut breaks the standing ones and swallows new ones.
type relay struct {
	listener net.Listener
	target   string
	// allowed says whether a new connection may pass while the relay is not cut; nil lets all pass.
	allowed func(net.Conn) bool

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newRelay(listen, target string, allowed func(net.Conn) bool) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener: listener,
		target:   target,
		allowed:  allowed,
		conns:    make(map[net.Conn]struct{}),
	}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// reset breaks the standing connections, so that the next ones are judged anew.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut(true)
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

// pass joins a connection with one to the target; while the relay is cut it holds the connection without an answer.
func (r *relay) pass(near net.Conn) {
	defer r.drop(near)
	if !r.keep(near) || r.allowed != nil && !r.allowed(near) {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(far)
	if !r.keep(far) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { copyHalf(far, near) })
	group.Go(func() { copyHalf(near, far) })
	group.Wait()
}

// copyHalf copies one direction and passes its end on, so that the other direction may still finish.
func copyHalf(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// keep remembers a connection and reports whether it may pass.
func (r *relay) keep(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
	return !r.cut
}

func (r *relay) drop(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
