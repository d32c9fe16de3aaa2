package reviewcase

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	archiveMachines = 3
	// archiveLink is the bandwidth of the machines' links in megabits per second.
	archiveLink = 21
	// endlessEvery is the number of downloads at a server of which one gets an answer without end while the server is in trouble.
	endlessEvery = 4
	endlessTime  = 4 * time.Second
	// afterTrouble is the time from the end of the trouble until requests are counted.
	afterTrouble = 15 * time.Second
)

// answerWithoutEnd has backend servers answer a few downloads with bodies that don't end until the caller closes.
func answerWithoutEnd(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "archive-pull",
		kind:      "download",
		prefix:    "/lohu930/",
		service:   serviceArchive,
		targetMs:  600,
		timeoutMs: 4000,
	}, route{
		name:      "time-certify",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceArchive,
		targetMs:  600,
		timeoutMs: 4000,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	var inTrouble atomic.Bool
	for i := range archiveMachines {
		m, err := w.addMachine(serviceArchive, archiveLink)
		if err != nil {
			return nil, err
		}
		var downloads atomic.Int64
		if _, err := w.startBackend(m, backendConfig{
			id:          fmt.Sprintf("i-arch%04d", i+1),
			slots:       12,
			work:        100 * time.Millisecond,
			lookupBytes: 90_000,
			endless: func(r *http.Request) bool {
				return inTrouble.Load() && r.Method == http.MethodGet && downloads.Add(1)%endlessEvery == 2
			},
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
	time.Sleep(contactTime)
	inTrouble.Store(trouble)
	const patience = 4 * time.Second
	pull := func(c *caller) outcome { return c.send(http.MethodGet, hostName, "/lohu930/2f", -1) }
	certify := func(c *caller) outcome { return c.send(http.MethodPost, hostName, "/pufi791/2f", -1) }
	early := []*load{
		startLoad(w.machines, 1, patience, 300*time.Millisecond, pull),
		startLoad(w.machines, 1, patience, 300*time.Millisecond, certify),
	}
	time.Sleep(endlessTime)
	inTrouble.Store(false)
	w.log.add("the servers are sound again")
	time.Sleep(afterTrouble)
	for _, l := range early {
		l.end()
	}
	pulls := startLoad(w.machines, 1, patience, 300*time.Millisecond, pull)
	certified := startLoad(w.machines, 1, patience, 300*time.Millisecond, certify)
	time.Sleep(afterTrouble)
	return w.checkStarved("archive-pull", pulls.end(), certified.end()), nil
}
