package ibiskeep_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	heartbeat  = time.Second
	holdMax    = 6 * time.Second
	leaseTerm  = 10 * time.Second
	renewEvery = 2500 * time.Millisecond
	service    = ibisid.ServiceName("ledger")
)

var start = time.Unix(1_000_000, 0)

// world runs keepers, backend servers and a store on fake time, and looks for two servers that hold one key.
type world struct {
	now     time.Time
	random  *rand.Rand
	queue   queue
	seq     int
	rows    map[ibisstore.Key]ibisstore.Row
	version uint64
	nodes   []*node
	tokens  map[int]ibisid.Token
	broken  []string
	moves   int
	// lossy is the share of commits whose answer is lost, half of them applied seconds later.
	lossy float64
	// lateBeats is the share of heartbeats that are up to three seconds late on their way.
	lateBeats float64
	// out is the failure domains that are taken out.
	out ibisset.Set[ibisid.DomainName]
	// intercept decides what becomes of a commit; nil where all are applied.
	intercept func(n *node) fate
	// mutate changes each commit on its way, nil for none.
	mutate func(c *ibisstore.Commit)
}

// node is a node with the backend server beside it.
type node struct {
	name   ibisid.NodeName
	keeper *ibiskeep.Keeper
	boot   int
	up     bool
	cut    bool
	frozen time.Time
	roster time.Time
	server *backend
	domain ibisid.DomainName
}

// backend is a backend server as it behaves: it holds what it was granted until that runs out on its own clock.
type backend struct {
	life    ibisroster.Life
	up      bool
	leaving bool
	seq     uint64
	slow    float64
	holds   []hold
	freed   []ibiskeep.Released
}

type hold struct {
	ibiskeep.Grant
	until time.Time
	busy  time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		now:    start,
		random: rand.New(rand.NewPCG(seed, 7)),
		rows:   make(map[ibisstore.Key]ibisstore.Row),
		tokens: make(map[int]ibisid.Token),

		lateBeats: 0.03,
		out:       make(ibisset.Set[ibisid.DomainName]),
	}
	for i := range nodes {
		n := &node{
			name: ibisid.NodeName(fmt.Sprintf("n%d", i)),
		}
		w.nodes = append(w.nodes, n)
		w.boot(n)
		w.startServer(n, fmt.Sprintf("s%d", i))
	}
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: f})
}

// run lets the time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// boot starts a node's process with nothing remembered.
func (w *world) boot(n *node) {
	n.boot++
	n.up = true
	n.keeper = ibiskeep.New(ibiskeep.Config{
		Node:        n.name,
		Service:     service,
		Incarnation: ibisid.Incarnation(n.boot),
		Heartbeat:   heartbeat,
		HoldMax:     holdMax,
		LeaseTerm:   leaseTerm,
		RenewEvery:  renewEvery,
	})
	boot := n.boot
	var tick func()
	tick = func() {
		if !n.up || n.boot != boot {
			return
		}
		if w.now.Sub(n.roster) > time.Second {
			n.roster = w.now
			w.update(n, ibiskeep.MembersEvent{Members: w.members()})
			if !n.cut {
				w.feed(n)
			}
		}
		w.update(n, ibiskeep.TickEvent{})
		w.after(ibiskeep.TickPeriod, tick)
	}
	w.after(0, func() {
		w.update(n, ibiskeep.PolicyEvent{Sharded: true, Out: w.out})
		tick()
	})
}

func (w *world) feed(n *node) {
	for key, row := range w.rows {
		if key.Table == ibiskeep.TablePages {
			w.update(n, ibiskeep.PageEvent{Row: row})
		}
	}
}

func (w *world) members() []ibisroster.Member {
	var out []ibisroster.Member
	for _, n := range w.nodes {
		if n.server == nil {
			continue
		}
		state := ibisroster.StateServing
		if n.server.leaving || !n.server.up {
			state = ibisroster.StateLeaving
		}
		out = append(out, ibisroster.Member{
			Node:    n.name,
			Address: "127.0.0.1:1",
			Place:   ibisid.Place{Domain: n.domain},
			Server:  ibisroster.Server{Life: n.server.life, Service: service, Slots: 8, State: state},
		})
	}
	return out
}

func (w *world) startServer(n *node, id string) {
	b := &backend{
		life: ibisroster.Life{ID: id, Born: w.now.UnixMilli() + 1},
		up:   true,
		slow: 1 + 0.02*w.random.Float64(),
	}
	n.server = b
	var beat func()
	beat = func() {
		if !b.up {
			return
		}
		w.beat(n, b)
		w.after(heartbeat, beat)
	}
	w.after(time.Duration(w.random.Int64N(int64(heartbeat))), beat)
}

// beat sends one heartbeat, which may be late on its way, and takes the answer if it is back within a second.
func (w *world) beat(n *node, b *backend) {
	sent := w.now
	w.expire(b)
	b.seq++
	e := ibiskeep.HeartbeatEvent{Life: b.life, Seq: b.seq, Leaving: b.leaving}
	for _, h := range b.holds {
		e.Holds = append(e.Holds, ibiskeep.Held{Span: h.Span, Token: h.Token})
	}
	e.Released = slices.Clone(b.freed)
	there := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	if w.random.Float64() < w.lateBeats {
		there = time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	w.after(there, func() {
		if !n.up || w.now.Before(n.frozen) {
			return
		}
		effects := w.updateAll(n, e)
		for _, effect := range effects {
			if grant, ok := effect.(ibiskeep.GrantEffect); ok {
				back := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
				w.after(back, func() { w.granted(n, b, grant, sent, len(e.Released)) })
			}
		}
	})
}

func (w *world) granted(n *node, b *backend, grant ibiskeep.GrantEffect, sent time.Time, freed int) {
	if !b.up || w.now.Sub(sent) > time.Second {
		return
	}
	b.freed = b.freed[min(freed, len(b.freed)):]
	if !grant.Renews {
		return
	}
	w.expire(b)
	until := sent.Add(time.Duration(float64(grant.HoldFor) * b.slow))
	var kept []hold
	for _, h := range b.holds {
		if i := slices.IndexFunc(grant.Grants, func(g ibiskeep.Grant) bool { return g.From <= h.From && h.To <= g.To }); i >= 0 {
			continue
		}
		if w.now.Before(h.busy) {
			kept = append(kept, h)
			continue
		}
		// Only what is left out is released; the rest of the span is held on.
		for _, part := range without(h.Span, grant.Grants) {
			b.freed = append(b.freed, ibiskeep.Released{Span: part, Handover: fmt.Sprintf("%s-%d", b.life.ID, h.Token)})
		}
	}
	for _, g := range grant.Grants {
		h := hold{Grant: g, until: until}
		if w.random.Float64() < 0.2 {
			h.busy = w.now.Add(time.Duration(w.random.Int64N(int64(400 * time.Millisecond))))
		}
		kept = append(kept, h)
		w.checkToken(b, g)
	}
	b.holds = kept
	w.check()
	_ = n
	if len(b.freed) > 0 {
		w.after(100*time.Millisecond, func() {
			if b.up {
				w.beat(n, b)
			}
		})
	}
}

// without returns the parts of a span that no grant names.
func without(span ibiskeep.Span, grants []ibiskeep.Grant) []ibiskeep.Span {
	parts := []ibiskeep.Span{span}
	for _, g := range grants {
		var rest []ibiskeep.Span
		for _, p := range parts {
			rest = append(rest, p.Minus(g.Span)...)
		}
		parts = rest
	}
	return parts
}

func (w *world) expire(b *backend) {
	b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return !w.now.Before(h.until) })
}

func (w *world) checkToken(b *backend, g ibiskeep.Grant) {
	for key := g.From; key <= g.To; key += 64 {
		if w.tokens[key] > g.Token {
			w.broken = append(w.broken, fmt.Sprintf("%s takes key %d under token %d, after token %d", b.life.ID, key, g.Token, w.tokens[key]))
			return
		}
		if w.tokens[key] < g.Token {
			w.moves++
		}
		w.tokens[key] = g.Token
	}
}

// check looks for two servers that hold one key.
func (w *world) check() {
	for i, a := range w.nodes {
		for _, b := range w.nodes[i+1:] {
			if a.server == nil || b.server == nil || !a.server.up || !b.server.up {
				continue
			}
			for _, x := range a.server.holds {
				for _, y := range b.server.holds {
					if x.Overlaps(y.Span) && w.now.Before(x.until) && w.now.Before(y.until) {
						w.broken = append(w.broken, fmt.Sprintf("%s at %s: %s holds %v under %d and %s holds %v under %d",
							w.now.Sub(start), a.name, a.server.life.ID, x.Span, x.Token, b.server.life.ID, y.Span, y.Token))
					}
				}
			}
		}
	}
}

func (w *world) update(n *node, e ibiskeep.Event) { w.updateAll(n, e) }

// updateAll hands an event to a keeper and carries out what it wants of the store.
func (w *world) updateAll(n *node, e ibiskeep.Event) []ibiskeep.Effect {
	if !n.up || w.now.Before(n.frozen) {
		return nil
	}
	boot := n.boot
	effects := n.keeper.Update(e, w.now)
	for _, effect := range effects {
		switch x := effect.(type) {
		case ibiskeep.CommitEffect:
			w.after(w.delay(), func() { w.commit(n, boot, x) })
		case ibiskeep.ReadEffect:
			asked := w.now
			w.after(w.delay(), func() { w.read(n, boot, x, asked) })
		}
	}
	return effects
}

func (w *world) delay() time.Duration {
	return time.Duration(w.random.Int64N(int64(30 * time.Millisecond)))
}

// back hands the store's answer to the same run of the node, once it isn't frozen.
func (w *world) back(n *node, boot int, e ibiskeep.Event) {
	w.after(w.delay(), func() {
		if !n.up || n.boot != boot {
			return
		}
		if w.now.Before(n.frozen) {
			w.after(n.frozen.Sub(w.now), func() {
				if n.up && n.boot == boot {
					w.update(n, e)
				}
			})
			return
		}
		w.update(n, e)
	})
}

func (w *world) commit(n *node, boot int, e ibiskeep.CommitEffect) {
	if w.mutate != nil {
		w.mutate(&e.Commit)
	}
	if n.cut {
		outcome := ibisstore.OutcomeRefused
		if w.random.Float64() < 0.5 {
			outcome = ibisstore.OutcomeUnknown
		}
		w.back(n, boot, ibiskeep.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: outcome}})
		return
	}
	if w.random.Float64() < w.lossy {
		if w.random.Float64() < 0.5 {
			w.apply(e.Commit)
		} else {
			w.after(time.Second+time.Duration(w.random.Int64N(int64(5*time.Second))), func() { w.apply(e.Commit) })
		}
		w.after(time.Second, func() {
			w.back(n, boot, ibiskeep.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeUnknown}})
		})
		return
	}
	unknown := func() {
		w.after(time.Second, func() {
			w.back(n, boot, ibiskeep.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeUnknown}})
		})
	}
	become := fateApplied
	if w.intercept != nil {
		become = w.intercept(n)
	}
	switch become {
	case fateUnsent:
		w.back(n, boot, ibiskeep.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeRefused}})
	case fateAnswerLost:
		w.apply(e.Commit)
		unknown()
	case fateLate:
		w.after(3*time.Second, func() { w.apply(e.Commit) })
		unknown()
	case fateApplied:
		w.back(n, boot, ibiskeep.CommitEvent{ID: e.ID, Result: w.apply(e.Commit)})
	}
}

func (w *world) apply(c ibisstore.Commit) ibisstore.Result {
	var rows []ibisstore.Row
	conflict := false
	for _, condition := range c.Conditions {
		row, ok := w.rows[condition.Key]
		if ok {
			rows = append(rows, row)
		}
		conflict = conflict || row.Version != condition.Version
	}
	if conflict {
		return ibisstore.Result{Outcome: ibisstore.OutcomeConflict, Rows: rows, Clock: w.clock()}
	}
	w.version++
	for _, write := range c.Writes {
		w.rows[write.Key] = ibisstore.Row{Key: write.Key, Value: write.Value, Version: w.version}
	}
	for _, key := range c.Removes {
		delete(w.rows, key)
	}
	return ibisstore.Result{Outcome: ibisstore.OutcomeApplied, Version: w.version, Clock: w.clock()}
}

func (w *world) read(n *node, boot int, e ibiskeep.ReadEffect, asked time.Time) {
	event := ibiskeep.ReadEvent{Asked: asked}
	if !n.cut {
		if e.Pages {
			event.Pages = w.snapshot(ibiskeep.TablePages)
		}
		if e.Leases {
			event.Leases = w.snapshot(ibiskeep.TableLeases)
		}
	}
	w.back(n, boot, event)
}

// clock returns the store's clock, which began long before the nodes.
func (w *world) clock() time.Duration { return w.now.Sub(start) + time.Hour }

func (w *world) snapshot(table string) *ibisstore.Snapshot {
	s := &ibisstore.Snapshot{Version: w.version, Clock: w.clock()}
	for key, row := range w.rows {
		if key.Table == table {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// served returns the number of keys that some server holds.
func (w *world) served() int {
	n := 0
	for _, node := range w.nodes {
		if node.server == nil || !node.server.up || !node.up {
			continue
		}
		for _, h := range node.server.holds {
			if w.now.Before(h.until) {
				n += h.Width()
			}
		}
	}
	return n
}

// fault does one thing wrong.
func (w *world) fault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	long := time.Second + time.Duration(w.random.Int64N(int64(14*time.Second)))
	switch w.random.IntN(9) {
	case 0: // the node's process is killed
		n.up = false
		w.after(time.Second+long/5, func() {
			if !n.up {
				w.boot(n)
			}
		})
	case 1: // the node is cut off from the store
		n.cut = true
		w.after(long, func() { n.cut = false })
	case 2: // the node is suspended
		n.frozen = w.now.Add(long / 2)
	case 3: // the backend server crashes, and the node may see it
		w.crash(n, w.random.Float64() < 0.5, long)
	case 4: // node and backend server lose power
		n.up = false
		w.crash(n, false, long)
		w.after(long, func() {
			if !n.up {
				w.boot(n)
			}
		})
	case 5: // the backend server starts again under its id
		old := n.server
		old.up = false
		w.startServer(n, old.life.ID)
	case 6: // the store is down for all
		for _, other := range w.nodes {
			other.cut = true
		}
		w.after(long, func() {
			for _, other := range w.nodes {
				other.cut = false
			}
		})
	case 7: // the backend server drains, ends, and another comes
		b := n.server
		b.leaving = true
		w.after(4*time.Second, func() {
			b.up = false
			if n.server == b {
				w.startServer(n, b.life.ID+"'")
			}
		})
	case 8: // answers of the store are lost
		w.lossy = 0.4
		w.after(long, func() { w.lossy = 0 })
	}
}

func (w *world) crash(n *node, seen bool, down time.Duration) {
	b := n.server
	b.up = false
	if seen {
		w.after(300*time.Millisecond, func() {
			if n.server == b {
				w.update(n, ibiskeep.EndedEvent{Life: b.life})
			}
		})
	}
	w.after(down, func() {
		if n.server == b {
			w.startServer(n, b.life.ID+"+")
		}
	})
}
