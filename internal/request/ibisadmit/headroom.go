package ibisadmit

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// demandSpan is the time over which the arrivals of a class are measured. Headroom vanishes a few times later.
	demandSpan = 2 * time.Second
	// minDemand is the rate in requests per second below which a class gets no headroom.
	minDemand = 0.05
	// slackWindow is the number of requests that the mean times to target and deadline span.
	slackWindow = 50
	// lateLoss is the share of an answer's worth that is lost if it comes after its target but well before its deadline.
	lateLoss = 0.5
	// worthBase is the factor from the worth of a request to that of one whose priority is greater by one.
	worthBase = 2.0
	// starvationPause is how long a class with waiting requests may go without a slot because of more urgent ones. One run of 550 ms in it
	// is 3% of the time of six slots.
	starvationPause = 3 * time.Second
)

// demand measures the arrivals of a queue and the time that they can wait.
type demand struct {
	perSecond float64
	at        time.Time
	// target and deadline are the mean times from the arrival.
	target   ibislatency.Mean
	deadline ibislatency.Mean
}

// add records an arrival; one without a target counts for nothing.
func (d *demand) add(e ArriveEvent, now time.Time) {
	if e.Target.IsZero() {
		return
	}
	d.perSecond = d.rate(now) + 1/demandSpan.Seconds()
	d.at = now
	d.target.Add(float64(e.Target.Sub(now)), slackWindow)
	if !e.Deadline.IsZero() {
		d.deadline.Add(float64(e.Deadline.Sub(now)), slackWindow)
	}
}

// rate returns the number of arrivals per second over about demandSpan.
func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-float64(now.Sub(d.at))/float64(demandSpan))
}

// lossWhenLate returns the share of the worth of an answer that is lost if it misses its target: lateLoss if there is as much time again
// until the deadline, all if there is none.
func (d *demand) lossWhenLate() float64 {
	target, deadline := d.target.Value(), d.deadline.Value()
	if d.deadline.Count() == 0 || target <= 0 {
		return lateLoss
	}
	return 1 - (1-lateLoss)*min(1, max(0, deadline/target-1))
}

// urgentDemand is the demand of all classes that are more urgent than a queue's and can't wait until one of its runs ends.
type urgentDemand struct {
	perSecond float64
	// lossPerSecond is the worth that would be lost in each second if all of it came late, in units of the worth of the queue's requests.
	lossPerSecond float64
	// slack is the time that it can wait, and slotTime the time that it holds a slot.
	slack, slotTime float64
}

func (g *Gate) urgentDemand(q *classQueue, now time.Time) urgentDemand {
	var u urgentDemand
	for _, other := range g.queues {
		if other.priority() <= q.priority() {
			break
		}
		rate := other.demand.rate(now)
		slotTime := float64(g.MeanSlotTime(other.name))
		slack := other.demand.target.Value() - slotTime
		if rate < minDemand || slack >= float64(g.MeanSlotTime(q.name)) {
			continue
		}
		u.perSecond += rate
		u.slack += rate * max(0, slack)
		u.slotTime += rate * slotTime
		u.lossPerSecond += rate * other.demand.lossWhenLate() * math.Pow(worthBase, float64(other.priority()-q.priority()))
	}
	if u.perSecond > 0 {
		u.slack /= u.perSecond
		u.slotTime /= u.perSecond
	}
	return u
}

// lateShare estimates the share of the urgent requests that find no slot within their slack while so many runs of slotTime hold slots for
// less urgent work. A request waits with the probability that the slots kept free are busy (Erlang C). It is late if more requests wait
// before it than begin within the slack, or if none begins. A slot of less urgent work that ends within the slack serves urgent requests
// from then on, so for half of the slack on average.
func (u urgentDemand) lateShare(limit, runs int, slotTime float64) float64 {
	kept, held := float64(limit-runs), float64(runs)
	turns := u.slack / u.slotTime
	ends := min(1, u.slack/slotTime)
	begins := kept*turns + held*ends*(1+turns/2)
	noneBegins := math.Pow(1-min(1, turns), kept) * math.Pow(1-ends, held)
	arrivals := u.perSecond * u.slack / float64(time.Second)
	queued := 1.0
	if begins > arrivals {
		queued = math.Pow(arrivals/begins, begins)
	}
	return waitShare(limit-runs, u.perSecond*u.slotTime/float64(time.Second)) * max(queued, noneBegins)
}

// waitShare returns the share of requests that wait for one of the slots when they hold busy of them on average (Erlang C).
func waitShare(slots int, busy float64) float64 {
	if busy >= float64(slots) {
		return 1
	}
	blocked := 1.0
	for n := 1; n <= slots; n++ {
		blocked = busy * blocked / (float64(n) + busy*blocked)
	}
	return blocked / (1 - busy/float64(slots)*(1-blocked))
}

// runBound returns how many runs of the queue and of queues that are no more urgent may hold slots: the number with the greatest worth of
// the work done in these slots, less the worth that urgent requests lose by coming late, both for each second. It is the limit where there
// is no urgent demand that a run of the queue would keep waiting for too long, and never less than 1.
func (g *Gate) runBound(q *classQueue, limit int, now time.Time) int {
	if g.withoutHeadroom || g.queues[0].priority() <= q.priority() {
		return limit
	}
	if q.boundLimit == limit && now.Sub(q.boundAt) < TickPeriod {
		return q.bound
	}
	q.bound, q.boundLimit, q.boundAt = limit, limit, now
	u := g.urgentDemand(q, now)
	if u.perSecond == 0 {
		return limit
	}
	slotTime := float64(g.MeanSlotTime(q.name))
	worthPerSecond := float64(time.Second) / slotTime
	best := math.Inf(-1)
	for runs := 1; runs <= limit; runs++ {
		worth := float64(runs)*worthPerSecond - u.lossPerSecond*u.lateShare(limit, runs, slotTime)
		if worth >= best {
			best, q.bound = worth, runs
		}
	}
	return q.bound
}

// keepsHeadroom reports whether a further run of the queue would take a slot that is kept free for more urgent classes.
func (g *Gate) keepsHeadroom(q *classQueue, limit int, now time.Time) bool {
	bound := g.runBound(q, limit, now)
	if bound >= limit {
		return false
	}
	runs := 0
	for _, other := range g.queues {
		if other.priority() <= q.priority() {
			runs += other.running
		}
	}
	return runs >= bound
}

// KeptFree returns the number of slots that are kept free for more urgent classes from the one of the others that may use the fewest.
func (g *Gate) KeptFree(now time.Time) int {
	limit, kept := g.limit.bound(now), 0
	for _, q := range g.queues {
		if q.demand.rate(now) >= minDemand {
			kept = max(kept, limit-g.runBound(q, limit, now))
		}
	}
	return kept
}

// starves reports whether the queue's class got no slot for starvationPause while requests waited and more urgent classes had requests.
func (g *Gate) starves(q *classQueue, now time.Time) bool {
	if g.withoutHeadroom || q.length == 0 || g.queues[0].priority() <= q.priority() || now.Sub(q.waitingSince) < starvationPause {
		return false
	}
	return now.Sub(g.timing(q.name).lastAdmitted) >= starvationPause
}
