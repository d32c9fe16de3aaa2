package ibisscenario

import (
	"net"
	"os"
	"runtime"
	"testing"
)

// strange is a connection that is asked for its other end only where a lookup of its source is called for.
type strange struct {
	net.Conn
	asked bool
}

func (s *strange) RemoteAddr() net.Addr {
	s.asked = true
	return nil
}

func TestPassesLooksForTheSourceOnlyWhileARegionIsCutOff(t *testing.T) {
	w := &world{apart: make(map[string]bool)}
	conn := &strange{}
	if !w.passes(conn, "uusimaa") || conn.asked {
		t.Error("the source was looked up though all regions are together")
	}
	w.apart["pirkanmaa"] = true
	if !w.passes(conn, "uusimaa") || !conn.asked {
		t.Error("the source was not looked up though a region is cut off")
	}
	w.apart["pirkanmaa"] = false
	conn.asked = false
	if !w.passes(conn, "uusimaa") || conn.asked {
		t.Error("the source was looked up though the region is back")
	}
}

// asked returns the number of questions that wait for the next walk.
func (s *sources) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func TestSourcesTellWhichProcessOpenedAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const connections = 50
	accepted := make(chan net.Conn, connections)
	for range connections {
		dialed, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = dialed.Close() }()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		accepted <- conn
	}
	walks := 0
	began := make(chan struct{})
	var s *sources
	s = &sources{nodes: func() map[string]int {
		walks++
		if walks == 1 {
			close(began)
			for s.asked() < connections-1 {
				runtime.Gosched()
			}
		}
		return map[string]int{"own": os.Getpid(), "other": 1}
	}}
	names := make(chan string, connections)
	ask := func(conn net.Conn) { names <- s.of(conn) }
	go ask(<-accepted)
	<-began
	for range connections - 1 {
		go ask(<-accepted)
	}
	for range connections {
		if name := <-names; name != "own" {
			t.Errorf("a connection of this process is taken for one of %q", name)
		}
	}
	if walks != 2 {
		t.Errorf("%d walks for one question and %d that came meanwhile", walks, connections-1)
	}
}
