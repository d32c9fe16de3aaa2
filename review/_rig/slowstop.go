package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stopAfter is how long clients have sent requests when the relay is told to stop, and stopTime how long they send in all.
	stopAfter   = 4 * time.Second
	stopTime    = 12 * time.Second
	stopClients = 6
	// probeInterval is the time between two questions for readiness.
	probeInterval = time.Second
)

// slowStop stops a relay as planned while clients pipeline downloads on kept connections and read them slowly and steadily. The relay is
// the only one of its zone, so that its clients keep using it although it isn't ready.
func slowStop(w *world) error {
	if err := w.startArchive(pullBytes); err != nil {
		return err
	}
	stopped := w.instances[0]
	var group sync.WaitGroup
	clients := make([]*puller, stopClients)
	for i := range clients {
		clients[i] = &puller{
			world: w,
			name:  fmt.Sprintf("client-%d", i),
			at:    stopped.callers,
			rate:  readRate,
			span:  stopTime,
		}
		group.Go(clients[i].run)
	}
	time.Sleep(stopAfter)
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		group.Go(func() { w.probe(stopped) })
	}
	group.Wait()
	cut := 0
	for _, c := range clients {
		w.record.add("%s: %d complete answers; %d requests passed on and left without a whole answer", c.name, c.complete, c.cut)
		cut += c.cut
		if c.complete == 0 {
			return fmt.Errorf("%s got no answer", c.name)
		}
	}
	if cut > 0 {
		w.record.violation("LOST: %d requests that a stopping relay had passed on were left without a complete answer", cut)
	}
	return nil
}

// probe asks a relay for readiness as the platform does, until it has ended.
func (w *world) probe(i *instance) {
	for {
		select {
		case <-i.exited:
			return
		case <-time.After(probeInterval):
		}
		if i.ready() {
			w.record.add("relay %s is ready", i.name)
			continue
		}
		w.record.add("relay %s is not ready: none of the one in its zone is in, fewer than half, so its clients go on", i.name)
	}
}
