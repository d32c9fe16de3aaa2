package ibismodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	greatestLatency   = 60 * time.Second
	significantDigits = 3
)

// lostBy is how a caller ended without an answer of a backend server.
type lostBy int

const (
	// endRefused was told that it has not run, and asked no more.
	endRefused lostBy = iota
	// endFailed had a failure.
	endFailed
	// endHeld waited until it left.
	endHeld
)

// ClassResult is how the requests of one class ended.
type ClassResult struct {
	// Class is the class.
	Class ibisid.ClassName
	// Asked is the number of callers' requests, retries not counted.
	Asked int
	// InTarget and Late are answered ones.
	InTarget int
	// Late is the number answered after the target.
	Late int
	// Refused is the number that ended with a refusal.
	Refused int
	// Failed is the number that ended with a failure.
	Failed int
	// Held is the number whose callers left without an answer.
	Held int
	// Owed and Earned are worth.
	Owed float64
	// Earned is the worth of the answers.
	Earned float64
	// P50 and P99 are times to an answer, from the caller's first attempt.
	P50 time.Duration
	// P99 is the time that 99 in 100 answers kept.
	P99 time.Duration
	// RefusalP99 is the time that 99 in 100 refusals took.
	RefusalP99 time.Duration
	// Refusals is the number of refusals, of requests that came back and were served as well.
	Refusals int
	// LateRefusals is the number of refusals that came later than an eighth of the target.
	LateRefusals int
}

// Share returns earned worth as a share of that owed.
func (c ClassResult) Share() float64 { return share(c.Earned, c.Owed) }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Second is one second of a run.
type Second struct {
	// Owed and Earned are the worth of the requests that began in the second.
	Owed float64
	// Earned is what of it was earned in the end.
	Earned float64
}

// Result is what a run measured.
type Result struct {
	// Classes lists the classes that callers ask for, in the configuration's order.
	Classes []ClassResult
	// Seconds lists the seconds from the start of the run.
	Seconds []Second
	// Worth is earned worth as a share of that owed.
	Worth float64
	// Worst is the same over the worst five seconds in a row.
	Worst float64
	// Served is the share of requests that were answered.
	Served float64
	// Imbalance is the greatest load of a server over the mean of its service, the worst of all services.
	Imbalance float64
	// RegionBytes is the number of bytes of answers between regions.
	RegionBytes int64
	// Arrivals is the number of requests that backend servers began, calls and repeats included.
	Arrivals int
	// CallingRuns is the number of runs that made a call, and FailedByCalls that of those whose call failed.
	CallingRuns int
	// FailedByCalls is the number of runs whose call failed.
	FailedByCalls int
	// ColdOver is the number of requests above what a cold server may get in a second.
	ColdOver int
	// ColdFalls is the number of cold servers that crashed under their load.
	ColdFalls int
}

// tally counts how requests end.
type tally struct {
	world         *world
	from          time.Time
	classes       map[ibisid.ClassName]*classTally
	seconds       []Second
	regionBytes   int64
	callingRuns   int
	failedByCalls int
}

type classTally struct {
	ClassResult
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newTally(w *world) *tally {
	t := &tally{
		world:   w,
		from:    w.start.Add(w.config.Warmup.Duration),
		classes: make(map[ibisid.ClassName]*classTally),
		seconds: make([]Second, int(w.config.Duration.Seconds())+1),
	}
	for _, class := range w.config.Classes {
		t.classes[class.Name] = &classTally{
			ClassResult: ClassResult{
				Class: class.Name,
			},
			answers:  hdrhistogram.New(1, int64(greatestLatency/time.Microsecond), significantDigits),
			refusals: hdrhistogram.New(1, int64(greatestLatency/time.Microsecond), significantDigits),
		}
	}
	return t
}

// second returns the second of a run, and whether it counts.
func (t *tally) second(at time.Time) (*Second, bool) {
	i := int(at.Sub(t.world.start) / time.Second)
	return &t.seconds[min(i, len(t.seconds)-1)], !at.Before(t.from)
}

func (t *tally) owe(class *Class, at time.Time) {
	second, counts := t.second(at)
	second.Owed += class.Worth
	if counts {
		c := t.classes[class.Name]
		c.Asked++
		c.Owed += class.Worth
	}
}

func (t *tally) served(c *caller, now time.Time) {
	took := now.Sub(c.first)
	earned := c.class.Worth
	if took > c.class.Target.Duration {
		earned = c.class.Late
	}
	second, counts := t.second(c.first)
	second.Earned += earned
	if !counts {
		return
	}
	k := t.classes[c.class.Name]
	k.Earned += earned
	if took > c.class.Target.Duration {
		k.Late++
	} else {
		k.InTarget++
	}
	_ = k.answers.RecordValue(max(1, took.Microseconds()))
}

func (t *tally) lost(c *caller, by lostBy) {
	if _, counts := t.second(c.first); !counts {
		return
	}
	k := t.classes[c.class.Name]
	switch by {
	case endRefused:
		k.Refused++
	case endFailed:
		k.Failed++
	case endHeld:
		k.Held++
	}
}

func (t *tally) refusedAfter(class *Class, took time.Duration) {
	k := t.classes[class.Name]
	k.Refusals++
	if took > class.Target.Duration/promptShare {
		k.LateRefusals++
	}
	_ = k.refusals.RecordValue(max(1, took.Microseconds()))
}

// promptShare of a target is how soon a refusal is to come.
const promptShare = 8

// worstSeconds is the number of seconds in a row over which the worst is taken.
const worstSeconds = 5

func (w *world) result() Result {
	t := w.tally
	r := Result{
		Seconds:       t.seconds,
		RegionBytes:   t.regionBytes,
		CallingRuns:   t.callingRuns,
		FailedByCalls: t.failedByCalls,
	}
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	var owed, earned float64
	asked, answered := 0, 0
	for _, class := range w.config.Classes {
		if class.PerSecond == 0 {
			continue
		}
		c := t.classes[class.Name]
		c.P50, c.P99 = quantile(c.answers, 50), quantile(c.answers, 99)
		c.RefusalP99 = quantile(c.refusals, 99)
		r.Classes = append(r.Classes, c.ClassResult)
		owed, earned = owed+c.Owed, earned+c.Earned
		asked, answered = asked+c.Asked, answered+c.InTarget+c.Late
	}
	r.Worth = share(earned, owed)
	r.Served = share(float64(answered), float64(asked))
	r.Worst = worst(t.seconds[int(w.config.Warmup.Seconds()):])
	for _, s := range w.order {
		most, total := 0, 0
		for _, n := range s.nodes {
			most, total = max(most, n.server.served), total+n.server.served
			r.ColdOver += n.server.coldOver
			r.ColdFalls += n.server.coldFalls
		}
		r.Arrivals += total
		r.Imbalance = max(r.Imbalance, share(float64(most*len(s.nodes)), float64(total)))
	}
	return r
}

func worst(seconds []Second) float64 {
	least := 1.0
	for i := 0; i+worstSeconds <= len(seconds); i++ {
		var sum Second
		for _, s := range seconds[i : i+worstSeconds] {
			sum.Owed += s.Owed
			sum.Earned += s.Earned
		}
		if sum.Owed > 0 {
			least = min(least, sum.Earned/sum.Owed)
		}
	}
	return least
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
}
