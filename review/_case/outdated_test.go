package reviewcase

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	outdatedMachines = 3
	// outdated is the machine whose server's pings arrive late, the only one in its zone.
	outdated = 1
	// emptyPing is the number of the ping that its server sends before it holds keys, and emptyLateness how late that arrives.
	emptyPing     = 3
	emptyLateness = 4500 * time.Millisecond
	// killBefore is how long before that arrival the process of the node is killed.
	killBefore = 700 * time.Millisecond
	// lateTime is the time from the restart of the node during which pings are sent that arrive by nextLateness later.
	lateTime     = 1500 * time.Millisecond
	nextLateness = 2 * time.Second
)

// heartbeatBeforeGrants has a ping that a server sent before it held keys arrive at its node after a restart, while its zone is to
// be evacuated and its next pings are late as well.
func heartbeatBeforeGrants(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "proof-approval",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceFloor,
		targetMs:  400,
		timeoutMs: 1000,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	emptySent := make(chan time.Time, 1)
	var pings atomic.Int64
	var late atomic.Bool
	pingDelay := func() time.Duration {
		if pings.Add(1) == emptyPing {
			emptySent <- time.Now()
			if trouble {
				return emptyLateness
			}
		}
		if late.Load() {
			return nextLateness
		}
		return 0
	}
	for i := range outdatedMachines {
		m, err := w.addMachine(serviceFloor)
		if err != nil {
			return nil, err
		}
		config := backendConfig{
			id:      fmt.Sprintf("i-print%04d", i+1),
			slots:   12,
			sharded: true,
			work:    20 * time.Millisecond,
		}
		if i == outdated {
			config.pingDelay = pingDelay
		}
		if _, err := w.startBackend(m, config, noted); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	arrives := (<-emptySent).Add(emptyLateness)
	if err := w.awaitHeld(); err != nil {
		return nil, err
	}
	load := startLoad(w.machines, 4, time.Second, 30*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", rand.IntN(1<<16))
	})
	watched := w.watchHolders()
	time.Sleep(time.Until(arrives.Add(-killBefore)))
	m := w.machines[outdated]
	if trouble {
		if err := killAndRestart(m); err != nil {
			return nil, err
		}
	}
	w.store.Put("op", "", "evacuate/"+m.zone, nil)
	w.log.add("the zone %s is to be evacuated", m.zone)
	late.Store(trouble)
	time.Sleep(lateTime)
	late.Store(false)
	time.Sleep(8 * time.Second)
	w.log.add("%d requests", len(load.end()))
	if held := w.heldKeys(); held < 1<<16 {
		return nil, fmt.Errorf("%d keys are held at the end", held)
	}
	return watched.end(noted), nil
}
