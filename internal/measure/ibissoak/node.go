package ibissoak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
	"github.com/ibisridge/ibisridge/platform"
)

const (
	serviceDesk  = "desk"
	serviceFloor = "floor"
	heartbeat    = 500 * time.Millisecond
	slots        = 6
	queue        = 12
	workTime     = 15 * time.Millisecond
	bodyBytes    = 3000
	graceTime    = 6 * time.Second
	// smallMemoryMb and smallMaxFds are those of the smallest instances.
	smallMemoryMb = 184
	smallMaxFds   = 4100
)

// node is one instance: a process of the program, a backend server beside it, and the proxies on its links.
type node struct {
	name    string
	domain  string
	service string
	ip      string
	file    string
	log     *os.File
	store   *proxy
	peers   *proxy
	ledger  *ibisapp.Ledger
	program string
	// byCall says that the backend server's keys are granted by calls.
	byCall bool

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	stopping     bool
	server       *ibisapp.Server
	incarnations int
}

// address returns an address of the instance.
func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// Ports of an instance; each instance has an address of its own.
const (
	portCallers = 7101 + iota
	portNodes
	portReadiness
	portHeartbeats
	portBackend
	portNodesProxy
	portStoreProxy
)

func newNode(index int, config Config, byCall bool, ledger *ibisapp.Ledger) (*node, error) {
	n := &node{
		name:    fmt.Sprintf("node-%d", index),
		domain:  fmt.Sprintf("domain-%d", index%3),
		service: serviceDesk,
		ip:      fmt.Sprintf("127.0.77.%d", index+1),
		ledger:  ledger,
		program: config.Program,
		byCall:  byCall,
	}
	if index%2 == 1 {
		n.service = serviceFloor
	}
	var err error
	if n.store, err = newProxy(n.address(portStoreProxy), storeAddress); err != nil {
		return nil, err
	}
	if n.peers, err = newProxy(n.address(portNodesProxy), n.address(portNodes)); err != nil {
		return nil, err
	}
	settings := platform.Settings{
		Node:           ibisid.NodeName(n.name),
		Address:        n.ip,
		Region:         "central",
		Domain:         ibisid.DomainName(n.domain),
		Service:        ibisid.ServiceName(n.service),
		BackendAddress: n.address(portBackend),
		Listen: platform.ListenSettings{
			Callers:    n.address(portCallers),
			Nodes:      n.address(portNodes),
			Readiness:  n.address(portReadiness),
			Heartbeats: n.address(portHeartbeats),
		},
		AdvertiseNodes: n.peers.address(),
		HeartbeatMs:    int(heartbeat.Milliseconds()),
		StoreAddress:   n.store.address(),
	}
	if config.Misbehaving > 0 {
		settings.MemoryMb, settings.MaxFds = smallMemoryMb, smallMaxFds
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	n.file = filepath.Join(config.Dir, n.name+".json")
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(config.Dir, n.name+".log"))
	return n, err
}

// start starts the node's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.program, "relay", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.stopping = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process, if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		_ = n.process.Process.Signal(s)
	}
}

// timedSignal is a signal that a process gets some time after it was asked to stop.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// restart ends the process by a signal, sends it the further ones while it stops, kills it after the grace, and starts it again. A
// planned stop that a further signal ends, or that fails, is reported.
func (n *node) restart(s syscall.Signal, pause time.Duration, further []timedSignal) error {
	n.mu.Lock()
	n.stopping = true
	exited, process := n.exited, n.process
	n.mu.Unlock()
	n.signal(s)
	for _, f := range further {
		time.AfterFunc(f.after, func() { _ = process.Process.Signal(f.signal) })
	}
	killed := s == syscall.SIGKILL
	select {
	case <-exited:
	case <-time.After(graceTime):
		killed = true
		n.signal(syscall.SIGKILL)
		<-exited
	}
	// A process may get the first signal before it handles any.
	if !killed && !process.ProcessState.Success() && process.ProcessState.Sys().(syscall.WaitStatus).Signal() != s {
		n.ledger.Report("%s was asked to stop and ended by: %v", n.name, process.ProcessState)
	}
	time.Sleep(pause)
	return n.start()
}

// startServer starts a new incarnation of the backend server, under its former id where that is asked for, unless one runs.
func (n *node) startServer(sameID bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server != nil {
		if n.server.Up() {
			return nil
		}
		// A server that is ending counts as down before its port is closed.
		n.server.Crash()
	}
	if !sameID {
		n.incarnations++
	}
	server, err := ibisapp.Start(ibisapp.Config{
		ID:        fmt.Sprintf("%s-s%d", n.name, n.incarnations),
		Service:   n.service,
		Domain:    n.domain,
		Address:   n.address(portBackend),
		Control:   n.address(portHeartbeats),
		Slots:     slots,
		Queue:     queue,
		Sharded:   n.service == serviceFloor,
		ByCall:    n.byCall,
		Heartbeat: heartbeat,
		Work:      workTime,
		Body:      bodyBytes,
	}, n.ledger)
	if err != nil {
		return err
	}
	n.server = server
	return nil
}

func (n *node) current() *ibisapp.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// ready asks whether the node can serve.
func (n *node) ready() bool {
	client := http.Client{
		Timeout: 500 * time.Millisecond,
	}
	response, err := client.Get("http://" + n.address(portReadiness) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends everything of the instance.
func (n *node) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited, server := n.exited, n.server
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
	if server != nil {
		server.Crash()
	}
	n.store.close()
	n.peers.close()
	_ = n.log.Close()
}
