package ibiscell

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// takeoverTarget is the time within which a key is served again after a loss.
	takeoverTarget = 5 * time.Second
	// unfencedWait is the longest order, which an heir of a server that checks no grants waits for.
	unfencedWait = 2*time.Second + 100*time.Millisecond
	// reachLimit is how long a flow may take to come to a step; a rebalance is asked for once a minute.
	reachLimit   = 70 * time.Second
	lookupPeriod = 60 * time.Millisecond
	orderPeriod  = 90 * time.Millisecond
	freshOrders  = 12
	// repeatSpan is the time over which all callers ask again for the answers to their orders.
	repeatSpan   = 4 * time.Second
	repeatRounds = 1
	warmUp       = time.Second
	// hedgeWarmUp lets an entry node see enough answers to know which is late.
	hedgeWarmUp = 12 * time.Second
)

// Verdict is how a cell ended.
type Verdict string

const (
	// OK is that everything held.
	OK Verdict = "ok"
	// Red is that something did not.
	Red Verdict = "red"
	// NotRun is that the cell could not be run.
	NotRun Verdict = "notRun"
)

// Cell is one flow, a step of it and a fault, or two, with what came of them.
type Cell struct {
	// Flow is the name of the flow.
	Flow string `json:"flow"`
	// Step is when the fault came about.
	Step string `json:"step"`
	// Faults are the names of the faults, the second of which came a moment after the first.
	Faults []string `json:"faults"`
	// Seed is the seed of all chances.
	Seed uint64 `json:"seed"`
	// Verdict is how the cell ended.
	Verdict Verdict `json:"verdict"`
	// Reason says why the cell was not run.
	Reason string `json:"reason,omitempty"`
	// Orders is the number of requests that were sent.
	Orders int `json:"orders"`
	// Outcomes counts how the non-idempotent ones ended for their callers at last.
	Outcomes map[ibisid.Outcome]int `json:"outcomes,omitempty"`
	// Broken lists what did not hold.
	Broken []Breach `json:"broken,omitempty"`
}

// plan is a cell that is to be run.
type plan struct {
	flow   flow
	step   step
	faults []fault
	// delay is the time between the first fault and the second.
	delay time.Duration
	seed  uint64
}

func (p plan) cell() Cell {
	c := Cell{
		Flow: p.flow.name,
		Step: p.step.name,
		Seed: p.seed,
	}
	for _, f := range p.faults {
		c.Faults = append(c.Faults, f.name)
	}
	return c
}

// seedOf gives each cell chances of its own that never change.
func seedOf(round uint64, names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name + "\x00"))
	}
	return h.Sum64()%1_000_000 + round*1_000_000
}

// run runs the cell in a world of its own.
func (p plan) run() Cell {
	c := p.cell()
	w := newWorld(p.seed, p.flow.service, p.flow.checks)
	defer w.close()
	if !w.runUntil(startLimit, func() bool { return w.settled() && w.informed() }) {
		c.Verdict = Red
		c.Broken = append(w.broken, Breach{
			Promise: ServedAgain,
			What:    "the world did not start",
		})
		return c
	}
	w.startLoad()
	w.run(p.flow.warmUp())
	hit := p.disturb(w)
	if hit == nil {
		c.Verdict = NotRun
		c.Reason = fmt.Sprintf("the flow did not come to the step within %s", reachLimit)
		return c
	}
	p.after(w, hit)
	return w.judge(c)
}

// disturb starts the flow and brings the faults about at the step; it returns the node that they hit.
func (p plan) disturb(w *world) *node {
	var actor, hit *node
	passed := false
	early := ""
	w.points = func(point string, n *node) {
		if passed || point != p.step.point {
			return
		}
		if actor == nil && (p.step.actor || p.step.hitActor) {
			early = point
			return
		}
		if p.step.actor && n != actor {
			return
		}
		passed = true
		hit = n
		if p.step.hitActor {
			hit = actor
		}
		p.strike(w, hit)
	}
	actor = p.flow.begin(w)
	if !passed && (p.step.point == "" || early != "" && p.step.hitActor) {
		passed = true
		hit = actor
		p.strike(w, hit)
	}
	w.run(look)
	for end := w.now().Add(reachLimit); !passed && w.now().Before(end); {
		w.run(time.Second)
	}
	return hit
}

func (p plan) strike(w *world, n *node) {
	if w.find(n.name) == nil {
		return
	}
	w.upset = w.now()
	w.press(n)
	p.faults[0].begin(w, n)
	for _, f := range p.faults[1:] {
		w.after(p.delay, func() { f.begin(w, w.otherThan(n, f)) })
	}
}

// otherThan returns the node that a second fault hits: the same one, or another where that is gone.
func (w *world) otherThan(n *node, _ fault) *node {
	if !n.dead && !n.frozen {
		return n
	}
	for _, other := range w.live() {
		if other.name != n.name && other.place.Domain == n.place.Domain {
			return other
		}
	}
	return w.live()[0]
}

// after lets the faults last, ends them, and waits for fresh orders to be served.
func (p plan) after(w *world, hit *node) {
	limit := takeoverTarget
	if !p.flow.checks {
		limit += unfencedWait
	}
	if len(p.faults) == 1 && p.faults[0].loss && !p.flow.loses() {
		// The lease of a node that was just lost still holds for a moment, so that only the end of the limit tells.
		w.run(limit)
		if !w.served() {
			what := w.unserved()
			began := w.now()
			again := w.runUntil(w.upset.Add(faultSpan).Sub(began), w.served)
			w.broken.add(w, ServedAgain, "%s after the loss %s; served before the fault ended: %v, after %s more", limit, what, again, w.now().Sub(began))
		}
	}
	w.run(w.upset.Add(faultSpan).Sub(w.now()))
	for _, f := range p.faults {
		f.end(w, hit)
		for _, n := range w.nodes {
			if n != hit && !n.dead && (n.frozen || n.mute || n.deaf) {
				f.end(w, n)
			}
		}
	}
	w.upset = w.now()
	for _, n := range w.nodes {
		if n.hurt && n.dead && len(p.faults) > 1 {
			replace(w, n)
		}
	}
	if len(p.faults) > 1 {
		limit += worldGrace + takeoverTarget
	}
	if !w.runUntil(limit, w.served) {
		w.broken.add(w, ServedAgain, "%s after the fault: %s", limit, w.unserved())
	}
	w.finish()
}

// finish waits for the flow's end, then lets every caller without an answer ask again.
func (w *world) finish() {
	w.runUntil(inForceTarget+backAfter, w.changed)
	w.load = false
	w.run(callerPatience)
	for range repeatRounds {
		for _, key := range sortedKeys(w.orders) {
			if o := w.orders[key]; !o.idempotent {
				o.finals = append([]final(nil), o.finals[max(0, len(o.finals)-1):]...)
				w.after(time.Duration(w.random.IntN(int(repeatSpan))), func() { w.placeAnywhere(o) })
			}
		}
		w.run(repeatSpan + callerPatience)
	}
	if !w.runUntil(takeoverTarget, w.settled) {
		w.broken.add(w, ServedAgain, "not settled at the end: %s", w.unserved())
	}
	var fresh []*order
	for range freshOrders {
		o := w.newOrder(false)
		fresh = append(fresh, o)
		w.placeAnywhere(o)
	}
	done := func() bool {
		for _, o := range fresh {
			if o.last() != ibisid.OutcomeDone {
				return false
			}
		}
		return true
	}
	if !w.runUntil(takeoverTarget, done) {
		w.broken.add(w, ServedAgain, "fresh orders were not done")
	}
	w.checkEnd()
}

// judge writes down what came of the cell.
func (w *world) judge(c Cell) Cell {
	c.Orders = len(w.orders)
	c.Outcomes = make(map[ibisid.Outcome]int)
	for _, o := range w.orders {
		if !o.idempotent {
			c.Outcomes[o.last()]++
		}
	}
	c.Broken = w.broken
	c.Verdict = OK
	if len(c.Broken) > 0 {
		c.Verdict = Red
	}
	return c
}

// startLoad sends lookups and orders from now on.
func (w *world) startLoad() {
	w.load = true
	w.timer.Every(lookupPeriod, func(time.Time) { w.oneMore(true) })
	w.timer.Every(orderPeriod, func(time.Time) { w.oneMore(false) })
}

func (w *world) oneMore(idempotent bool) {
	if w.load {
		w.placeAnywhere(w.newOrder(idempotent))
	}
}

// informed reports whether every live node has a document in force.
func (w *world) informed() bool {
	for _, n := range w.live() {
		if n.follows.document == nil {
			return false
		}
	}
	return true
}

// served reports whether each slot has a node that runs its requests.
func (w *world) served() bool {
	for _, slot := range w.slots() {
		if w.admitter(slot) == nil {
			return false
		}
	}
	return true
}

func (w *world) unserved() string {
	none := 0
	first := ""
	for _, slot := range w.slots() {
		if w.admitter(slot) == nil {
			if none == 0 {
				first = slot.String()
			}
			none++
		}
	}
	return fmt.Sprintf("%d slots are not served, the first %s", none, first)
}

// changed reports whether every change is accepted and in force at every live node.
func (w *world) changed() bool {
	for _, c := range w.changes {
		if c.accepted.IsZero() {
			return false
		}
		for _, n := range w.live() {
			if n.follows.document == nil || n.follows.document.Revision() < c.revision {
				return false
			}
		}
	}
	return true
}

func (f flow) warmUp() time.Duration {
	if f.service == deskService {
		return hedgeWarmUp
	}
	return warmUp
}

// loses reports whether the flow is the loss of a node by itself, so that a fault is a second one.
func (f flow) loses() bool {
	return f.name == "takeOver" || f.name == "takeOverUnfenced" || f.name == "retry"
}

const (
	pressPeriod = 40 * time.Millisecond
	pressSpan   = 7 * time.Second
	pressPaths  = 3
)

// press sends requests for a few keys of the node through its own router and through others, before and after others own
// them.
func (w *world) press(n *node) {
	paths := w.pathsOf(n)
	for at := time.Duration(0); at < pressSpan; at += pressPeriod {
		w.after(at, func() {
			o := w.newOrder(w.random.IntN(2) == 0)
			if len(paths) > 0 {
				o.token, o.tenant, o.homes = shopToken, shopTenant, nil
				o.path = paths[w.random.IntN(len(paths))]
				if !o.idempotent {
					o.path += "/prints"
				}
			}
			if w.random.IntN(2) == 0 && !n.dead && w.service == floorService {
				w.place(o, n)
				return
			}
			w.placeAnywhere(o)
		})
	}
}

// pathsOf lists a few designs that the node owns.
func (w *world) pathsOf(n *node) []string {
	var paths []string
	if w.service != floorService || n.follows.document == nil {
		return nil
	}
	for number := 1000; number < 3000 && len(paths) < pressPaths; number++ {
		o := &order{
			method: http.MethodGet,
			path:   fmt.Sprintf("/designs/MAT-%d", number),
			tenant: shopTenant,
		}
		if owner, ok := n.manager.Owner(n.slotOf(o)); ok && owner.Member == n.manager.Self().Member {
			paths = append(paths, o.path)
		}
	}
	return paths
}
