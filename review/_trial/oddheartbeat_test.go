package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// maxSharedHold is how long the rule OWNER lets two backend servers hold the same keys.
const maxSharedHold = 500 * time.Millisecond

// oddHeartbeat has another writer send one heartbeat that names a service which no configuration names.
func oddHeartbeat(w *world, trouble bool) (verdict, error) {
	w.configure(7, []service{{name: "plot-registry", sharded: true, coldPerS: 12, coldStartS: 3, channels: 130}}, []route{{
		name: "renewal", host: "plots.example", prefix: "/renewal/", kind: "non_idempotent", service: "plot-registry", targetMs: 600, timeoutMs: 4000, priority: 2, maxAttempts: 2,
	}})
	var all []*backend
	var clients []*client
	for i, zone := range []string{"kandy-a", "colombo-a", "galle-a"} {
		n, err := w.addNode(zone, "plot-registry", nil)
		if err != nil {
			return verdict{}, err
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "plot-registry", node: n, slots: 12, queue: 48, work: 50 * time.Millisecond, owned: newOwnership()}
		if err := w.startBackend(b); err != nil {
			return verdict{}, err
		}
		all = append(all, b)
		clients = append(clients, w.newClient(n))
	}
	ready, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	if err := w.awaitReady(ready); err != nil {
		return verdict{}, err
	}
	for keys := 0; keys < 65536; {
		if ready.Err() != nil {
			return verdict{}, fmt.Errorf("only %d keys were granted in time", keys)
		}
		time.Sleep(100 * time.Millisecond)
		keys = 0
		for _, b := range all {
			for _, h := range b.owned.spans() {
				keys += h.to - h.from + 1
			}
		}
	}
	w.note("every key is granted")
	stopWatch, stop := make(chan struct{}), make(chan struct{})
	longest := w.watchHolds(stopWatch)
	for i, c := range clients {
		go func() {
			for key := i; ; key = (key + 997) % 65536 {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.send(request{method: http.MethodDelete, host: "plots.example", path: "/renewal/1", budget: 4 * time.Second, key: key + 1})
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	if trouble {
		b := all[0]
		text, err := json.Marshal(map[string]any{
			"address": b.node.app, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "nobodys-service", "version": "v1", "zone": b.node.zone, "slots": 12},
			"status": map[string]any{"state": "draining", "seq": 1, "coldLeftMs": 0},
			"holds":  []any{}, "freed": []any{},
		})
		if err != nil {
			return verdict{}, err
		}
		answer, err := b.putAs("i-other", text)
		w.note("another writer's heartbeat with a service that isn't named: %s, %v", answer, err)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	close(stopWatch)
	shared := <-longest
	for _, c := range clients {
		c.wait.Wait()
		w.note("clients at %s: answers by status %v", c.node.name, c.counts())
	}
	return verdict{
		broken: shared > maxSharedHold,
		text:   fmt.Sprintf("OWNER: two backend servers that were up held the same keys for %s, allowed are %s", shared.Round(time.Millisecond), maxSharedHold),
	}, nil
}
