package ibisadmit_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// replay is a load on one gate and its server, on fake time. The server runs all that the gate admits.
type replay struct {
	*ibisadmit.Gate
	now     time.Time
	random  *rand.Rand
	nextID  ibisadmit.RequestID
	agenda  []replayEntry
	waiting map[ibisadmit.RequestID]*replayRequest
	counts  map[ibisid.ClassName]*replayCount
	// callsFail reports whether the calls of a run that makes calls fail.
	callsFail func() bool
	// observe is called with each effect of the gate.
	observe func(ibisadmit.Effect)
}

type replayEntry struct {
	at time.Time
	do func()
}

// replayClass is a class of requests that arrive at random.
type replayClass struct {
	name             ibisid.ClassName
	perSecond        float64
	work             time.Duration
	target, deadline time.Duration
	callShare        float64
	failShare        float64
}

type replayRequest struct {
	class   replayClass
	arrived time.Time
}

// replayCount counts the requests of a class; begunInTime had a slot soon enough to meet their target.
type replayCount struct {
	arrived, refused, begun, begunInTime, failed int
	firstRefusal, lastRefusal                    time.Time
	reasons                                      map[ibisadmit.Reason]int
}

func newReplay(seed uint64, slots int, priorities map[ibisid.ClassName]int) *replay {
	policy := ibisadmit.Policy{Classes: make(map[ibisid.ClassName]ibisadmit.ClassPolicy)}
	for class, priority := range priorities {
		policy.Classes[class] = ibisadmit.ClassPolicy{Priority: priority, QueueLength: 48}
	}
	r := &replay{
		Gate: ibisadmit.New(ibisadmit.Config{
			Slots: slots, Connections: slots, Algorithm: ibisadmit.AlgorithmFixed, Policy: policy,
		}, start),
		now:       start,
		random:    rand.New(rand.NewPCG(seed, 1)),
		waiting:   make(map[ibisadmit.RequestID]*replayRequest),
		counts:    make(map[ibisid.ClassName]*replayCount),
		callsFail: func() bool { return false },
		observe:   func(ibisadmit.Effect) {},
	}
	r.every(ibisadmit.TickPeriod, func() { r.update(ibisadmit.TickEvent{}) })
	return r
}

func (r *replay) after(d time.Duration, do func()) {
	e := replayEntry{at: r.now.Add(d), do: do}
	i, _ := slices.BinarySearchFunc(r.agenda, e, func(a, b replayEntry) int { return a.at.Compare(b.at) })
	r.agenda = slices.Insert(r.agenda, i, e)
}

func (r *replay) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *replay) arrivals(c replayClass) {
	r.after(time.Duration(r.random.ExpFloat64()/c.perSecond*float64(time.Second)), func() {
		r.arrive(c)
		r.arrivals(c)
	})
}

func (r *replay) count(class ibisid.ClassName) *replayCount {
	if r.counts[class] == nil {
		r.counts[class] = &replayCount{reasons: make(map[ibisadmit.Reason]int)}
	}
	return r.counts[class]
}

func (r *replay) arrive(c replayClass) {
	r.nextID++
	r.waiting[r.nextID] = &replayRequest{class: c, arrived: r.now}
	r.count(c.name).arrived++
	r.update(ibisadmit.ArriveEvent{ID: r.nextID, Class: c.name, Target: r.now.Add(c.target), Deadline: r.now.Add(c.deadline)})
}

func (r *replay) update(event ibisadmit.Event) {
	for _, effect := range r.Update(event, r.now) {
		r.observe(effect)
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			r.begin(e.ID)
		case ibisadmit.RefuseEffect:
			count := r.count(r.waiting[e.ID].class.name)
			count.refused++
			count.reasons[e.Reason]++
			if count.firstRefusal.IsZero() {
				count.firstRefusal = r.now
			}
			count.lastRefusal = r.now
			Expect(e.RetryAfter).To(BeNumerically(">", 0))
			delete(r.waiting, e.ID)
		}
	}
}

func (r *replay) begin(id ibisadmit.RequestID) {
	if r.waiting[id] == nil {
		return
	}
	c, began := r.waiting[id].class, r.now
	count := r.count(c.name)
	count.begun++
	if !r.now.Add(c.work).After(r.waiting[id].arrived.Add(c.target)) {
		count.begunInTime++
	}
	delete(r.waiting, id)
	work := time.Duration(float64(c.work) * (0.6 + 0.4*r.random.ExpFloat64()))
	end := func(failed bool) {
		if failed {
			count.failed++
		}
		r.update(ibisadmit.FinishEvent{ID: id, Latency: r.now.Sub(began), Failed: failed})
	}
	r.after(work/2, func() {
		if r.random.Float64() < c.callShare {
			if r.callsFail() {
				r.update(ibisadmit.CallsFailedEvent{Class: c.name, BeganAt: began})
				end(true)
				return
			}
			r.update(ibisadmit.CallAnsweredEvent{Class: c.name})
		}
		r.after(work/2, func() { end(r.random.Float64() < c.failShare) })
	})
}

func (r *replay) runFor(d time.Duration) {
	until := r.now.Add(d)
	for !r.agenda[0].at.After(until) {
		next := r.agenda[0]
		r.agenda = r.agenda[1:]
		r.now = next.at
		next.do()
	}
	r.now = until
}

// phase runs the load for a time and returns what it counted in it.
func (r *replay) phase(d time.Duration, class ibisid.ClassName) replayCount {
	clear(r.counts)
	r.runFor(d)
	return *r.count(class)
}

var _ = Describe("A gate whose runs make calls", func() {
	lookup := replayClass{
		name: "lookup", perSecond: 74, work: 130 * time.Millisecond, target: 800 * time.Millisecond, deadline: 4 * time.Second, callShare: 0.7,
	}
	other := replayClass{name: "other", perSecond: 10, work: 100 * time.Millisecond, target: 800 * time.Millisecond, deadline: 4 * time.Second}

	It("refuses what would fail for its calls within a second, and serves again within a second after the callee does", func() {
		refused, arrived := 0, 0
		for seed := range uint64(20) {
			r := newReplay(seed, 12, nil)
			r.arrivals(lookup)
			r.arrivals(other)
			r.runFor(5 * time.Second)
			r.callsFail = func() bool { return true }
			r.runFor(time.Second)
			full := r.phase(4*time.Second, "lookup")
			Expect(full.failed).To(BeNumerically("<=", full.arrived/10))
			Expect(r.count("other").refused).To(BeZero(), "a class without calls")
			r.callsFail = func() bool { return false }
			r.runFor(time.Second)
			back := r.phase(4*time.Second, "lookup")
			refused += back.reasons[ibisadmit.ReasonCalls]
			arrived += back.arrived
		}
		Expect(refused).To(BeNumerically("<=", arrived/200))
	})

	It("admits about as many runs as have their calls answered while the callee has room for a part of them", func() {
		begun, failed := 0, 0
		for seed := range uint64(20) {
			r := newReplay(seed, 12, nil)
			r.arrivals(lookup)
			tokens := 0.0
			r.every(10*time.Millisecond, func() { tokens = min(tokens+0.25, 3) })
			r.callsFail = func() bool {
				if tokens < 1 {
					return true
				}
				tokens--
				return false
			}
			r.runFor(2 * time.Second)
			part := r.phase(20*time.Second, "lookup")
			begun += part.begun
			failed += part.failed
		}
		GinkgoWriter.Println("begun", begun, "failed", failed)
		Expect(failed).To(BeNumerically("<=", begun/10))
		Expect(float64(begun-failed)).To(BeNumerically(">=", 0.8*25/0.7*20*20), "25 runs with calls a second, and those without")
	})

	It("takes no bound from a server that fails requests whose calls are answered", func() {
		r := newReplay(1, 12, nil)
		failing := lookup
		failing.failShare = 0.6
		r.arrivals(failing)
		Expect(r.phase(10*time.Second, "lookup").refused).To(BeZero())
	})
})

var _ = Describe("A gate with long jobs and urgent short calls", func() {
	job := replayClass{name: "job", perSecond: 0.8 * 6 / 0.55, work: 550 * time.Millisecond, target: 3 * time.Second, deadline: 4 * time.Second}
	call := replayClass{name: "call", perSecond: 0.3 * 6 / 0.055, work: 55 * time.Millisecond, target: 200 * time.Millisecond, deadline: 600 * time.Millisecond}
	priorities := map[ibisid.ClassName]int{"job": -2, "call": 0}

	DescribeTable("gives calls a slot within their target and long jobs what is left, at any rate of the calls",
		func(scale, callsInTime, jobs float64) {
			c := call
			c.perSecond *= scale
			var calls, done replayCount
			for seed := range uint64(10) {
				r := newReplay(seed, 6, priorities)
				r.arrivals(job)
				r.arrivals(c)
				r.runFor(5 * time.Second)
				a := r.phase(30*time.Second, "call")
				calls.arrived += a.arrived
				calls.begunInTime += a.begunInTime
				done.arrived += r.count("job").arrived
				done.begun += r.count("job").begun
				calls.begun += a.begun
			}
			GinkgoWriter.Println(scale, float64(calls.begunInTime)/float64(calls.arrived), float64(done.begun)/float64(done.arrived))
			served := func(c replayCount) float64 { return float64(c.begun) / float64(c.arrived) }
			Expect(served(calls)).To(BeNumerically(">=", served(done)-0.05), "order of service")
			Expect(calls.begunInTime).To(BeNumerically(">=", int(callsInTime*float64(calls.arrived))))
			Expect(done.begun).To(BeNumerically(">=", int(jobs*float64(done.arrived))))
		},
		Entry("few calls, whose loss is less than that of an idle slot", 0.05, 0.9, 0.97),
		Entry("calls of 0.15 of capacity", 0.5, 0.98, 0.9),
		Entry("calls of 0.3 of capacity", 1.0, 0.99, 0.7),
		Entry("calls of 0.6 of capacity", 2.0, 0.99, 0.2),
	)

	It("keeps no slot free any more soon after the last call", func() {
		r := newReplay(1, 6, priorities)
		r.arrivals(job)
		c := call
		r.arrivals(c)
		r.runFor(5 * time.Second)
		Expect(r.KeptFree(r.now)).To(BeNumerically(">=", 2))
		r.agenda = slices.DeleteFunc(r.agenda, func(replayEntry) bool { return true })
		r.now = r.now.Add(20 * time.Second)
		Expect(r.KeptFree(r.now)).To(BeZero())
	})

	// Guards against work that no slot is left for as long as more urgent work keeps coming.
	It("gives a job a slot every few seconds while urgent requests of twice the capacity keep coming", func() {
		r := newReplay(1, 6, priorities)
		r.arrivals(job)
		c := call
		c.perSecond = 2 * 6 / 0.055
		r.arrivals(c)
		r.runFor(5 * time.Second)
		Expect(r.phase(30*time.Second, "job").begun).To(BeNumerically(">=", 8))
	})

	DescribeTable("decides as without headroom where no more urgent class arrives",
		func(priorities map[ibisid.ClassName]int, classes ...replayClass) {
			for seed := range uint64(5) {
				effects := [2][]ibisadmit.Effect{}
				for i := range effects {
					r := newReplay(seed, 6, priorities)
					r.observe = func(e ibisadmit.Effect) { effects[i] = append(effects[i], e) }
					if i == 1 {
						r.DisableHeadroom()
					}
					for _, c := range classes {
						r.arrivals(c)
					}
					r.runFor(20 * time.Second)
				}
				Expect(len(effects[0])).To(BeNumerically(">", 100))
				Expect(effects[0]).To(Equal(effects[1]))
			}
		},
		Entry("classes of equal priority", map[ibisid.ClassName]int{"job": -1, "call": -1}, job, call),
		Entry("classes without priorities", nil, job, call),
		Entry("the less urgent class alone", priorities, job),
		Entry("a less urgent class for whose end urgent requests can wait", map[ibisid.ClassName]int{"job": 0, "call": -2}, job, call),
	)
})
