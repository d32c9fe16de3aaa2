package ibisscenario

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// claimPort is held for the life of a world, so that no other takes its network.
	claimPort    = 6999
	platformPort = 7000
	callerPort   = 7080
	peerPort     = 7081
	operatorPort = 7082
	backendPort  = 7083
	serverPort   = 7090
	relayPort    = 7100

	startTimeout   = 30 * time.Second
	requestTimeout = 60 * time.Second
	pollPeriod     = 50 * time.Millisecond
)

// world is all that runs in one scenario.
type world struct {
	dir      string
	network  byte
	next     byte
	client   *http.Client
	claim    net.Listener
	platform *platformProcess
	// mu guards nodes against relays, which look for the source of a connection, and apart.
	mu       sync.Mutex
	apart    map[string]bool
	nodes    map[string]*nodeProcess
	backends map[string]*backendProcess
	last     *sent
	pending  map[string]chan *sent
	keys     map[string]string
	sources  sources
}

type platformProcess struct {
	*process
	address string
}

type nodeProcess struct {
	*process
	address  string
	region   string
	platform *relay
	peers    *relay
}

type backendProcess struct {
	*process
	address string
	buried  counts
}

// newWorld takes a network of loopback addresses of its own, so that scenarios may run side by side on fixed ports.
func newWorld(dir string) (*world, error) {
	w := &world{
		dir: dir,
		client: &http.Client{
			Timeout: requestTimeout,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
		apart:    make(map[string]bool),
		nodes:    make(map[string]*nodeProcess),
		backends: make(map[string]*backendProcess),
		pending:  make(map[string]chan *sent),
		keys:     make(map[string]string),
	}
	w.sources.nodes = w.running
	for range 100 {
		w.network = byte(2 + rand.IntN(250))
		claim, err := net.Listen("tcp", w.address(0, claimPort))
		if err != nil {
			continue
		}
		if listening(w.address(0, platformPort)) == nil {
			_ = claim.Close()
			continue
		}
		w.claim = claim
		w.platform = &platformProcess{
			address: w.address(0, platformPort),
		}
		return w, nil
	}
	return nil, fmt.Errorf("no free network of loopback addresses")
}

// running returns the process ids of the nodes that run.
func (w *world) running() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int)
	for name, n := range w.nodes {
		if n.process != nil && n.process.running() {
			out[name] = n.cmd.Process.Pid
		}
	}
	return out
}

// address returns an address of a host of the world's network.
func (w *world) address(host byte, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, w.network, host+1, port)
}

// host returns a host of the network that nothing uses yet.
func (w *world) host() byte {
	w.next++
	return w.next
}

func (w *world) node(name string) (*nodeProcess, error) {
	n, ok := w.nodes[name]
	if !ok {
		return nil, fmt.Errorf("there is no node %q", name)
	}
	return n, nil
}

func (w *world) backend(name string) (*backendProcess, error) {
	b, ok := w.backends[name]
	if !ok {
		return nil, fmt.Errorf("there is no backend server %q", name)
	}
	return b, nil
}

// close ends every process and relay of the world.
func (w *world) close() {
	defer func() { _ = w.claim.Close() }()
	var all []*process
	for _, b := range w.backends {
		all = append(all, b.process)
	}
	for _, n := range w.nodes {
		all = append(all, n.process)
		n.platform.close()
		n.peers.close()
	}
	if w.platform.process != nil {
		all = append(all, w.platform.process)
	}
	for _, p := range all {
		if p.running() {
			p.kill()
		}
	}
}

// poll repeats a check until it passes or the limit is over.
func poll(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s: %w", limit, err)
		}
		time.Sleep(pollPeriod)
	}
}

// listening reports whether something accepts connections at the address.
func listening(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	return conn.Close()
}
