package trial

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// leftPipeline has clients close their channels while requests that they sent ahead run.
func leftPipeline(w *world, trouble bool) (verdict, error) {
	depth, _ := strconv.Atoi(os.Getenv("DEPTH"))
	if depth == 0 {
		depth = 8
	}
	w.configure(7, []service{{name: "standings", coldPerS: 12, coldStartS: 3, channels: 410}}, []route{{
		name: "lookup", host: "races.example", prefix: "/lookup/", kind: "idempotent", service: "standings", targetMs: 3000, timeoutMs: 5000, priority: 1, maxAttempts: 2,
	}})
	var all []*backend
	var nodes []*node
	for i, zone := range []string{"kandy-a", "colombo-a", "galle-a"} {
		n, err := w.addNode(zone, "standings", nil)
		if err != nil {
			return verdict{}, err
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "standings", node: n, slots: 12, queue: 48, work: 1500 * time.Millisecond}
		if err := w.startBackend(b); err != nil {
			return verdict{}, err
		}
		all = append(all, b)
		nodes = append(nodes, n)
	}
	ready, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := w.awaitReady(ready); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	leftAt := make(map[string]time.Time)
	for round := range 10 {
		conn, err := net.Dial("tcp4", nodes[round%len(nodes)].outbound)
		if err != nil {
			return verdict{}, err
		}
		var text strings.Builder
		var ids []string
		for range depth {
			id := newID()
			ids = append(ids, id)
			fmt.Fprintf(&text, "GET /lookup/1 HTTP/1.1\r\nHost: races.example\r\nAttempt-Id: %s\r\nTime-Remaining-Ms: 4000\r\n\r\n", id)
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			return verdict{}, err
		}
		time.Sleep(300 * time.Millisecond)
		_ = conn.Close()
		for _, id := range ids {
			leftAt[id] = time.Now()
		}
		time.Sleep(1700 * time.Millisecond)
	}
	done, ran := 0, 0
	for _, b := range all {
		b.mu.Lock()
		for _, a := range b.arrivals {
			if a.run {
				ran++
				if a.done {
					done++
				}
			}
		}
		b.mu.Unlock()
	}
	return verdict{broken: 4*done > ran, text: fmt.Sprintf("GONE: of %d requests that ran when their clients left, backend servers worked on %d to their end", ran, done)}, nil
}
