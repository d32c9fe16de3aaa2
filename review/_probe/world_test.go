package probe

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	// usualHeartbeat is the time between two pings of a backend server.
	usualHeartbeat = 870 * time.Millisecond
	// startLimit bounds the time until all nodes are ready and all keys are held.
	startLimit = 20 * time.Second
	// service is the service of all backend servers, which is divided by key.
	service = "wuno96b"
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// record writes what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	broken int
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.line("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// world is a small deployment: the store, nodes and backend servers.
type world struct {
	*record
	dir     string
	program string
	// trouble is whether the disruption is brought about.
	trouble bool
	store   *ibisrowstore.Store
	faults  *ibisrowstore.Server
	address string
	// heartbeat is the time between two pings of a backend server.
	heartbeat time.Duration
	judge     *judge
	nodes     []*node
	backends  []*backend
}

// newWorld starts the store; program is the relay's node, and dir gets settings and logs.
func newWorld(r *record, dir, program string) (*world, error) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: store: %w", errSetup, err)
	}
	w := &world{
		record:    r,
		dir:       dir,
		program:   program,
		trouble:   os.Getenv("TROUBLE") != "0",
		store:     ibisrowstore.New(),
		address:   listener.Addr().String(),
		heartbeat: usualHeartbeat,
		judge:     newJudge(r),
	}
	w.faults = ibisrowstore.NewServer(w.store, 1)
	server := &http.Server{
		Handler: w.faults,
	}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

// regions maps failure domains to their regions.
var regions = map[string]string{
	"kandy-a":   "central",
	"colombo-a": "western",
	"galle-a":   "southern",
}

// config is the operator's configuration; GRANTS is how keys are granted.
const config = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"ficu95.example","ruleSet":[
{"name":"renewal","kind":"non_idempotent","targetLatencyMs":800,"priority":1,"match":{"prefix":"/pufi791/"},
"action":{"service":"wuno96b","timeoutMs":5000,"maxAttempts":2,"allowedRegions":[]}},
{"name":"export","kind":"download","targetLatencyMs":800,"priority":2,"match":{"prefix":"/pule252/"},
"action":{"service":"wuno96b","timeoutMs":5000,"maxAttempts":2,"allowedRegions":[]}}]}],
"clusters":[{"name":"wuno96b","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":12.0,
"sharded":true,"warmupS":2.0,"grants":"GRANTS"}]}`

// How keys are granted to backend servers.
const (
	byHeartbeat = "heartbeat"
	byCall      = "call"
)

// start configures the service and starts three instances in three regions; it waits until they serve.
func (w *world) start(grants string) error {
	w.configure(grants)
	for range 3 {
		if err := w.addInstance(grants); err != nil {
			return err
		}
	}
	return w.awaitWhole()
}

// configure writes the operator's configuration.
func (w *world) configure(grants string) {
	w.store.Put("op", "", "config", []byte(strings.ReplaceAll(config, "GRANTS", grants)))
}

// addInstance starts a node with a backend server beside it.
func (w *world) addInstance(grants string) error {
	i := len(w.nodes)
	// The first instance is alone in its failure domain.
	domain := "kandy-a"
	if i > 0 {
		domain = []string{"colombo-a", "galle-a"}[i%2]
	}
	n, err := w.addNode(fmt.Sprintf("node-%d", i+1), domain, grants)
	if err != nil {
		return err
	}
	b, err := w.newBackend(n, fmt.Sprintf("i-%d", i+1), grants)
	if err != nil {
		return err
	}
	b.serve()
	return nil
}

// node is a process of the relay.
type node struct {
	world    *world
	name     string
	settings string
	callers  string
	ready    string
	control  string
	backend  string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// loopback is the loopback address of this run: its ports are not taken by other runs, or by connections that are opened from 127.0.0.1.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff)

// freeAddress returns an address of this run with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// addNode writes the settings of a node and starts it.
func (w *world) addNode(name, domain, grants string) (*node, error) {
	n := &node{
		world:    w,
		name:     name,
		settings: filepath.Join(w.dir, name+".json"),
		callers:  freeAddress(),
		ready:    freeAddress(),
		control:  freeAddress(),
		backend:  freeAddress(),
	}
	text, err := json.Marshal(map[string]any{
		"node":           name,
		"address":        loopback,
		"region":         regions[domain],
		"domain":         domain,
		"service":        service,
		"backendAddress": n.backend,
		"listen": map[string]any{
			"callers":    n.callers,
			"nodes":      freeAddress(),
			"readiness":  n.ready,
			"heartbeats": n.control,
		},
		"grants":      grants,
		"metricsPort": "",
		"heartbeatMs": w.heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2500, "rollbackSlackMs": 250, "maxSkewMs": 5000, "holdMaxMs": 10000, "thawSlackMs": 300,
		},
		"regions":      regions,
		"memoryMb":     284,
		"maxFds":       4100,
		"linkMbps":     1000.0,
		"storeAddress": w.address,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.start()
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.world.program)
	cmd.Env = []string{"IBISRIDGE_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (n *node) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitWhole waits until all nodes are ready and every key is held.
func (w *world) awaitWhole() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range w.nodes {
			ready = ready && n.isReady()
		}
		if ready && w.judge.heldKeys() == keys {
			w.line("all %d nodes are ready and all keys are held", len(w.nodes))
			return nil
		}
	}
	for _, n := range w.nodes {
		w.line("%s is ready: %t", n.name, n.isReady())
	}
	w.copyLogs(`"level":"warn"`, `"level":"error"`, "error:", "call to the backend server")
	return fmt.Errorf("%w: after %s nodes are not ready, or only %d of %d keys are held", errSetup, startLimit, w.judge.heldKeys(), keys)
}

// holderAndEntry returns the backend server that holds a key, and a node beside another one.
func (w *world) holderAndEntry(key int) (*backend, *node, error) {
	holder := w.judge.holder(key)
	for i, b := range w.backends {
		if holder != nil && b != holder {
			return holder, w.nodes[i], nil
		}
	}
	return nil, nil, fmt.Errorf("%w: nobody holds key %d", errSetup, key)
}

// end ends all that was started.
func (w *world) end() {
	for _, b := range w.backends {
		b.crash()
	}
	for _, n := range w.nodes {
		n.kill()
	}
}

// copyLogs appends the log lines of the nodes that contain one of the texts to the record.
func (w *world) copyLogs(texts ...string) {
	for _, n := range w.nodes {
		log, err := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(log) {
			for _, text := range texts {
				if bytes.Contains(line, []byte(text)) {
					w.line("log: %s", bytes.TrimSpace(line))
					break
				}
			}
		}
	}
}
