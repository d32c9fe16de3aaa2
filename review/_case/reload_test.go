package reviewcase

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	stopMachines = 3
	// reloadDelay is the time between the SIGTERM and the SIGHUP of a node.
	reloadDelay = time.Second
)

// reloadWhileStopping changes the settings of a node that is stopping as planned.
func reloadWhileStopping(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "dues-payment-post",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceDesk,
		targetMs:  800,
		timeoutMs: 5000,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	for i := range stopMachines {
		m, err := w.addMachine(serviceDesk)
		if err != nil {
			return nil, err
		}
		if _, err := w.startBackend(m, backendConfig{
			id:    fmt.Sprintf("i-desk%04d", i+1),
			slots: 12,
			work:  290 * time.Millisecond,
		}, noted); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	load := startLoad(w.machines, 4, 5*time.Second, 50*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", -1)
	})
	time.Sleep(3 * time.Second)
	stopped := w.machines[0]
	termAt := time.Now()
	stopped.signal(syscall.SIGTERM)
	time.Sleep(reloadDelay)
	if trouble {
		if err := stopped.writeSettings(900); err != nil {
			return nil, err
		}
		stopped.signal(syscall.SIGHUP)
	}
	if !stopped.awaitExit(graceTime) {
		stopped.signal(syscall.SIGKILL)
	}
	all := load.end()
	time.Sleep(time.Second)
	return checkAnswered(w, all, noted, stopped, termAt), nil
}

// checkAnswered checks that each request that the stopped node has passed on to a backend server gets a complete answer.
func checkAnswered(w *world, all []outcome, noted *runs, stopped *machine, termAt time.Time) []string {
	var breaches []string
	answered := 0
	lastSixth := termAt.Add(graceTime * 5 / 6)
	for _, o := range all {
		if o.status != 0 {
			answered++
			continue
		}
		ran := noted.of(o.id)
		if o.machine != stopped || len(ran) == 0 || o.ended.Before(termAt) {
			continue
		}
		if ran[0].ended.IsZero() || ran[0].ended.After(lastSixth) {
			continue
		}
		breaches = append(breaches, fmt.Sprintf("LOST: %s, sent %.3f s after the SIGTERM, ran at %s; its channel ended without an answer %.3f s after the SIGTERM: %v",
			o.id, o.sent.Sub(termAt).Seconds(), ran[0].backend, o.ended.Sub(termAt).Seconds(), o.err))
	}
	w.log.add("%d requests, %d answered", len(all), answered)
	return breaches
}
