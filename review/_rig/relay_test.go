package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// instance is a machine with a relay and a backend server beside it.
type instance struct {
	name     string
	ip       string
	zone     string
	region   string
	service  string
	dir      string
	program  string
	record   *record
	settings string
	log      *os.File
	process  *exec.Cmd
	exited   chan struct{}

	callers, nodes, readiness, control, backend string
}

// freeAddress returns an address of the IP with a port that nobody uses.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// place is where an instance stands and what runs there.
type place struct {
	name, ip, zone, region, service string
	grants                          string
	heartbeat                       time.Duration
}

// newInstance writes the settings of an instance as the deploy file's template does.
func newInstance(p place, store, program, dir string, r *record) (*instance, error) {
	i := &instance{
		name:    p.name,
		ip:      p.ip,
		zone:    p.zone,
		region:  p.region,
		service: p.service,
		dir:     dir,
		program: program,
		record:  r,
	}
	metrics := ""
	for _, address := range []*string{&i.callers, &i.nodes, &i.readiness, &i.control, &i.backend, &metrics} {
		var err error
		if *address, err = freeAddress(p.ip); err != nil {
			return nil, err
		}
	}
	_, metricsPort, _ := net.SplitHostPort(metrics)
	text, err := json.MarshalIndent(map[string]any{
		"node":           p.name,
		"address":        p.ip,
		"region":         p.region,
		"domain":         p.zone,
		"service":        p.service,
		"backendAddress": i.backend,
		"listen": map[string]string{
			"callers":    i.callers,
			"nodes":      i.nodes,
			"readiness":  i.readiness,
			"heartbeats": i.control,
		},
		"grants":       p.grants,
		"metricsPort":  metricsPort,
		"heartbeatMs":  p.heartbeat.Milliseconds(),
		"bounds":       map[string]any{"holdMaxMs": "10000", "graceS": "6", "catchUpS": "4"},
		"regions":      map[string]string{p.zone: p.region},
		"memoryMb":     284,
		"maxFds":       4100,
		"linkMbps":     1000.0,
		"storeAddress": store,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	i.settings = filepath.Join(dir, p.name+".json")
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		return nil, err
	}
	i.log, err = os.Create(filepath.Join(dir, p.name+".log"))
	return i, err
}

// start starts the relay.
func (i *instance) start() error {
	i.process = exec.Command(i.program)
	i.process.Env = append(os.Environ(), "IBISRIDGE_SETTINGS="+i.settings)
	i.process.Stdout, i.process.Stderr = i.log, i.log
	if err := i.process.Start(); err != nil {
		return err
	}
	i.record.add("relay %s starts, process %d", i.name, i.process.Process.Pid)
	exited := make(chan struct{})
	i.exited = exited
	process := i.process
	go func() {
		_ = process.Wait()
		i.record.add("relay %s has ended: %s", i.name, process.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the relay.
func (i *instance) signal(s syscall.Signal) {
	i.record.add("relay %s gets %s", i.name, s)
	_ = i.process.Process.Signal(s)
}

// kill ends the relay at once and waits for its end.
func (i *instance) kill() {
	if i.process == nil {
		return
	}
	_ = i.process.Process.Signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// ready reports whether the relay says that it is ready.
func (i *instance) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + i.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until the condition holds, and fails with what it waits for.
func await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}
