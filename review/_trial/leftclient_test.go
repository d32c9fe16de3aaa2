package trial

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// usualPause is the time between two orders: the backend servers bear 36.7 of them a second. burstPause is that in the burst, in which
	// 1.7 times as many come.
	usualPause = 30 * time.Millisecond
	burstPause = 18 * time.Millisecond
	burstAt    = 5 * time.Second
	burstFor   = 3 * time.Second
	giveUpAt   = 7 * time.Second
	giveUpFor  = 5500 * time.Millisecond
	// givingUp means that each fifth client leaves.
	givingUp = 5
	// leaveAfter is when clients leave: within half of the objective.
	leaveAfter = 200 * time.Millisecond
	// maxLate is how long after its client has left a request may still reach a backend server.
	maxLate = 500 * time.Millisecond
	// fewRequests is what the rule calls a few.
	fewRequests = 5
)

// leftClient has a fifth of the clients leave before their time budget, right after a burst, while their requests wait at the node beside
// the backend server.
func leftClient(w *world, trouble bool) (verdict, error) {
	w.configure(7, []service{
		{name: "order-desk", coldPerS: 12, coldStartS: 3, channels: 130},
		{name: "print-floor", coldPerS: 12, coldStartS: 3, channels: 130},
	}, []route{{
		name: "order", host: "mats.example", prefix: "/order/", kind: "non_idempotent", service: "order-desk", targetMs: 2500, timeoutMs: 6000, priority: 1, maxAttempts: 2,
	}})
	var origins []*client
	var desks []*backend
	for i, zone := range []string{"kandy-a", "colombo-a", "galle-a", "kandy-a", "colombo-a", "galle-a"} {
		name := "print-floor"
		if i < 2 {
			name = "order-desk"
		}
		n, err := w.addNode(zone, name, nil)
		if err != nil {
			return verdict{}, err
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: name, node: n, slots: 11, queue: 44, work: 600 * time.Millisecond}
		if err := w.startBackend(b); err != nil {
			return verdict{}, err
		}
		if i < 2 {
			desks = append(desks, b)
			continue
		}
		origins = append(origins, w.newClient(n))
	}
	ready, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := w.awaitReady(ready); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	body := strings.Repeat("m", 1200)
	began := time.Now()
	for i := 0; time.Since(began) < 15*time.Second; i++ {
		r := request{method: http.MethodPost, host: "mats.example", path: "/order/1", body: body, budget: 6 * time.Second}
		since, pause := time.Since(began), usualPause
		if trouble && since > burstAt && since < burstAt+burstFor {
			pause = burstPause
		}
		if trouble && i%givingUp == 0 && since > giveUpAt && since < giveUpAt+giveUpFor {
			r.leaveAfter = leaveAfter
		}
		origins[i%len(origins)].send(r)
		time.Sleep(pause)
	}
	var sent []*sending
	for _, c := range origins {
		c.wait.Wait()
		w.note("clients at %s: answers by status %v", c.node.name, c.counts())
		sent = append(sent, c.sent...)
	}
	return judgeLeft(w, sent, desks), nil
}

// judgeLeft counts the requests that reached a backend server more than maxLate after their clients had left.
func judgeLeft(w *world, sent []*sending, desks []*backend) verdict {
	arrivedAt := make(map[string]arrival)
	for _, b := range desks {
		b.mu.Lock()
		for _, a := range b.arrivals {
			arrivedAt[a.id] = a
		}
		b.mu.Unlock()
	}
	left, late, run := 0, 0, 0
	for _, s := range sent {
		if s.leftAt.IsZero() {
			continue
		}
		left++
		a, ok := arrivedAt[s.id]
		if !ok || a.at.Sub(s.leftAt) <= maxLate {
			continue
		}
		late++
		if a.run {
			run++
		}
		w.note("%s reached a backend server %.3f s after its client had left", s.id, a.at.Sub(s.leftAt).Seconds())
	}
	return verdict{
		broken: late > fewRequests,
		text:   fmt.Sprintf("GONE: %d clients left; %d of their requests reached a backend server over %s later, and it began %d of them", left, late, maxLate, run),
	}
}
