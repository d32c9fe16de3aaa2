package reviewcase

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	leavingMachines = 3
	// pingLateness is how late the last pings of the leaving server arrive.
	pingLateness = 4500 * time.Millisecond
	// servesOn is how long the leaving server serves after it has deregistered.
	servesOn = 6 * time.Second
)

// heartbeatsBeforeLeaving has the last pings of a server that deregisters arrive late, after a restart of its node.
func heartbeatsBeforeLeaving(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "print-order",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceDesk,
		targetMs:  500,
		timeoutMs: 1200,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	var late atomic.Bool
	for i := range leavingMachines {
		m, err := w.addMachine(serviceDesk)
		if err != nil {
			return nil, err
		}
		config := backendConfig{
			id:    fmt.Sprintf("i-desk%04d", i+1),
			slots: 12,
			work:  160 * time.Millisecond,
		}
		if i == 0 {
			config.pingDelay = func() time.Duration {
				if late.Load() {
					return pingLateness
				}
				return 0
			}
		}
		if _, err := w.startBackend(m, config, noted); err != nil {
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
	load := startLoad(w.machines, 6, 1200*time.Millisecond, 50*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", -1)
	})
	time.Sleep(2 * time.Second)
	leaving, node := w.backends[0], w.machines[0]
	// Two pings are on their way when the server deregisters.
	late.Store(trouble)
	time.Sleep(2*ackTimeout + 2*heartbeat)
	if err := leaving.leave(); err != nil {
		return nil, errors.Join(errors.New("the node did not acknowledge that the server leaves"), err)
	}
	ackedAt := time.Now()
	inTouchAt := ackedAt
	if trouble {
		if err := killAndRestart(node); err != nil {
			return nil, err
		}
		inTouchAt = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(ackedAt.Add(servesOn)))
	exitedAt := time.Now()
	leaving.exit()
	time.Sleep(2 * time.Second)
	all := load.end()
	return checkDrained(w, all, noted, leaving, ackedAt, inTouchAt, exitedAt), nil
}

// checkDrained checks that no request reaches a backend server later than drainTime after its node acknowledged that it leaves,
// as long as the node is in touch.
func checkDrained(w *world, all []outcome, noted *runs, leaving *backend, ackedAt, inTouchAt, exitedAt time.Time) []string {
	var breaches []string
	lost := 0
	for _, o := range all {
		for _, r := range noted.of(o.id) {
			if r.backend != leaving.id || !r.at.After(ackedAt.Add(drainTime)) || r.at.Before(inTouchAt) {
				continue
			}
			breaches = append(breaches, fmt.Sprintf("DRAIN: %s, sent %.3f s after the ack, ran at %s %.3f s after it; the client got %d",
				o.id, o.sent.Sub(ackedAt).Seconds(), r.backend, r.at.Sub(ackedAt).Seconds(), o.status))
			if r.ended.IsZero() {
				lost++
			}
		}
	}
	w.log.add("%d requests; the server exits %.3f s after the ack, with %d late ones unfinished", len(all), exitedAt.Sub(ackedAt).Seconds(), lost)
	return breaches
}
