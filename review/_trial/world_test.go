package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

// Figures of the users' small deployments.
const (
	heartbeatInterval = 1500 * time.Millisecond
	graceS            = 6
	maxGrantMs        = 10000
	memoryMb          = 284
	maxFds            = 4100
)

// world is a deployment: the platform's store, nodes as processes of the program, and backend servers beside them.
type world struct {
	program string
	dir     string
	began   time.Time
	store   *ibisrowstore.Store
	// storeAddr is the address of the store.
	storeAddr string

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	nodes    []*node
	backends []*backend
	closed   bool
}

func newWorld(program, record string) (*world, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: path,
		dir:     dir,
		began:   time.Now(),
		store:   ibisrowstore.New(),
		file:    file,
		record:  bufio.NewWriter(file),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, ibisrowstore.NewServer(w.store, 1)) }()
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the case started.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	nodes, backends := w.nodes, w.backends
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	for _, b := range backends {
		b.crash()
	}
	for _, n := range nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	targetMs, timeoutMs, priority     int
	maxAttempts                       int
	regions                           []string
}

// service is one service of the configuration.
type service struct {
	name       string
	coldPerS   float64
	coldStartS float64
	channels   int
}

// configure writes a version of the configuration as the operator does.
func (w *world) configure(version int, services []service, routes []route) {
	byHost := make(map[string][]any)
	for _, r := range routes {
		regions := r.regions
		if regions == nil {
			regions = []string{}
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": r.name, "kind": r.kind, "targetLatencyMs": r.targetMs, "priority": r.priority,
			"match": map[string]any{"prefix": r.prefix},
			"action": map[string]any{
				"service": r.service, "timeoutMs": r.timeoutMs, "maxAttempts": r.maxAttempts, "allowedRegions": regions,
			},
		})
	}
	listeners := []any{}
	for host, rules := range byHost {
		listeners = append(listeners, map[string]any{"host": host, "ruleSet": rules})
	}
	clusters := []any{}
	for _, s := range services {
		cluster := map[string]any{
			"name": s.name, "healthPath": "/health", "maxConnections": s.channels, "protocol": "h1", "tls": false,
			"coldStartS": s.coldStartS, "coldPerS": s.coldPerS,
		}
		clusters = append(clusters, cluster)
	}
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "", "config", text)
	w.note("configuration %08x written", version)
}

// node is a process of the program with the addresses that its settings name.
type node struct {
	world                                  *world
	name                                   string
	zone, region, service                  string
	outbound, inbound, ready, control, app string
	ports                                  []string
	settings                               string
	log                                    *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// regions maps the zones to their regions.
var regions = map[string]string{"kandy-a": "central", "colombo-a": "western", "galle-a": "southern"}

// freeAddresses returns addresses of the IP whose ports are free.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// addNode adds an instance of the zone with a loopback address of its own; its node is not started yet.
func (w *world) addNode(zone, serviceName string, change func(settings map[string]any)) (*node, error) {
	w.mu.Lock()
	index := len(w.nodes) + 1
	w.mu.Unlock()
	ip := fmt.Sprintf("127.0.91.%d", index)
	addresses, err := freeAddresses(ip, 6)
	if err != nil {
		return nil, err
	}
	n := &node{
		world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, index), zone: zone, region: regions[zone], service: serviceName,
		outbound: addresses[0], inbound: addresses[1], ready: addresses[2], control: addresses[3], app: addresses[4],
	}
	_, metrics, _ := net.SplitHostPort(addresses[5])
	settings := map[string]any{
		"node": n.name, "address": ip, "region": n.region, "domain": zone, "service": serviceName, "backendAddress": n.app,
		"listen": map[string]any{"callers": n.outbound, "nodes": n.inbound, "readiness": n.ready, "heartbeats": n.control},
		"grants": "heartbeat", "metricsPort": metrics, "heartbeatMs": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2500, "graceS": graceS, "holdMaxMs": maxGrantMs,
		},
		"regions": regions, "memoryMb": memoryMb, "maxFds": maxFds, "linkMbps": 1000.0, "storeAddress": w.storeAddr,
	}
	if change != nil {
		change(settings)
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.world.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.world.dir, "IBISRIDGE_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.world.note("%s started", n.name)
	return nil
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-exited
}

// isReady asks the node whether it is ready.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the nodes were not ready in time")

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(ctx context.Context) error {
	for _, n := range w.nodes {
		for !n.isReady() {
			if ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("all nodes are ready")
	return nil
}
