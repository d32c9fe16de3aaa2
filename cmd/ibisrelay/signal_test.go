package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
	"github.com/ibisridge/ibisridge/platform"
)

const (
	// programVariable makes the test binary run the program instead of the tests.
	programVariable = "IBISRELAY_TEST_PROGRAM"
	waitTimeout     = 30 * time.Second
	workTime        = 1500 * time.Millisecond
	pollInterval    = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the program with a store and a backend server beside it.
type process struct {
	*testing.T
	settings platform.Settings
	file     string
	ledger   *ibisapp.Ledger
	command  *exec.Cmd
	// logReader is the reading end of the program's output.
	logReader io.ReadCloser
	exited    chan error
	sent      atomic.Int64
}

// startProcess starts the program on a loopback address of its own, with ports that the system gives to nobody else; its settings
// file is a pipe, so that it waits for finishSettings.
func startProcess(t *testing.T, host string) *process {
	return startProcessWith(t, host, startStore(t), ibisapp.NewLedger(), workTime)
}

// startStore starts a store with a configuration and returns its address.
func startStore(t *testing.T) string {
	store := ibisrowstore.New()
	store.Put("op", "", "config", []byte(`{"version":"00000001","limits":{"maxHeaderBytes":2000,"maxBodyBytes":1000,"headerTimeoutMs":400,`+
		`"idleTimeoutMs":60000},"listeners":[{"host":"bed.example","ruleSet":[{"name":"book","kind":"non_idempotent","targetLatencyMs":4000,`+
		`"priority":1,"match":{"prefix":"/book/"},"action":{"service":"desk","timeoutMs":5000,"maxAttempts":2,"allowedRegions":[]}}]}],`+
		`"clusters":[{"name":"desk","healthPath":"/health","maxConnections":64,"coldStartS":1,"coldPerS":1000}]}`))
	storeServer := httptest.NewServer(ibisrowstore.NewServer(store, 1))
	t.Cleanup(storeServer.Close)
	return strings.TrimPrefix(storeServer.URL, "http://")
}

// startProcessWith starts the program beside a store that others share, and a backend server that writes to the ledger.
func startProcessWith(t *testing.T, host, storeAddress string, ledger *ibisapp.Ledger, work time.Duration) *process {
	p := &process{
		T:      t,
		file:   filepath.Join(t.TempDir(), "settings.json"),
		ledger: ledger,
		exited: make(chan error, 1),
		settings: platform.Settings{
			Node:           "n",
			Address:        host,
			Region:         "central",
			Domain:         "d1",
			Service:        "desk",
			BackendAddress: host + ":7101",
			Listen: platform.ListenSettings{
				Callers:    host + ":7102",
				Nodes:      host + ":7103",
				Readiness:  host + ":7104",
				Heartbeats: host + ":7105",
			},
			HeartbeatMs:  200,
			StoreAddress: storeAddress,
		},
	}
	if err := syscall.Mkfifo(p.file, 0o600); err != nil {
		t.Fatal(err)
	}
	server, err := ibisapp.Start(ibisapp.Config{
		ID:        "s-" + host,
		Service:   "desk",
		Domain:    "d1",
		Address:   p.settings.BackendAddress,
		Control:   p.settings.Listen.Heartbeats,
		Slots:     64,
		Queue:     8,
		Heartbeat: 200 * time.Millisecond,
		Work:      work,
		Body:      100,
	}, p.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Crash)
	p.command = exec.Command(os.Args[0], "--settings", p.file)
	p.command.Env = append(os.Environ(), programVariable+"=1")
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.logReader = logReader
	p.command.Stdout, p.command.Stderr = logWriter, logWriter
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = logWriter.Close()
	go func() { p.exited <- p.command.Wait() }()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	return p
}

// finishSettings lets the first read of the settings end, and serves later ones from a plain file.
func (p *process) finishSettings(pipe *os.File) {
	text, err := json.Marshal(p.settings)
	if err != nil {
		p.Fatal(err)
	}
	plain := p.file + ".plain"
	if err := os.WriteFile(plain, text, 0o600); err != nil {
		p.Fatal(err)
	}
	if err := os.Rename(plain, p.file); err != nil {
		p.Fatal(err)
	}
	if _, err := pipe.Write(text); err != nil {
		p.Fatal(err)
	}
	_ = pipe.Close()
}

// awaitReadiness waits until the readiness probe gets the status, 0 for no answer.
func (p *process) awaitReadiness(status int) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		got := 0
		if response, err := http.Get("http://" + p.settings.Listen.Readiness + "/-/readiness"); err == nil {
			_ = response.Body.Close()
			got = response.StatusCode
		}
		if got == status {
			return
		}
	}
	p.Fatalf("the readiness probe did not get %d within %s", status, waitTimeout)
}

// book sends an order and returns its outcome, nil for a complete answer of the backend server.
func (p *process) book() <-chan error {
	outcome := make(chan error, 1)
	id := fmt.Sprintf("%016x", p.sent.Add(1))
	go func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Callers+"/book/x", strings.NewReader("x"))
		if err != nil {
			outcome <- err
			return
		}
		request.Host = "bed.example"
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Time-Remaining-Ms", "4000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			outcome <- err
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", response.StatusCode, body)
		}
		outcome <- err
	}()
	return outcome
}

// awaitServed waits until an order is served: a node may be ready before it has heard its backend server.
func (p *process) awaitServed() {
	var last error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if last = <-p.book(); last == nil {
			return
		}
	}
	p.Fatalf("no order was served within %s: %v", waitTimeout, last)
}

// awaitRunning waits until the backend server has begun n orders, of which the last one has the outcome.
func (p *process) awaitRunning(n int, outcome <-chan error) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if p.ledger.Total() >= n {
			return
		}
		select {
		case err := <-outcome:
			p.Fatalf("order %d ended before it ran: %v", n, err)
		default:
		}
	}
	p.Fatalf("the backend server did not begin %d orders within %s", n, waitTimeout)
}

func (p *process) signal(signals ...syscall.Signal) {
	for _, s := range signals {
		if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			p.Fatal(err)
		}
		// The kernel merges equal signals that are pending at once.
		time.Sleep(pollInterval)
	}
}

// TestSignals guards against a signal in some phase of the process that ends requests which run at the backend server.
func TestSignals(t *testing.T) {
	harmless := []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGHUP}
	stops := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM}
	tests := []struct {
		name               string
		settings           []syscall.Signal
		serving, stopping  []syscall.Signal
		untilExit          []syscall.Signal
		stop               syscall.Signal
		closeLogWhileWork  bool
		closeLogWhileStops bool
	}{
		{
			name:     "while it reads its settings at the start",
			settings: harmless,
			stop:     syscall.SIGTERM,
		},
		{
			name:    "while it serves",
			serving: harmless,
			stop:    syscall.SIGTERM,
		},
		{
			name:     "while it stops after SIGTERM",
			stopping: append(stops, harmless...),
			stop:     syscall.SIGTERM,
		},
		{
			name:     "while it stops after SIGINT",
			stopping: append(stops, harmless...),
			stop:     syscall.SIGINT,
		},
		{
			name:      "until it has exited",
			untilExit: stops,
			stop:      syscall.SIGTERM,
		},
		{
			name:              "by the end of the reader of its log while it serves",
			closeLogWhileWork: true,
			serving:           harmless,
			stop:              syscall.SIGTERM,
		},
		{
			name:               "by the end of the reader of its log while it stops",
			closeLogWhileStops: true,
			stop:               syscall.SIGTERM,
		},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, fmt.Sprintf("127.0.78.%d", i+1))
			go func() {
				if !test.closeLogWhileWork && !test.closeLogWhileStops {
					_, _ = io.Copy(io.Discard, p.logReader)
				}
			}()
			settings, err := os.OpenFile(p.file, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			p.signal(test.settings...)
			p.finishSettings(settings)
			p.awaitReadiness(http.StatusOK)
			p.awaitServed()
			begun := p.ledger.Total()

			serving := p.book()
			p.awaitRunning(begun+1, serving)
			if test.closeLogWhileWork {
				_ = p.logReader.Close()
			}
			p.signal(test.serving...)
			if err := <-serving; err != nil {
				t.Errorf("order while serving: %v", err)
			}

			stopping := p.book()
			p.awaitRunning(begun+2, stopping)
			if test.closeLogWhileStops {
				_ = p.logReader.Close()
			}
			p.signal(test.stop)
			p.awaitReadiness(http.StatusServiceUnavailable)
			p.signal(test.stopping...)
			if err := <-stopping; err != nil {
				t.Errorf("order while stopping: %v", err)
			}
			for {
				select {
				case err := <-p.exited:
					if err != nil {
						t.Errorf("the process ended by %v, must exit with 0", err)
					}
					return
				case <-time.After(pollInterval):
					p.signal(test.untilExit...)
				}
			}
		})
	}
}
