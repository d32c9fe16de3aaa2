package ibiscalls_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

func TestCalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibiscalls")
}

// agenda runs functions in the order of their times.
type agenda []entry

type entry struct {
	at time.Time
	do func()
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// load is a server with runs that arrive at random, some of which make two calls side by side, beside callers' requests for the
// other service.
type load struct {
	agenda
	*ibiscalls.Tracker
	now     time.Time
	random  *rand.Rand
	nextID  uint64
	running int
	queued  []func()
	learnt  map[ibiscalls.CallsLearntEffect]time.Duration
	effects []ibiscalls.Effect
	// callFails reports whether a call fails, and ownFailure is the share of runs that fail for other causes.
	callFails  func() bool
	ownFailure float64
}

var start = time.Unix(1_000_000, 0)

func newLoad(seed uint64) *load {
	return &load{
		Tracker:   ibiscalls.New(start),
		now:       start,
		random:    rand.New(rand.NewPCG(seed, 0)),
		learnt:    make(map[ibiscalls.CallsLearntEffect]time.Duration),
		callFails: func() bool { return false },
	}
}

func (l *load) after(d time.Duration, do func()) {
	heap.Push(&l.agenda, entry{at: l.now.Add(d), do: do})
}

func (l *load) update(e ibiscalls.Event) {
	for _, effect := range l.Update(e, l.now) {
		l.effects = append(l.effects, effect)
		if learnt, ok := effect.(ibiscalls.CallsLearntEffect); ok {
			l.learnt[learnt] = l.now.Sub(start)
		}
	}
}

// span draws a time around the mean.
func (l *load) span(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.6 + 0.4*l.random.ExpFloat64()))
}

// poisson calls do at random times.
func (l *load) poisson(perSecond float64, do func()) {
	l.after(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		do()
		l.poisson(perSecond, do)
	})
}

func (l *load) request(class ibisid.ClassName, end func(failed bool)) {
	l.nextID++
	id := ibiscalls.CallID(l.nextID)
	l.update(ibiscalls.CallBeginEvent{ID: id, Class: class})
	l.after(l.span(60*time.Millisecond), func() {
		failed := l.callFails()
		l.update(ibiscalls.CallEndEvent{ID: id, Failed: failed})
		end(failed)
	})
}

// run begins a run of the class in one of 12 slots, or when one is free; callShare of the runs make two calls.
func (l *load) run(class ibisid.ClassName, callShare float64) {
	if l.running == 12 {
		if len(l.queued) < 20 {
			l.queued = append(l.queued, func() { l.run(class, callShare) })
		}
		return
	}
	l.running++
	l.nextID++
	id := ibiscalls.RunID(l.nextID)
	l.update(ibiscalls.RunBeginEvent{ID: id, Class: class, Rank: 2, Deadline: l.now.Add(5 * time.Second)})
	work := l.span(130 * time.Millisecond)
	finish := func(failed bool) {
		l.update(ibiscalls.RunEndEvent{ID: id, Failed: failed || l.random.Float64() < l.ownFailure})
		l.running--
		if len(l.queued) > 0 {
			next := l.queued[0]
			l.queued = l.queued[1:]
			next()
		}
	}
	l.after(work/2, func() {
		if l.random.Float64() >= callShare {
			l.after(work/2, func() { finish(false) })
			return
		}
		open, anyFailed := 2, false
		for range 2 {
			l.request("register", func(failed bool) {
				anyFailed = anyFailed || failed
				if open--; open > 0 {
					return
				}
				if anyFailed {
					finish(true)
					return
				}
				l.after(work/2, func() { finish(false) })
			})
		}
	})
}

func (l *load) runFor(d time.Duration) {
	until := l.now.Add(d)
	for len(l.agenda) > 0 && !l.agenda[0].at.After(until) {
		next := heap.Pop(&l.agenda).(entry)
		l.now = next.at
		next.do()
	}
	l.now = until
}

func (l *load) failures() int {
	n := 0
	for _, e := range l.effects {
		if _, ok := e.(ibiscalls.RunFailedEffect); ok {
			n++
		}
	}
	return n
}

var _ = Describe("A Tracker", func() {
	relation := ibiscalls.CallsLearntEffect{Class: "register", Caller: "lookup"}

	DescribeTable("learns which runs call a class, and takes no callers' requests for calls, at any load of the server",
		func(perSecond float64, within time.Duration) {
			for seed := range uint64(3) {
				l := newLoad(seed)
				l.poisson(perSecond/2, func() { l.run("lookup", 0.7) })
				l.poisson(perSecond/2, func() { l.run("payment", 0) })
				l.poisson(perSecond, func() { l.request("renewal", func(bool) {}) })
				l.runFor(within)
				Expect(l.learnt).To(HaveLen(1))
				Expect(l.learnt).To(HaveKeyWithValue(relation, BeNumerically("<", within)), "seed %d", seed)
			}
		},
		Entry("nearly idle", 4.0, 60*time.Second),
		Entry("half full", 35.0, 20*time.Second),
		Entry("always full", 90.0, 40*time.Second),
	)

	It("gives a call the rank and the time left of the runs that may make it, and nothing while no such run is in progress", func() {
		l := newLoad(1)
		l.poisson(30, func() { l.run("lookup", 0.7) })
		l.runFor(time.Minute)
		inherited, ok := l.Inherit("register")
		Expect(ok).To(BeTrue())
		Expect(inherited.Rank).To(Equal(2))
		Expect(inherited.Deadline).To(BeTemporally("~", l.now.Add(5*time.Second), time.Second))
		l.agenda = nil
		l.Tracker = ibiscalls.New(l.now)
		_, ok = l.Inherit("register")
		Expect(ok).To(BeFalse())
	})

	It("puts failures of runs down to failed calls, and those of a server whose calls are answered to nothing", func() {
		l := newLoad(2)
		l.poisson(35, func() { l.run("lookup", 0.7) })
		l.runFor(time.Minute)
		l.ownFailure = 0.5
		l.runFor(10 * time.Second)
		Expect(l.failures()).To(BeZero())
		l.ownFailure = 0
		l.callFails = func() bool { return true }
		l.runFor(10 * time.Second)
		Expect(l.failures()).To(BeNumerically("~", 35*10*0.7, 40))
	})
})
