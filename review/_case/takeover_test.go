package reviewcase

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lostMachines is the number of machines that lose power at once, and keptMachines the number of those with a backend server of
	// the same service that don't.
	lostMachines = 80
	keptMachines = 4
	// otherMachines is the number of machines of another service, where the callers are.
	otherMachines = 3
	// recoveryTime is the time in which the system recovers, and takeoverTime the time after the loss until requests are counted.
	recoveryTime = 15 * time.Second
	takeoverTime = 2*recoveryTime + 10*time.Second
	countTime    = 10 * time.Second
)

// manyOwnersLost has most machines of a service that is divided by key lose power at the same moment, for good.
func manyOwnersLost(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "proof-approval",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceFloor,
		targetMs:  400,
		timeoutMs: 1000,
	}, route{
		name:      "design-lookup",
		kind:      "idempotent",
		prefix:    "/lohu930/",
		service:   serviceDesk,
		targetMs:  400,
		timeoutMs: 1000,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	const floors = lostMachines + keptMachines
	for i := range floors + otherMachines {
		service := serviceFloor
		if i >= floors {
			service = serviceDesk
		}
		m, err := w.addMachine(service, fastLink)
		if err != nil {
			return nil, err
		}
		if _, err := w.startBackend(m, backendConfig{
			id:      fmt.Sprintf("i-%s%04d", service[:5], i+1),
			slots:   12,
			sharded: service == serviceFloor,
			work:    20 * time.Millisecond,
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
	if err := w.awaitHeld(); err != nil {
		return nil, err
	}
	time.Sleep(recoveryTime)
	if trouble {
		var lost sync.WaitGroup
		for i := range lostMachines {
			lost.Go(func() {
				w.machines[i].signal(syscall.SIGKILL)
				w.backends[i].exit()
			})
		}
		lost.Wait()
	}
	time.Sleep(takeoverTime)
	w.log.add("the servers hold %d of 65536 keys", w.heldKeys())
	callers := w.machines[floors:]
	floor := startLoad(callers, 1, time.Second, 100*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", rand.IntN(1<<16))
	})
	desk := startLoad(callers, 1, time.Second, 100*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodGet, hostName, "/lohu930/2f", -1)
	})
	time.Sleep(countTime)
	return w.checkStarved("proof-approval", floor.end(), desk.end()), nil
}

// awaitHeld waits until all keys are held.
func (w *world) awaitHeld() error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if w.heldKeys() == 1<<16 {
			w.log.add("all keys are held")
			return nil
		}
	}
	return fmt.Errorf("%d keys are held after %s", w.heldKeys(), startLimit)
}

// heldKeys returns the number of keys that the backend servers hold together.
func (w *world) heldKeys() int {
	keys := 0
	for _, b := range w.backends {
		keys += b.heldKeys()
	}
	return keys
}
