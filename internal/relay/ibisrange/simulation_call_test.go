package ibisrange_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
)

// callTimeout is how long a node waits for the answer to a grant, and releaseTimeout for that to a release.
const (
	callTimeout    = time.Second
	releaseTimeout = 10 * time.Second
)

// callFaults sets what happens to calls to backend servers.
type callFaults struct {
	// lostShare is the share of calls that are carried out and not answered.
	lostShare float64
	// lateShare is the share of calls that are not answered and carried out 2 to 12 s later.
	lateShare float64
	// slowShare is the share of calls that the backend server reads up to receiptTime late.
	slowShare float64
}

// call makes a call to a backend server: it asks the manager to start it, and delivers it within 20 ms.
func (sim *simulation) call(n *node, incarnation int, b *backend, e ibisrange.CallEffect) {
	if !n.running || n.incarnation != incarnation || b.incarnation != e.Incarnation || !b.running {
		sim.deliver(n, incarnation, ibisrange.CallEvent{ID: e.ID, Outcome: ibisrange.CallNotSent})
		return
	}
	if sim.now.Before(n.suspendedUntil) {
		sim.after(n.suspendedUntil.Sub(sim.now), func() { sim.call(n, incarnation, b, e) })
		return
	}
	for _, effect := range sim.updateAll(n, ibisrange.CallReadyEvent{ID: e.ID}) {
		start, ok := effect.(ibisrange.CallStartEffect)
		if !ok {
			continue
		}
		if !start.Allowed {
			sim.deliver(n, incarnation, ibisrange.CallEvent{ID: e.ID, Outcome: ibisrange.CallNotSent})
			return
		}
		answer := sim.answerOnce(n, incarnation, e)
		sim.after(sim.receiptDelay(), func() { sim.receiveCall(b, e, start.HoldFor, answer) })
		return
	}
}

// receiptDelay returns how long a written call waits until the backend server reads it; a busy server may read it after the node has
// given up on it or has ended.
func (sim *simulation) receiptDelay() time.Duration {
	if sim.calls.slowShare > 0 && sim.random.Float64() < sim.calls.slowShare {
		return time.Duration(sim.random.Int64N(int64(receiptTime)))
	}
	return time.Duration(sim.random.Int64N(int64(20 * time.Millisecond)))
}

// answerOnce returns a function that delivers the answer to a call. Without an answer in time, the call ends unanswered.
func (sim *simulation) answerOnce(n *node, incarnation int, e ibisrange.CallEffect) func(outcome ibisrange.CallOutcome, handover string) {
	answered := false
	answer := func(outcome ibisrange.CallOutcome, handover string) {
		if !answered {
			answered = true
			sim.deliver(n, incarnation, ibisrange.CallEvent{ID: e.ID, Outcome: outcome, Handover: handover})
		}
	}
	timeout := callTimeout
	if e.Kind == ibisrange.CallRelease {
		timeout = releaseTimeout
	}
	sim.after(timeout, func() { answer(ibisrange.CallUnanswered, "") })
	return answer
}

// receiveCall carries out a call that has arrived at a backend server, at once or later.
func (sim *simulation) receiveCall(b *backend, e ibisrange.CallEffect, holdFor time.Duration, answer func(ibisrange.CallOutcome, string)) {
	arrived := sim.now
	fate := sim.random.Float64()
	late := time.Duration(0)
	switch {
	case fate < sim.calls.lateShare:
		late = 2*time.Second + time.Duration(sim.random.Int64N(int64(10*time.Second)))
		answer = func(ibisrange.CallOutcome, string) {}
	case fate < sim.calls.lateShare+sim.calls.lostShare:
		answer = func(ibisrange.CallOutcome, string) {}
	}
	sim.after(late, func() {
		if !b.running {
			return
		}
		sim.expire(b)
		if e.Kind == ibisrange.CallRelease {
			sim.releaseSpan(b, e, answer)
			return
		}
		sim.grantSpan(b, e, arrived.Add(time.Duration(float64(holdFor)*b.clockSlowness)), answer)
	})
}

func (sim *simulation) grantSpan(b *backend, e ibisrange.CallEffect, until time.Time, answer func(ibisrange.CallOutcome, string)) {
	for key := e.From; key <= e.To; key += 64 {
		if b.tokens[key] > e.Token {
			answer(ibisrange.CallSuperseded, "")
			return
		}
	}
	for key := e.From; key <= e.To; key += 64 {
		b.tokens[key] = e.Token
	}
	answer(ibisrange.CallAccepted, "")
	if !sim.now.Before(until) {
		return
	}
	granted := hold{Grant: e.Grant, until: until}
	var kept []hold
	for _, h := range b.holds {
		if h.Overlaps(e.Span) && h.busyUntil.After(granted.busyUntil) {
			granted.busyUntil = h.busyUntil
		}
		kept = append(kept, h.without(e.Span)...)
	}
	if sim.random.Float64() < 0.2 {
		granted.busyUntil = sim.now.Add(time.Duration(sim.random.Int64N(int64(400 * time.Millisecond))))
	}
	b.holds = append(kept, granted)
	sim.checkToken(b, e.Grant)
	sim.checkSoleHolders()
}

// without returns the parts of a hold outside the span.
func (h hold) without(span ibisrange.Span) []hold {
	var out []hold
	for _, part := range h.Subtract(span) {
		rest := h
		rest.Span = part
		out = append(out, rest)
	}
	return out
}

// releaseSpan answers a release when the work on the span has ended.
func (sim *simulation) releaseSpan(b *backend, e ibisrange.CallEffect, answer func(ibisrange.CallOutcome, string)) {
	busyUntil := sim.now
	var kept []hold
	for _, h := range b.holds {
		if h.Overlaps(e.Span) && h.busyUntil.After(busyUntil) {
			busyUntil = h.busyUntil
		}
		kept = append(kept, h.without(e.Span)...)
	}
	b.holds = kept
	if busyUntil.After(sim.now) {
		// The work that still runs holds the keys: it is checked like a hold.
		working := hold{Grant: e.Grant, until: busyUntil}
		b.holds = append(b.holds, working)
		sim.after(busyUntil.Sub(sim.now), func() {
			b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return h == working })
			answer(ibisrange.CallAccepted, fmt.Sprintf("%s-%d", b.incarnation.ID, e.Token))
		})
		return
	}
	answer(ibisrange.CallAccepted, fmt.Sprintf("%s-%d", b.incarnation.ID, e.Token))
}
