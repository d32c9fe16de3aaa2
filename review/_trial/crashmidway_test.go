package trial

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	contactTime = 3 * time.Second
	// maxCrashRetries is how many retries of a request that crashes backend servers may reach them later than contactTime after it has
	// crashed the third one.
	maxCrashRetries = 3
	backAfter       = 2 * time.Second
)

// crashMidway has one request crash each backend server that runs it, after the server has sent a part of its answer. The request comes
// again every two seconds, at one machine after the other.
func crashMidway(w *world, trouble bool) (verdict, error) {
	w.configure(7, []service{{name: "dues-desk", coldPerS: 12, coldStartS: 3, channels: 130}}, []route{{
		name: "balance", host: "dues.example", prefix: "/", kind: "idempotent", service: "dues-desk", targetMs: 800, timeoutMs: 5000, priority: 2, maxAttempts: 2,
	}})
	var clients []*client
	stop := make(chan struct{})
	for i, zone := range []string{"kandy-a", "colombo-a", "galle-a", "kandy-a", "colombo-a", "galle-a"} {
		n, err := w.addNode(zone, "dues-desk", nil)
		if err != nil {
			return verdict{}, err
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		begin := func(life int) error {
			b := &backend{
				id: fmt.Sprintf("i-%d-%d", i+1, life), service: "dues-desk", node: n, slots: 12, queue: 48, work: 100 * time.Millisecond,
				crashes: trouble, crashesEarly: os.Getenv("EARLY") != "",
			}
			if life > 1 {
				b.coldUntil = time.Now().Add(coldStart)
			}
			return w.startBackend(b)
		}
		if err := begin(1); err != nil {
			return verdict{}, err
		}
		go w.keepUp(n, begin, stop)
		clients = append(clients, w.newClient(n))
	}
	ready, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := w.awaitReady(ready); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	for _, c := range clients {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					c.send(request{method: http.MethodGet, host: "dues.example", path: "/balance/1", budget: 5 * time.Second})
				}
			}
		}()
	}
	poison := make(map[string]bool)
	for i := range 16 {
		s := clients[i%len(clients)].send(request{method: http.MethodGet, host: "dues.example", path: poisonPath + "1", budget: 5 * time.Second})
		poison[s.id] = true
		time.Sleep(2 * time.Second)
	}
	close(stop)
	for _, c := range clients {
		c.wait.Wait()
		w.note("clients at %s: answers by status %v", c.node.name, c.counts())
	}
	return judgeCrashes(w, clients, poison), nil
}

// keepUp starts a backend server again some seconds after a crash.
func (w *world) keepUp(n *node, begin func(life int) error, stop <-chan struct{}) {
	for life := 2; ; {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if w.latest(n).up.Load() {
			continue
		}
		time.Sleep(backAfter)
		if err := begin(life); err != nil {
			w.note("%v", err)
		}
		life++
	}
}

// latest returns the backend server that was started last beside a node.
func (w *world) latest(n *node) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out *backend
	for _, b := range w.backends {
		if b.node == n {
			out = b
		}
	}
	return out
}

// judgeCrashes counts the requests that reached backend servers and were sent later than contactTime after the third crash.
func judgeCrashes(w *world, clients []*client, poison map[string]bool) verdict {
	var crashes []time.Time
	reached := make(map[string]bool)
	w.mu.Lock()
	backends := slices.Clone(w.backends)
	w.mu.Unlock()
	for _, b := range backends {
		b.mu.Lock()
		crashes = append(crashes, b.crashedAt...)
		for _, a := range b.arrivals {
			if poison[a.id] {
				reached[a.id] = true
			}
		}
		b.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	if len(crashes) >= 3 {
		from := crashes[2].Add(contactTime)
		for _, c := range clients {
			for _, s := range c.sent {
				if reached[s.id] && s.sentAt.After(from) {
					late++
				}
			}
		}
	}
	return verdict{
		broken: late > maxCrashRetries,
		text: fmt.Sprintf("BUDGET: one request crashed %d backend servers; later than %s after the third crash it reached backend servers in %d further requests, allowed are %d",
			len(crashes), contactTime, late, maxCrashRetries),
	}
}
