package ibissoak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	modePass mode = iota
	// modeSlow delays each read.
	modeSlow
	// modeCut passes nothing either way, without a word, and takes no new connections.
	modeCut
	// modeCutAnswers passes requests and nothing back.
	modeCutAnswers
	modes
)

const (
	slowBy     = 150 * time.Millisecond
	proxyChunk = 16 << 10
)

// proxy passes connections on to one address and does to them what it is told.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	ended chan struct{}
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener,
		target:   target,
		ended:    make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset ends every connection with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	close(p.ended)
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.waitWhileCut() {
			_ = from.Close()
			return
		}
		to, err := net.DialTimeout("tcp4", p.target, time.Second)
		if err != nil {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns[from], p.conns[to] = true, true
		p.mu.Unlock()
		go p.pump(from, to, false)
		go p.pump(to, from, true)
	}
}

// waitWhileCut returns once the link passes bytes, and false if the proxy has ended.
func (p *proxy) waitWhileCut() bool {
	const poll = 20 * time.Millisecond
	for p.current() == modeCut {
		select {
		case <-p.ended:
			return false
		case <-time.After(poll):
		}
	}
	return true
}

// pump passes bytes one way until either side ends.
func (p *proxy) pump(from, to net.Conn, back bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.hold(back) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold keeps bytes for as long as the link's mode asks for, and reports false if the proxy has ended meanwhile.
func (p *proxy) hold(back bool) bool {
	const poll = 20 * time.Millisecond
	if p.current() == modeSlow {
		time.Sleep(slowBy)
	}
	for m := p.current(); m == modeCut || m == modeCutAnswers && back; m = p.current() {
		select {
		case <-p.ended:
			return false
		case <-time.After(poll):
		}
	}
	return true
}
