package ibiscalls

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// abandonedRun is how long a backend server is taken to work on a run that the node has given up.
	abandonedRun = time.Second
	// historySpan is how long an ended run is kept: until the latest comparison with the time at which it was in progress.
	historySpan = 2*comparisonShift + maxComparedCall
	// maxRuns bounds the memory of a node with very short runs, and maxSamples the time for comparisons: 128 in a second, of some 10 µs each.
	maxRuns    = 2048
	maxSamples = 64
	// maxFailedCalls bounds the failed calls that are kept.
	maxFailedCalls = 256
	// maxFailedCallAge is how long a failed call can be the cause of a run's failure.
	maxFailedCallAge = time.Second
	// cancelDelay is how much later than the answer of a run a node may see that the server has given up the run's call.
	cancelDelay = 50 * time.Millisecond
)

// run is a request at the own backend server. Its end is zero while it is in progress.
type run struct {
	class    ibisid.ClassName
	rank     int
	target   time.Time
	deadline time.Time
	begin    time.Time
	end      time.Time
	failed   bool
}

// covers reports whether the run was in progress from begin to end.
func (r *run) covers(begin, end time.Time) bool {
	return !r.begin.After(begin) && (r.end.IsZero() || !r.end.Before(end))
}

type call struct {
	class ibisid.ClassName
	begin time.Time
	end   time.Time
}

// Tracker learns the calls of one backend server. It is not safe for concurrent use.
type Tracker struct {
	startedAt time.Time
	// runs lists the runs in progress and those that ended within historySpan, in the order of their beginning.
	runs       []*run
	running    map[RunID]*run
	runClasses []ibisid.ClassName
	calls      map[CallID]call
	samples    []sample
	classes    map[ibisid.ClassName]*callClass
	// failedCalls lists failed calls that no failure of a run has been put down to, and failedRuns failed runs that have not been
	// put down to a call.
	failedCalls []call
	failedRuns  []*run
}

// New returns a tracker that knows of no runs; it learns nothing from the time before now.
func New(now time.Time) *Tracker {
	return &Tracker{
		startedAt: now,
		running:   make(map[RunID]*run),
		calls:     make(map[CallID]call),
		classes:   make(map[ibisid.ClassName]*callClass),
	}
}

// Update applies one event and returns what was learnt from it.
func (t *Tracker) Update(event Event, now time.Time) []Effect {
	effects := t.compareDue(now)
	switch e := event.(type) {
	case RunBeginEvent:
		t.beginRun(e, now)
	case RunEndEvent:
		effects = append(effects, t.endRun(e, now)...)
	case CallBeginEvent:
		t.calls[e.ID] = call{
			class: e.Class,
			begin: now,
		}
	case CallEndEvent:
		effects = append(effects, t.endCall(e, now)...)
	}
	return effects
}

// compareDue compares the requests whose later comparison time has passed.
func (t *Tracker) compareDue(now time.Time) []Effect {
	var effects []Effect
	due := 0
	for due < len(t.samples) && now.Sub(t.samples[due].end) >= comparisonShift {
		effects = append(effects, t.compare(t.samples[due])...)
		due++
	}
	t.samples = slices.Delete(t.samples, 0, due)
	return effects
}

func (t *Tracker) beginRun(e RunBeginEvent, now time.Time) {
	r := &run{
		class:    e.Class,
		rank:     e.Rank,
		target:   e.Target,
		deadline: e.Deadline,
		begin:    now,
	}
	if !slices.Contains(t.runClasses, e.Class) && len(t.runClasses) < maxRunClasses {
		t.runClasses = append(t.runClasses, e.Class)
	}
	if len(t.runs) > 2*len(t.running)+64 {
		t.runs = slices.DeleteFunc(t.runs, func(r *run) bool { return !r.end.IsZero() && now.Sub(r.end) > historySpan })
	}
	if len(t.runs) >= maxRuns {
		t.runs = slices.Delete(t.runs, 0, len(t.runs)/2)
		t.startedAt = now
	}
	t.runs = append(t.runs, r)
	t.running[e.ID] = r
}

func (t *Tracker) endRun(e RunEndEvent, now time.Time) []Effect {
	r, ok := t.running[e.ID]
	if !ok {
		return nil
	}
	delete(t.running, e.ID)
	r.end = now
	if e.Abandoned {
		r.end = now.Add(abandonedRun)
	}
	if !e.Failed {
		return nil
	}
	r.failed = true
	t.failedCalls = slices.DeleteFunc(t.failedCalls, func(c call) bool { return now.Sub(c.end) > maxFailedCallAge })
	for i, c := range slices.Backward(t.failedCalls) {
		if t.mayServe(c, r) {
			t.failedCalls = slices.Delete(t.failedCalls, i, i+1)
			return []Effect{r.failedEffect()}
		}
	}
	t.failedRuns = slices.DeleteFunc(t.failedRuns, func(r *run) bool { return now.Sub(r.end) > cancelDelay })
	t.failedRuns = append(t.failedRuns, r)
	return nil
}

func (r *run) failedEffect() RunFailedEffect {
	return RunFailedEffect{
		Class:   r.class,
		BeganAt: r.begin,
	}
}

// mayServe reports whether a call may have served a run: runs of its class make such calls, and it began during the run.
func (t *Tracker) mayServe(c call, r *run) bool {
	return t.isCaller(c.class, r.class) && !c.begin.Before(r.begin) && (r.end.IsZero() || !c.begin.After(r.end))
}

// isCaller reports whether runs of the class caller are known to call the class.
func (t *Tracker) isCaller(class, caller ibisid.ClassName) bool {
	c := t.classes[class]
	return c != nil && c.relations[caller] != nil && c.relations[caller].known
}

func (t *Tracker) endCall(e CallEndEvent, now time.Time) []Effect {
	c, ok := t.calls[e.ID]
	if !ok {
		return nil
	}
	delete(t.calls, e.ID)
	c.end = now
	if !e.Cancelled {
		// The end of a cancelled request is seen late, perhaps after that of its run.
		t.addSample(c, e.Failed, now)
	}
	if e.Failed || e.Cancelled {
		return t.recordFailedCall(c, now)
	}
	var effects []Effect
	for _, caller := range t.runClasses {
		if t.isCaller(c.class, caller) {
			effects = append(effects, CallAnsweredEffect{
				Caller: caller,
			})
		}
	}
	return effects
}

// addSample keeps a request for a later comparison.
func (t *Tracker) addSample(c call, failed bool, now time.Time) {
	known := t.classes[c.class]
	if known == nil {
		if len(t.classes) >= maxCallClasses {
			return
		}
		known = &callClass{
			relations: make(map[ibisid.ClassName]*relation),
		}
		t.classes[c.class] = known
	}
	sameBurst := c.begin.Sub(known.lastBegin) < burstGap
	if sameBurst || now.Sub(c.begin) > maxComparedCall || len(t.samples) >= maxSamples || c.begin.Sub(t.startedAt) < comparisonShift {
		return
	}
	known.lastBegin = c.begin
	t.samples = append(t.samples, sample{
		class:  c.class,
		begin:  c.begin,
		end:    c.end,
		failed: failed,
	})
}

// recordFailedCall puts a run that has just failed down to the call, or keeps the call for a run that fails later.
func (t *Tracker) recordFailedCall(c call, now time.Time) []Effect {
	for i, r := range slices.Backward(t.failedRuns) {
		if now.Sub(r.end) <= cancelDelay && t.mayServe(c, r) {
			t.failedRuns = slices.Delete(t.failedRuns, i, i+1)
			return []Effect{r.failedEffect()}
		}
	}
	if len(t.failedCalls) >= maxFailedCalls {
		t.failedCalls = slices.Delete(t.failedCalls, 0, 1)
	}
	t.failedCalls = append(t.failedCalls, c)
	return nil
}

// Inheritance is what a call takes over from the runs that it may serve.
type Inheritance struct {
	// Rank is the rank of the most urgent of them.
	Rank int
	// Target and Deadline are the latest of theirs, since it is not known which of them the call serves.
	Target, Deadline time.Time
}

// Inherit returns what a call of the class takes over now; it reports false if none of the runs in progress is known to make such
// calls.
func (t *Tracker) Inherit(class ibisid.ClassName) (Inheritance, bool) {
	var out Inheritance
	found := false
	for _, r := range t.running {
		if !t.isCaller(class, r.class) {
			continue
		}
		if !found || r.rank < out.Rank {
			out.Rank = r.rank
		}
		if r.target.After(out.Target) {
			out.Target = r.target
		}
		if r.deadline.After(out.Deadline) {
			out.Deadline = r.deadline
		}
		found = true
	}
	return out, found
}
