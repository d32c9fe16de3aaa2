package ibisadmit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	defaultRampUp = 30 * time.Second
	holdWindow    = 200
	// unknownHold is what a request of a class is taken to need that has not ended one yet, a usual page's work.
	unknownHold    = 100 * time.Millisecond
	minRetryAfter  = 10 * time.Millisecond
	slowRetryAfter = 100 * time.Millisecond
	probePeriod    = 200 * time.Millisecond
)

// Gate decides which requests one backend server runs.
type Gate struct {
	config   Config
	limit    *limiter
	queues   []*classQueue
	byClass  map[queueKey]*classQueue
	running  map[RequestID]admitted
	holds    map[ibisid.ClassName]*hold
	rates    map[ibisid.TenantName]*rate.Limiter
	open     int
	draining bool
	drained  bool
	out      bool
	cold     coldBound
	effects  []Effect
}

// queueKey names a queue.
type queueKey struct {
	class ibisid.ClassName
	late  bool
}

type admitted struct {
	queue *classQueue
	at    time.Time
	head  bool
}

// New returns a gate that runs nothing yet.
func New(config Config, now time.Time) *Gate {
	if config.ColdStart <= 0 {
		config.ColdStart = defaultColdStart
	}
	slots := max(1, min(config.Slots, config.Connections))
	g := &Gate{
		config:  config,
		limit:   newLimiter(config.Law, slots, config.ColdStart),
		byClass: make(map[queueKey]*classQueue),
		running: make(map[RequestID]admitted),
		holds:   make(map[ibisid.ClassName]*hold),
	}
	g.setPolicy(config.Policy)
	if config.Cold {
		g.limit.startRamp(config.ColdStart, now)
	}
	return g
}

// Running returns the number of requests at the backend server.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of requests in the queues.
func (g *Gate) Waiting() int {
	n := 0
	for _, q := range g.queues {
		n += q.length
	}
	return n
}

// Connections returns the number of open connections to the backend server.
func (g *Gate) Connections() int { return g.open }

// Load returns the requests that run or wait as a share of the limit, for the answers that doors see.
func (g *Gate) Load(now time.Time) float64 {
	return float64(len(g.running)+g.Waiting()) / float64(g.limit.bound(now))
}

// Limit returns the number of requests that may run at the time.
func (g *Gate) Limit(now time.Time) int { return g.limit.bound(now) }

// Usual returns how long requests of the class hold a slot on average, and a guess before the first has ended.
func (g *Gate) Usual(class ibisid.ClassName) time.Duration {
	if h := g.holds[class]; h != nil && h.mean.Count() > 0 {
		return time.Duration(h.mean.Value())
	}
	return unknownHold
}

// Update takes one event in and returns what follows from it, in order.
func (g *Gate) Update(event Event, now time.Time) []Effect {
	g.effects = nil
	switch e := event.(type) {
	case ArriveEvent:
		g.checkStall(now)
		g.arrive(e, now)
	case FinishEvent:
		g.finish(e, now)
	case HeadEvent:
		g.head(e)
	case CancelEvent:
		g.removeAll(func(w waiting, _ int) bool { return w.id == e.ID })
	case IdleClosedEvent:
		g.open = max(len(g.running), g.open-e.Count)
	case ColdEvent:
		g.turnCold(e, now)
	case DrainEvent:
		g.draining = true
		g.refuseAll(ReasonDraining)
	case DomainEvent:
		g.setDomain(e, now)
	case PolicyEvent:
		g.setPolicy(e.Policy)
	case TickEvent:
		g.checkStall(now)
		g.shed(now)
	}
	g.dispatch(now)
	g.reportDrained()
	return g.effects
}

func (g *Gate) setPolicy(p Policy) {
	g.config.Policy = p
	g.queues = slices.DeleteFunc(g.queues, func(q *classQueue) bool {
		_, stands := p.Classes[q.name]
		gone := !stands && q.length == 0 && q.running == 0
		if gone {
			delete(g.byClass, queueKey{
				class: q.name,
				late:  q.late,
			})
		}
		return gone
	})
	for _, q := range g.queues {
		q.policy = p.Classes[q.name]
	}
	g.sortQueues()
	g.setRates(p)
}

// setRates keeps the bucket of a tenant whose rate is the same, so that a change of the document refills none.
func (g *Gate) setRates(p Policy) {
	old := g.rates
	g.rates = make(map[ibisid.TenantName]*rate.Limiter)
	for name, t := range p.Tenants {
		if t.Rate <= 0 {
			continue
		}
		if kept := old[name]; kept != nil && kept.Limit() == rate.Limit(t.Rate) {
			g.rates[name] = kept
			continue
		}
		g.rates[name] = rate.NewLimiter(rate.Limit(t.Rate), max(1, int(t.Rate)))
	}
}

// queue returns the queue of a class, for requests that can meet their target or for late ones. Queues come with the first
// request of their class, since a policy may name thousands of classes that a gate never sees.
func (g *Gate) queue(name ibisid.ClassName, late bool) *classQueue {
	key := queueKey{
		class: name,
		late:  late,
	}
	if q := g.byClass[key]; q != nil {
		return q
	}
	// Both come at once, so that the list of queues does not change while it is walked; one of them may stand already.
	for _, tier := range []bool{false, true} {
		other := queueKey{
			class: name,
			late:  tier,
		}
		if g.byClass[other] != nil {
			continue
		}
		q := &classQueue{
			name:   name,
			late:   tier,
			policy: g.config.Policy.Classes[name],
		}
		g.byClass[other] = q
		g.queues = append(g.queues, q)
	}
	g.sortQueues()
	return g.byClass[key]
}

func (g *Gate) sortQueues() {
	slices.SortFunc(g.queues, func(a, b *classQueue) int {
		return cmp.Or(
			cmp.Compare(b.policy.Priority, a.policy.Priority),
			compareLate(a.late, b.late),
			cmp.Compare(a.name, b.name),
		)
	})
}

// compareLate puts what can meet its target before what can't.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (g *Gate) setDomain(e DomainEvent, now time.Time) {
	if e.Out {
		g.out = true
		g.refuseAll(ReasonDomainOut)
		return
	}
	if !g.out {
		return
	}
	g.out = false
	span := e.RampUp
	if span <= 0 {
		span = defaultRampUp
	}
	g.limit.startRamp(span, now)
}

func (g *Gate) turnCold(e ColdEvent, now time.Time) {
	if e.PerSecond > 0 {
		g.cold.set(e, now)
		g.shed(now)
		return
	}
	g.limit.startRamp(g.config.ColdStart, now)
	g.shed(now)
}

func (g *Gate) finish(e FinishEvent, now time.Time) {
	a, ok := g.running[e.ID]
	if !ok {
		return
	}
	busy := len(g.running) >= g.limit.bound(now)
	delete(g.running, e.ID)
	a.queue.running--
	if e.ConnectionClosed {
		g.open--
	}
	g.hold(a.queue.name).add(now.Sub(a.at), e, now)
	if g.limit.sample(a.queue.name, e, a.at, busy, now) {
		g.turnSlow(now)
	}
}

func (g *Gate) hold(class ibisid.ClassName) *hold {
	h := g.holds[class]
	if h == nil {
		h = &hold{}
		g.holds[class] = h
	}
	return h
}

func (g *Gate) reportDrained() {
	if g.draining && !g.drained && len(g.running) == 0 {
		g.drained = true
		g.effects = append(g.effects, DrainedEffect{})
	}
}

// hold is how long requests of one class keep their slots, and how long until the heads of their answers come.
type hold struct {
	mean ibislatency.Mean
	head ibislatency.Mean
	last time.Time
}

// add takes in a request that ended; one that failed without a head counts as if its head had come at the end.
func (h *hold) add(span time.Duration, e FinishEvent, now time.Time) {
	h.mean.Add(float64(span), holdWindow)
	h.last = now
	switch {
	case e.Latency > 0:
		h.head.Add(float64(e.Latency), holdWindow)
	case e.Failed:
		h.head.Add(float64(span), holdWindow)
	}
}

// expected returns the usual time to the head of an answer, which is what a deadline is for: a body may stream for longer.
// It is zero when no request ended lately, so that a slow spell is probed for its end.
func (h *hold) expected(now time.Time) time.Duration {
	if now.Sub(h.last) > probePeriod {
		return 0
	}
	return time.Duration(h.head.Value())
}
