package reviewcase

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
)

const (
	takenBackMachines = 6
	// firstInterval is the time between the first two machines that are started, and nextInterval that between later ones.
	firstInterval = 250 * time.Millisecond
	nextInterval  = 50 * time.Millisecond
	// writeLateness is how long after its call the store carries out a write that it does not answer.
	writeLateness = 6*heartbeat + 210*time.Millisecond
	// killDelay is the time from that call until the process that made it is killed.
	killDelay = 300 * time.Millisecond
	// evacuationTime is the time until the evacuation is taken back where nothing is killed.
	evacuationTime = 2 * time.Second
)

// lateWrite carries out one write of the ownership of keys late and without an answer.
type lateWrite struct {
	inner http.Handler
	armed atomic.Bool
	seen  chan time.Time
}

// ServeHTTP handles a call of the store.
func (l *lateWrite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !writesPage(body) || !l.armed.CompareAndSwap(true, false) {
		l.inner.ServeHTTP(w, r)
		return
	}
	l.seen <- time.Now()
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(writeLateness, func() { l.inner.ServeHTTP(httptest.NewRecorder(), late) })
	<-r.Context().Done()
}

// writesPage reports whether a call writes who owns which keys.
func writesPage(body []byte) bool {
	var call struct {
		Writes []struct {
			Table string `json:"table"`
			Part  string `json:"part"`
		} `json:"writes"`
	}
	if json.Unmarshal(body, &call) != nil {
		return false
	}
	for _, write := range call.Writes {
		if write.Table == ibisrange.TablePages && write.Part == serviceFloor {
			return true
		}
	}
	return false
}

// evacuationTakenBack has the store carry out late a write that gives away the keys of a zone, whose evacuation is taken back
// meanwhile, while the node that sent it starts again.
func evacuationTakenBack(w *world, trouble bool) ([]string, error) {
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
	late := &lateWrite{
		inner: w.faults,
		seen:  make(chan time.Time, 1),
	}
	w.server.Handler = late
	noted := newRuns()
	interval := firstInterval
	for range takenBackMachines {
		if err := w.addMachines(serviceFloor, 1, noted); err != nil {
			return nil, err
		}
		time.Sleep(interval)
		interval = nextInterval
	}
	if err := w.awaitHeld(); err != nil {
		return nil, err
	}
	load := startLoad(w.machines, 4, time.Second, 30*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", rand.IntN(1<<16))
	})
	watched := w.watchHolders()
	time.Sleep(contactTime)
	evacuated := w.machines[0]
	late.armed.Store(trouble)
	w.store.Put("op", "", "evacuate/"+evacuated.zone, nil)
	w.log.add("the zone %s is to be evacuated", evacuated.zone)
	if trouble {
		w.log.add("a write of the keys' owners is carried out late, %.3f s", w.log.since(<-late.seen).Seconds())
		time.Sleep(killDelay)
		if err := killAndRestart(evacuated); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(evacuationTime)
	}
	w.store.Drop("op", "", "evacuate/"+evacuated.zone)
	w.log.add("the evacuation of %s is taken back", evacuated.zone)
	time.Sleep(12 * time.Second)
	w.log.add("%d requests", len(load.end()))
	if held := w.heldKeys(); held < 1<<16 {
		return nil, fmt.Errorf("%d keys are held at the end", held)
	}
	return watched.end(noted), nil
}
