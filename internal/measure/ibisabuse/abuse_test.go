package ibisabuse_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibisabuse"
	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
	"github.com/ibisridge/ibisridge/platform"
)

// crowd, memoryMb and maxFds were fixed on the code that bounded neither memory nor descriptors.
var crowd, memoryMb, maxFds = 600, 48, 400

const (
	// answerBytes is the length of an ordinary answer.
	answerBytes = 30_000
	// sendTime is how long a crowd may take to send, and holdTime how long it stays on afterwards.
	sendTime = 3 * time.Second
	holdTime = 700 * time.Millisecond
	// waitTime is after how long the process counts as hung.
	waitTime = 40 * time.Second
)

// local is the address of the relay and of all beside it, clients that of the crowd.
var local, clients = "127.0.79.1", "127.0.79.200"

var program string

const (
	// programVariable names a built program to test in place of this version's.
	programVariable = "IBISABUSE_PROGRAM"
	// sizeVariable sets another crowd, memory and number of descriptors for runs by hand, as in "2500 184 4100".
	sizeVariable = "IBISABUSE_SIZE"
	// addressesVariable sets other addresses for runs by hand beside each other, as in "127.0.80.1 127.0.80.200".
	addressesVariable = "IBISABUSE_ADDRESSES"
)

func TestMain(m *testing.M) {
	if addresses := os.Getenv(addressesVariable); addresses != "" {
		if _, err := fmt.Sscan(addresses, &local, &clients); err != nil {
			panic(err)
		}
	}
	if size := os.Getenv(sizeVariable); size != "" {
		if _, err := fmt.Sscan(size, &crowd, &memoryMb, &maxFds); err != nil {
			panic(err)
		}
	}
	if program = os.Getenv(programVariable); program != "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "ibisabuse")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ibisrelay")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/ibisridge/ibisridge/cmd/ibisrelay").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// relay is the program with a store and a backend server beside it.
type relay struct {
	testing.TB
	file    string
	command *exec.Cmd
	exited  chan struct{}
	server  *ibisapp.Server
	// peakKb and fds are the greatest memory in kB and number of descriptors that the processes were seen with.
	peakKb, fds int
}

const config = `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"listeners":[{"host":"bed.example","ruleSet":[` +
	`{"name":"look","kind":"idempotent","targetLatencyMs":2000,"priority":1,"match":{"prefix":"/look/"},"action":{"service":"desk","timeoutMs":5000,"maxAttempts":2,"allowedRegions":[]}}]}],` +
	`"clusters":[{"name":"desk","healthPath":"/health","maxConnections":64,"coldStartS":1,"coldPerS":1000}]}`

// newRelay starts the store and the backend server, and the program unless it is to be started later.
func newRelay(t testing.TB) *relay {
	store := ibisrowstore.New()
	store.Put("op", "", "config", []byte(config))
	storeServer := httptest.NewServer(ibisrowstore.NewServer(store, 1))
	t.Cleanup(storeServer.Close)
	settings := platform.Settings{
		Node:           "n",
		Address:        local,
		Region:         "central",
		Domain:         "d1",
		Service:        "desk",
		BackendAddress: local + ":7201",
		Listen: platform.ListenSettings{
			Callers:    local + ":7202",
			Nodes:      local + ":7203",
			Readiness:  local + ":7204",
			Heartbeats: local + ":7205",
		},
		MetricsPort:  "7206",
		HeartbeatMs:  200,
		MemoryMb:     memoryMb,
		StoreAddress: strings.TrimPrefix(storeServer.URL, "http://"),
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	fields["maxFds"] = maxFds
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	r := &relay{
		TB:   t,
		file: filepath.Join(t.TempDir(), "settings.json"),
	}
	if err := os.WriteFile(r.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	server, err := ibisapp.Start(ibisapp.Config{
		ID:        "s",
		Service:   "desk",
		Domain:    "d1",
		Address:   settings.BackendAddress,
		Control:   settings.Listen.Heartbeats,
		Slots:     32,
		Queue:     8,
		Heartbeat: 200 * time.Millisecond,
		Work:      5 * time.Millisecond,
		Body:      answerBytes,
	}, ibisapp.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	r.server = server
	t.Cleanup(server.Crash)
	t.Cleanup(func() {
		if r.command != nil {
			_ = r.command.Process.Kill()
			<-r.exited
		}
	})
	return r
}

func (r *relay) start() {
	r.command = exec.Command(program, "--settings", r.file, "--log-level", "error")
	r.command.Stderr = os.Stderr
	if err := r.command.Start(); err != nil {
		r.Fatal(err)
	}
	exited, command := make(chan struct{}), r.command
	r.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// watch samples memory and descriptors until the time has passed.
func (r *relay) watch(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.sample()
	}
}

func (r *relay) sample() {
	dir := fmt.Sprintf("/proc/%d/", r.command.Process.Pid)
	if entries, err := os.ReadDir(dir + "fd"); err == nil {
		r.fds = max(r.fds, len(entries))
	}
	status, _ := os.ReadFile(dir + "status")
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			r.peakKb = max(r.peakKb, kb)
		}
	}
}

// awaitAnswer waits until an ordinary request is answered by the backend server.
func (r *relay) awaitAnswer() {
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	client := http.Client{
		Timeout:   3 * time.Second,
		Transport: transport,
	}
	var last error
	for end := time.Now().Add(waitTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.sample()
		select {
		case <-r.exited:
			r.Fatalf("the process has ended: %v", r.command.ProcessState)
		default:
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+local+":7202/look/ordinary", nil)
		if err != nil {
			r.Fatal(err)
		}
		request.Host = "bed.example"
		request.Header.Set("Attempt-Id", "1")
		response, err := client.Do(request)
		if err != nil {
			last = err
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(body) == answerBytes {
			return
		}
		last = fmt.Errorf("status %d, %d bytes: %v", response.StatusCode, len(body), err)
	}
	r.Errorf("no ordinary request was answered: %v", last)
}

func (r *relay) check() {
	r.Helper()
	r.sample()
	select {
	case <-r.exited:
		r.Errorf("the process has ended: %v", r.command.ProcessState)
	default:
	}
	r.checkBounds()
}

func (r *relay) checkBounds() {
	r.Helper()
	r.Logf("peak %.1f MB, %d descriptors", float64(r.peakKb)/1024, r.fds)
	if r.peakKb > memoryMb<<10 {
		r.Errorf("peak memory %d kB, must be at most %d", r.peakKb, memoryMb<<10)
	}
	if r.fds > maxFds {
		r.Errorf("%d descriptors, must be at most %d", r.fds, maxFds)
	}
}

// storeCalls is the target of calls of the store on behalf of other nodes, which differ from orders in how bodies are read.
const storeCalls = "store calls"

func targets() []ibisabuse.Target {
	const id = "Attempt-Id: x\r\n"
	order := `X-Ibis-Order: {"id":"x","service":"desk","class":"look","repeatable":true,"key":-1,"targetMs":2000,"leftMs":5000}` + "\r\n"
	target := func(name, port, method, path, fields string) ibisabuse.Target {
		return ibisabuse.Target{
			Name:    name,
			Address: local + ":" + port,
			Head: ibisabuse.Head{
				Host:       "bed.example",
				Path:       path,
				BodyMethod: method,
				Fields:     id + fields,
			},
		}
	}
	return []ibisabuse.Target{
		target("callers", "7202", "POST", "/look/crowd", ""),
		target("nodes", "7203", "POST", "/look/crowd", order),
		target(storeCalls, "7203", "POST", "/", "X-Ibis-Store: 1\r\n"),
		target("readiness", "7204", "POST", "/-/readiness", ""),
		target("heartbeats", "7205", "PUT", "/-/instances/crowd", ""),
		target("metrics", "7206", "POST", "/metrics", ""),
	}
}

// TestCrowd guards against clients of one kind at one port that make the process exceed its memory or descriptors, or keep
// ordinary callers from being served, while they are still connected.
func TestCrowd(t *testing.T) {
	for _, target := range targets() {
		for _, kind := range ibisabuse.Kinds() {
			if target.Name == storeCalls && !strings.HasPrefix(kind.Name, "body") {
				continue
			}
			t.Run(target.Name+"/"+kind.Name, func(t *testing.T) {
				crowdAt(t, []ibisabuse.Target{target}, []ibisabuse.Kind{kind})
			})
		}
	}
	t.Run("mixture", func(t *testing.T) { crowdAt(t, targets(), ibisabuse.Kinds()) })
}

func crowdAt(t *testing.T, targets []ibisabuse.Target, kinds []ibisabuse.Kind) {
	r := newRelay(t)
	r.start()
	r.awaitAnswer()
	c := ibisabuse.Start(clients, crowd, targets, kinds)
	defer c.End()
	c.AwaitSent(sendTime)
	r.watch(holdTime)
	r.awaitAnswer()
	r.check()
}

// TestEndlessAnswers guards against a backend server that sends bytes without end in place of an answer, in a head or in a body: a
// process that keeps them exceeds its memory, and the requests of all its callers end with it.
func TestEndlessAnswers(t *testing.T) {
	for name, fault := range ibisapp.EndlessFaults() {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t)
			r.start()
			r.awaitAnswer()
			r.server.SetFault(fault)
			c := ibisabuse.Start(clients, crowd, targets()[:2], ibisabuse.Askers())
			defer c.End()
			c.AwaitSent(sendTime)
			r.watch(holdTime)
			r.server.SetFault(ibisapp.FaultNone)
			r.awaitAnswer()
			r.check()
		})
	}
}

// TestWaveAfterRestart guards against clients that reach a process before it has a configuration, and so its limits.
func TestWaveAfterRestart(t *testing.T) {
	r := newRelay(t)
	r.start()
	r.awaitAnswer()
	_ = r.command.Process.Kill()
	<-r.exited
	c := ibisabuse.Start(clients, crowd, targets(), ibisabuse.Kinds())
	defer c.End()
	r.start()
	c.AwaitSent(sendTime)
	r.watch(holdTime)
	r.awaitAnswer()
	r.check()
}

// TestPlannedStop guards against clients that keep a process from stopping in time, or end it before.
func TestPlannedStop(t *testing.T) {
	r := newRelay(t)
	r.start()
	r.awaitAnswer()
	c := ibisabuse.Start(clients, crowd, targets(), ibisabuse.Kinds())
	defer c.End()
	r.watch(holdTime)
	_ = r.command.Process.Signal(syscall.SIGTERM)
	hung := time.After(waitTime)
	for stopped := false; !stopped; {
		r.sample()
		select {
		case <-r.exited:
			stopped = true
		case <-hung:
			t.Fatal("the process did not stop")
		case <-time.After(20 * time.Millisecond):
		}
	}
	if !r.command.ProcessState.Success() {
		t.Errorf("the process ended by %v", r.command.ProcessState)
	}
	r.checkBounds()
	r.start()
	r.awaitAnswer()
	r.check()
}
