package ibisadmit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	defaultRampUp = 30 * time.Second
	timingWindow  = 200 // requests that the means of classTiming span
	// defaultSlotTime is the assumed slot time of a class before its first request ends: that of a typical web page.
	defaultSlotTime = 100 * time.Millisecond
	minRetryAfter   = 10 * time.Millisecond
	slowRetryAfter  = 100 * time.Millisecond
	headTimeExpiry  = 200 * time.Millisecond // time since the last request of a class ended
)

// Gate decides which requests one backend server runs. It is not safe for concurrent use.
type Gate struct {
	config          Config
	limit           *limiter
	queues          []*classQueue
	queuesByKey     map[queueKey]*classQueue
	running         map[RequestID]runningRequest
	timings         map[ibisid.ClassName]*classTiming
	reportedAt      map[ibisid.ClassName]time.Time
	rates           map[ibisid.TenantName]*rate.Limiter
	openConnections int
	draining        bool
	drained         bool
	domainOut       bool
	coldRate        coldRateLimit
	serverRate      serverRate
	resends         resendBudget
	resets          serverResets
	callBounds      map[ibisid.ClassName]*callBound
	// withoutHeadroom disables headroom and the slots for classes that starve, for tests that compare the decisions.
	withoutHeadroom bool
	effects         []Effect
}

// maxTenantQueues bounds the queues of tenants' own priorities; beyond it, those without requests are removed.
const maxTenantQueues = 64

// queueKey identifies a queue: each class has one for requests that can meet their target and one for late requests, and two more
// for each priority of tenants and for the calls of runs of each priority.
type queueKey struct {
	class          ibisid.ClassName
	tenantPriority ibisset.Option[int]
	late           bool
	call           bool
	callPriority   int
}

type runningRequest struct {
	queue        *classQueue
	admittedAt   time.Time
	headReceived bool
	// resends is how often the request was sent again after the server had rejected it.
	resends int
}

// New returns a gate without requests. Its limit is at most the lesser of config.Slots and config.Connections, and at least
// 1.
func New(config Config, now time.Time) *Gate {
	if config.ColdStart <= 0 {
		config.ColdStart = defaultColdStart
	}
	slots := max(1, min(config.Slots, config.Connections))
	g := &Gate{
		config:      config,
		limit:       newLimiter(config.Algorithm, slots, config.ColdStart),
		queuesByKey: make(map[queueKey]*classQueue),
		running:     make(map[RequestID]runningRequest),
		timings:     make(map[ibisid.ClassName]*classTiming),
		reportedAt:  make(map[ibisid.ClassName]time.Time),
	}
	g.setPolicy(config.Policy)
	if !config.EarlierAdmissionsUntil.IsZero() {
		g.coldRate.fullUntil = config.EarlierAdmissionsUntil.Add(coldWindow)
	}
	if config.StartCold {
		g.limit.startRamp(config.ColdStart, now)
	}
	return g
}

// Running returns the number of requests that the backend server is running.
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
func (g *Gate) Connections() int { return g.openConnections }

// Load returns the number of requests that run or wait as a fraction of the limit, or of what runs at the server's own rate limit
// if that is less. Answers report it to the nodes that
// choose between backend servers.
func (g *Gate) Load(now time.Time) float64 {
	capacity := g.serverRate.concurrency(g.meanSlotTime(), float64(g.limit.bound(now)))
	return float64(len(g.running)+g.Waiting()) / capacity
}

// Limit returns the number of requests that may run at the given time.
func (g *Gate) Limit(now time.Time) int { return g.limit.bound(now) }

// MeanSlotTime returns the mean time that requests of the class hold a slot, or 100 ms before the first one has ended.
func (g *Gate) MeanSlotTime(class ibisid.ClassName) time.Duration {
	if t := g.timings[class]; t != nil && t.slotTime.Count() > 0 {
		return time.Duration(t.slotTime.Value())
	}
	return defaultSlotTime
}

// meanSlotTime returns the mean time that requests hold a slot over the classes that ended, weighted by their numbers; zero if
// there is none.
func (g *Gate) meanSlotTime() time.Duration {
	total, count := 0.0, 0.0
	for _, q := range g.queues {
		if t := g.timings[q.name]; t != nil && !q.late {
			n := float64(t.slotTime.Count())
			total += n * t.slotTime.Value()
			count += n
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(total / count)
}

// Update applies one event and returns the resulting effects in order.
func (g *Gate) Update(event Event, now time.Time) []Effect {
	g.effects = nil
	g.stepCallBounds(now)
	switch e := event.(type) {
	case ArriveEvent:
		g.checkStall(now)
		g.arrive(e, now)
	case FinishEvent:
		g.finish(e, now)
	case RejectedEvent:
		g.reject(e, now)
	case HeadReceivedEvent:
		g.recordHead(e)
	case CallsFailedEvent:
		g.recordCallsFailed(e, now)
	case CallAnsweredEvent:
		g.recordCallAnswered(e)
	case ResetEvent:
		g.recordReset(now)
	case CancelEvent:
		g.removeAll(func(w waitingRequest, _ int) bool { return w.id == e.ID })
	case IdleClosedEvent:
		g.openConnections = max(len(g.running), g.openConnections-e.Count)
	case ColdEvent:
		g.startColdPeriod(e, now)
	case RateLimitEvent:
		g.serverRate.set(e, now)
		g.shed(now)
	case DrainEvent:
		g.draining = true
		g.refuseAll(ReasonDraining)
	case DomainEvent:
		g.setDomain(e, now)
	case BaselineEvent:
		g.limit.learn(e)
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

// setPolicy applies a policy to the existing queues. The queue of a class that the policy no longer lists is removed once none
// of its requests waits or runs.
func (g *Gate) setPolicy(p Policy) {
	g.config.Policy = p
	g.removeUnused(func(q *classQueue) bool {
		_, listed := p.Classes[q.name]
		return !listed || q.hasTenantPriority()
	})
	for _, q := range g.queues {
		q.setPolicy(p.Classes[q.name])
	}
	g.sortQueues()
	g.setRates(p)
}

// removeUnused removes the matching queues without requests. The two queues of a priority of tenants are only removed together:
// they are removed while the class has requests, and dispatch must find the one for late requests.
func (g *Gate) removeUnused(match func(q *classQueue) bool) {
	g.queues = slices.DeleteFunc(g.queues, func(q *classQueue) bool {
		key := q.key()
		key.late = !q.late
		other := g.queuesByKey[key]
		needed := q.hasTenantPriority() && other != nil && !other.idle()
		unused := match(q) && q.idle() && !needed
		if unused {
			delete(g.queuesByKey, q.key())
		}
		return unused
	})
}

// setRates keeps the token bucket of a tenant whose rate is unchanged, so that a change of the document refills no bucket.
func (g *Gate) setRates(p Policy) {
	old := g.rates
	g.rates = make(map[ibisid.TenantName]*rate.Limiter)
	for name, t := range p.Tenants {
		if t.Rate <= 0 {
			continue
		}
		if existing := old[name]; existing != nil && existing.Limit() == rate.Limit(t.Rate) {
			g.rates[name] = existing
			continue
		}
		g.rates[name] = rate.NewLimiter(rate.Limit(t.Rate), max(1, int(t.Rate)))
	}
}

// queue returns the queue with the key. Queues are created with the first request of their class, because a policy may name thousands
// of classes that a gate never receives.
func (g *Gate) queue(key queueKey) *classQueue {
	if q := g.queuesByKey[key]; q != nil {
		return q
	}
	if _, ok := key.tenantPriority.Get(); ok && len(g.queues) >= maxTenantQueues {
		g.removeUnused((*classQueue).hasTenantPriority)
	}
	// Creating both queues together keeps the list of queues unchanged while dispatch iterates over it. One of them may exist
	// already.
	for _, otherLate := range []bool{false, true} {
		otherKey := key
		otherKey.late = otherLate
		if g.queuesByKey[otherKey] != nil {
			continue
		}
		q := &classQueue{
			name:           key.class,
			tenantPriority: key.tenantPriority,
			late:           otherLate,
			call:           key.call,
			callPriority:   key.callPriority,
		}
		q.setPolicy(g.config.Policy.Classes[key.class])
		g.queuesByKey[otherKey] = q
		g.queues = append(g.queues, q)
	}
	g.sortQueues()
	return g.queuesByKey[key]
}

func (g *Gate) sortQueues() {
	slices.SortFunc(g.queues, func(a, b *classQueue) int {
		return cmp.Or(
			cmp.Compare(b.priority(), a.priority()),
			compareBool(!a.call, !b.call),
			cmp.Compare(b.classPriority, a.classPriority),
			compareBool(a.late, b.late),
			cmp.Compare(a.name, b.name),
			cmp.Compare(b.callPriority, a.callPriority),
			compareBool(a.hasTenantPriority(), b.hasTenantPriority()),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (g *Gate) setDomain(e DomainEvent, now time.Time) {
	if e.OutOfService {
		g.domainOut = true
		g.refuseAll(ReasonDomainOut)
		return
	}
	if !g.domainOut {
		return
	}
	g.domainOut = false
	span := e.RampUp
	if span <= 0 {
		span = defaultRampUp
	}
	g.limit.startRamp(span, now)
}

func (g *Gate) startColdPeriod(e ColdEvent, now time.Time) {
	if e.RequestsPerSecond > 0 {
		g.coldRate.set(e, now)
		g.shed(now)
		return
	}
	g.limit.startRamp(g.config.ColdStart, now)
	g.shed(now)
}

func (g *Gate) finish(e FinishEvent, now time.Time) {
	r, ok := g.running[e.ID]
	if !ok {
		return
	}
	busy := len(g.running) >= g.limit.bound(now)
	delete(g.running, e.ID)
	r.queue.running--
	if e.ConnectionClosed {
		g.openConnections--
	}
	g.timing(r.queue.name).add(now.Sub(r.admittedAt), e, now)
	if e.CutOff {
		g.recordCutOff(r, now)
	}
	g.recordCallRun(r.queue.name, r.admittedAt)
	if g.limit.addSample(r.queue.name, e, r.admittedAt, busy, now) {
		g.handleSlowServer(now)
	}
}

func (g *Gate) timing(class ibisid.ClassName) *classTiming {
	t := g.timings[class]
	if t == nil {
		t = &classTiming{}
		g.timings[class] = t
	}
	return t
}

func (g *Gate) reportDrained() {
	if g.draining && !g.drained && len(g.running) == 0 {
		g.drained = true
		g.effects = append(g.effects, DrainedEffect{})
	}
}

// classTiming holds the mean times of one class: slotTime is how long its requests hold a slot, headTime how long until
// the head of the answer.
type classTiming struct {
	slotTime ibislatency.Mean
	headTime ibislatency.Mean
	lastEnd  time.Time
	// lastAdmitted is when a request of the class was last admitted.
	lastAdmitted time.Time
}

// add records a request that ended. A request that failed without a head counts as if the head had arrived at the end.
func (t *classTiming) add(span time.Duration, e FinishEvent, now time.Time) {
	t.slotTime.Add(float64(span), timingWindow)
	t.lastEnd = now
	switch {
	case e.Latency > 0:
		t.headTime.Add(float64(e.Latency), timingWindow)
	case e.Failed:
		t.headTime.Add(float64(span), timingWindow)
	}
}

// expectedHeadTime returns the mean time to the head of an answer. A deadline applies to the head, since a body may stream for
// longer. The result is zero if no request ended within headTimeExpiry, so that requests are admitted again and show whether a
// slow period is over.
func (t *classTiming) expectedHeadTime(now time.Time) time.Duration {
	if now.Sub(t.lastEnd) > headTimeExpiry {
		return 0
	}
	return time.Duration(t.headTime.Value())
}
