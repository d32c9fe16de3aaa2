package ibismodel

import (
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// planNoise slows each server for spells at random times.
func (w *world) planNoise(seed uint64) {
	for i, n := range w.nodes {
		every := n.service.config.NoiseEvery.Duration
		if every == 0 {
			continue
		}
		random := source(seed, drawFaults, -1-i)
		var next func()
		next = func() {
			if w.Now().After(w.until) {
				return
			}
			n.server.noisyTo = w.Now().Add(n.service.config.NoiseFor.Duration)
			w.After(time.Duration(random.ExpFloat64()*float64(every)), next)
		}
		w.After(time.Duration(random.ExpFloat64()*float64(every)), next)
	}
}

// hit draws the servers that a fault is about.
func (w *world) hit(f Fault, random *rand.Rand) []*node {
	var out []*node
	for _, s := range w.order {
		if f.Service != "" && f.Service != s.config.Name {
			continue
		}
		count := int(f.Share*float64(len(s.nodes)) + 0.5)
		for _, i := range random.Perm(len(s.nodes))[:count] {
			out = append(out, s.nodes[i])
		}
	}
	return out
}

// planFault brings a fault about and ends it.
func (w *world) planFault(f Fault, random *rand.Rand) {
	nodes := w.hit(f, random)
	var begin, end func(n *node)
	switch f.Kind {
	case FaultSlow:
		begin, end = func(n *node) { n.server.slow = f.Factor }, func(n *node) { n.server.slow = 1 }
	case FaultGrey:
		begin, end = func(n *node) { n.server.grey = f.Factor }, func(n *node) { n.server.grey = 0 }
	case FaultLying:
		begin, end = func(n *node) { n.server.lying = true }, func(n *node) { n.server.lying = false }
	case FaultCold:
		begin, end = w.turnCold, func(*node) {}
	case FaultCrash:
		begin, end = w.crash, w.restart
	case FaultRegion:
		nodes = w.byRegion[f.Region-1]
		begin, end = w.cutOff, w.reconnect
	}
	w.At(w.start.Add(f.At.Duration), func() {
		for _, n := range nodes {
			begin(n)
		}
	})
	w.At(w.start.Add(f.At.Duration+f.For.Duration), func() {
		for _, n := range nodes {
			end(n)
		}
	})
}

// relist tells all nodes who takes work now.
func (w *world) relist() {
	for _, s := range w.order {
		s.divide()
	}
	for _, n := range w.nodes {
		n.list(w.order, w.Now())
	}
}

// announce changes after a while whether other nodes know a server as one that takes work.
func (w *world) announce(n *node, after time.Duration, listed func() bool) {
	w.After(after, func() {
		if now := listed(); now != n.listed {
			n.listed = now
			w.relist()
		}
	})
}

func (w *world) turnCold(n *node) {
	if n.server.config.ColdFor.Duration == 0 {
		return
	}
	n.server.coldTo = w.Now().Add(n.server.config.ColdFor.Duration)
	n.tellCold(w.Now())
}

// crash ends a server: what ran there has no answer, what waited at its gate has not run.
func (w *world) crash(n *node) {
	s := n.server
	if !s.up {
		return
	}
	s.up = false
	lost := make([]*attempt, 0, len(s.running)+len(s.queue))
	for a := range s.running {
		lost = append(lost, a)
	}
	// A map has no order, and the same seed must give the same run.
	sortAttempts(lost)
	lost = append(lost, s.queue...)
	s.running, s.queue = make(map[*attempt]struct{}), nil
	if n.gate != nil {
		w.update(n, ibisadmit.DrainEvent{})
		n.renew(w.policy, w.Now())
	}
	for _, a := range lost {
		if a.ended {
			continue
		}
		if a.call != nil {
			call := a.call
			a.call = nil
			w.leave(call)
		}
		w.answer(a, ibisretrypolicy.Try{
			Outcome: ibisid.OutcomeUnknown,
			Arrived: true,
		}, ending{outcome: ibisid.OutcomeUnknown})
	}
	w.announce(n, noticeDelay, func() bool { return s.up && n.reachable })
}

// restart begins a new incarnation of a server, which is cold.
func (w *world) restart(n *node) {
	if n.server.up {
		return
	}
	n.server.up = true
	n.renew(w.policy, w.Now())
	w.turnCold(n)
	w.announce(n, noticeDelay, func() bool { return n.server.up && n.reachable })
}

// fall crashes a cold server that got more than it bears, and starts it again after a while.
func (w *world) fall(s *server) {
	w.crash(s.node)
	w.After(crashTime, func() { w.restart(s.node) })
}

// cutOff makes a node unreachable; its keys stay with it until its lease has lapsed.
func (w *world) cutOff(n *node) {
	n.reachable = false
	after := noticeDelay
	if n.service.config.Keyed {
		after = lapseDelay
	}
	w.announce(n, after, func() bool { return n.server.up && n.reachable })
}

func (w *world) reconnect(n *node) {
	n.reachable = true
	w.announce(n, noticeDelay, func() bool { return n.server.up && n.reachable })
}
