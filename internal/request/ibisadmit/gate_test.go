package ibisadmit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisadmit")
}

var start = time.Unix(1_000_000, 0)

// harness drives a gate with explicit events and times and records the effects.
type harness struct {
	*ibisadmit.Gate
	now      time.Time
	next     ibisadmit.RequestID
	admitted []ibisadmit.RequestID
	refused  map[ibisadmit.RequestID]ibisadmit.RefuseEffect
	drained  bool
}

func newHarness(config ibisadmit.Config) *harness {
	config.Slots = 10
	config.Connections = 130
	return &harness{
		Gate:    ibisadmit.New(config, start),
		now:     start,
		refused: make(map[ibisadmit.RequestID]ibisadmit.RefuseEffect),
	}
}

func (b *harness) update(e ibisadmit.Event) {
	for _, effect := range b.Update(e, b.now) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			b.admitted = append(b.admitted, e.ID)
		case ibisadmit.RefuseEffect:
			b.refused[e.ID] = e
		case ibisadmit.DrainedEffect:
			b.drained = true
		}
	}
}

func (b *harness) arrive(tenant ibisid.TenantName, class ibisid.ClassName, deadline time.Duration) ibisadmit.RequestID {
	b.next++
	e := ibisadmit.ArriveEvent{
		ID:     b.next,
		Tenant: tenant,
		Class:  class,
	}
	if deadline > 0 {
		e.Deadline = b.now.Add(deadline)
	}
	b.update(e)
	return b.next
}

// finish ends the oldest admitted request.
func (b *harness) finish(latency time.Duration, failed bool) ibisadmit.RequestID {
	id := b.admitted[0]
	b.admitted = b.admitted[1:]
	b.update(ibisadmit.FinishEvent{
		ID:      id,
		Latency: latency,
		Failed:  failed,
	})
	return id
}

func (b *harness) warmUp(n int) {
	for range n {
		b.arrive("kandy", "stock", 0)
		b.now = b.now.Add(10 * time.Millisecond)
		b.finish(10*time.Millisecond, false)
	}
}

var classes = ibisadmit.Policy{
	Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
		"stock": {
			Priority: 10,
		},
		"download": {
			Priority: 1,
			Share:    0.5,
		},
	},
	Tenants: map[ibisid.TenantName]ibisadmit.TenantPolicy{
		"limited": {
			Rate: 2,
		},
	},
}

var _ = Describe("Gate", func() {
	It("never exceeds slots and connections over random events", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 0))
			b := newHarness(ibisadmit.Config{
				StartCold: seed%2 == 0,
				Policy:    classes,
			})
			for range 2000 {
				b.now = b.now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
				switch random.IntN(5) {
				case 0, 1:
					b.arrive(ibisid.TenantName(fmt.Sprint(random.IntN(4))), []ibisid.ClassName{"stock", "download"}[random.IntN(2)], time.Second)
				case 2, 3:
					if len(b.admitted) > 0 {
						b.finish(time.Duration(1+random.IntN(40))*time.Millisecond, random.IntN(20) == 0)
					}
				case 4:
					b.update(ibisadmit.TickEvent{})
				}
				Expect(b.Running()).To(BeNumerically("<=", 10))
				Expect(b.Connections()).To(BeNumerically("<=", 130))
				Expect(b.Running() + b.Waiting() + len(b.refused)).To(BeNumerically("<=", int(b.next)))
			}
		}
	})

	It("keeps slots free for a stock check beside any number of downloads", func() {
		b := newHarness(ibisadmit.Config{
			Policy: classes,
		})
		for range 50 {
			b.arrive("kandy", "download", 0)
		}
		Expect(b.admitted).To(HaveLen(5))
		stock := b.arrive("kandy", "stock", 0)
		Expect(b.admitted).To(ContainElement(stock))
	})

	It("gives a tenant with few requests its fair share beside a tenant with many", func() {
		b := newHarness(ibisadmit.Config{})
		for range 100 {
			b.arrive("many", "stock", 0)
		}
		few := []ibisadmit.RequestID{b.arrive("few", "stock", 0), b.arrive("few", "stock", 0)}
		for range 4 {
			b.finish(10*time.Millisecond, false)
		}
		Expect(b.admitted).To(ContainElements(few))
		Expect(b.Waiting()).To(BeNumerically("<=", 32))
	})

	It("refuses a request that can't meet its deadline at once, with a retry delay", func() {
		b := newHarness(ibisadmit.Config{})
		b.warmUp(20)
		for range 40 {
			b.arrive("kandy", "stock", 0)
		}
		id := b.arrive("few", "stock", 5*time.Millisecond)
		Expect(b.refused[id].Reason).To(Equal(ibisadmit.ReasonDeadline))
		Expect(b.refused[id].RetryAfter).To(BeNumerically(">", 0))
	})

	It("admits downloads that stream past their deadline, because the deadline applies to the head of the answer", func() {
		b := newHarness(ibisadmit.Config{})
		for range 50 {
			id := b.arrive("shop", "download", time.Second)
			Expect(b.refused).NotTo(HaveKey(id))
			b.update(ibisadmit.HeadReceivedEvent{
				ID: id,
			})
			b.now = b.now.Add(3 * time.Second)
			b.finish(10*time.Millisecond, false)
		}
		Expect(b.refused).To(BeEmpty())
	})

	It("ramps from one request after a cold start and after the failure domain returns", func() {
		b := newHarness(ibisadmit.Config{
			StartCold: true,
			ColdStart: 9 * time.Second,
		})
		Expect(b.Limit(start)).To(Equal(1))
		Expect(b.Limit(start.Add(4 * time.Second))).To(Equal(5))
		Expect(b.Limit(start.Add(9 * time.Second))).To(Equal(10))
		b.now = start.Add(time.Minute)
		b.update(ibisadmit.DomainEvent{
			OutOfService: true,
		})
		id := b.arrive("kandy", "stock", 0)
		Expect(b.refused[id].Reason).To(Equal(ibisadmit.ReasonDomainOut))
		b.update(ibisadmit.DomainEvent{})
		Expect(b.Limit(b.now)).To(Equal(1))
	})

	It("drops to one concurrent request immediately when latency or errors rise sharply", func() {
		for _, failed := range []bool{false, true} {
			b := newHarness(ibisadmit.Config{})
			b.warmUp(100)
			for range 10 {
				b.arrive("kandy", "stock", 0)
			}
			for range 10 {
				b.finish(200*time.Millisecond, failed)
			}
			Expect(b.Limit(b.now)).To(Equal(1))
		}
	})

	It("detects a slow server by the age of its requests, except those whose answer has begun", func() {
		for _, head := range []bool{false, true} {
			b := newHarness(ibisadmit.Config{})
			b.warmUp(100)
			for range 4 {
				id := b.arrive("kandy", "stock", 0)
				if head {
					b.update(ibisadmit.HeadReceivedEvent{
						ID: id,
					})
				}
			}
			b.now = b.now.Add(50 * time.Millisecond)
			b.update(ibisadmit.TickEvent{})
			Expect(b.Limit(b.now) == 1).To(Equal(!head))
		}
	})

	DescribeTable("doubles the limit of a straggler that is fast again, and ramps a server that is slow above one request",
		func(slowAt int, want []int) {
			b := newHarness(ibisadmit.Config{
				ColdStart: 9 * time.Second,
			})
			b.warmUp(100)
			for range 10 {
				b.arrive("kandy", "stock", 0)
			}
			for range 10 {
				b.finish(200*time.Millisecond, false)
			}
			limits := []int{b.Limit(b.now)}
			for range 40 {
				for b.Running() < b.Limit(b.now) {
					b.arrive("kandy", "stock", 0)
				}
				latency := 10 * time.Millisecond
				if b.Limit(b.now) >= slowAt {
					latency *= 5
				}
				b.now = b.now.Add(time.Millisecond)
				b.finish(latency, false)
				if limit := b.Limit(b.now); limit != limits[len(limits)-1] {
					limits = append(limits, limit)
				}
			}
			Expect(limits).To(Equal(want))
		},
		Entry("a straggler", 11, []int{1, 2, 4, 8, 10}),
		Entry("a cold server that can run 3 requests", 4, []int{1, 2, 4, 1, 2, 4, 1}),
	)

	It("does not ramp a straggler whose next slow period begins while its limit is still growing back", func() {
		b := newHarness(ibisadmit.Config{
			ColdStart: 9 * time.Second,
		})
		b.warmUp(100)
		for range 10 {
			b.arrive("kandy", "stock", 0)
		}
		finish := func(n int, latency time.Duration) {
			for range n {
				b.arrive("kandy", "stock", 0)
				b.now = b.now.Add(time.Millisecond)
				b.finish(latency, false)
			}
		}
		finish(10, 200*time.Millisecond)
		for range 3 {
			finish(10, 10*time.Millisecond)
			Expect(b.Limit(b.now)).To(BeNumerically(">", 1))
			finish(20, 200*time.Millisecond)
			Expect(b.Limit(b.now)).To(Equal(1))
		}
		finish(60, 10*time.Millisecond)
		Expect(b.Limit(b.now)).To(Equal(10))
	})

	It("refuses requests above a tenant's rate and reports the drain when all running requests have ended", func() {
		b := newHarness(ibisadmit.Config{
			Policy: classes,
		})
		b.arrive("limited", "stock", 0)
		b.arrive("limited", "stock", 0)
		b.update(ibisadmit.PolicyEvent{
			Policy: classes,
		})
		id := b.arrive("limited", "stock", 0)
		Expect(b.refused[id].Reason).To(Equal(ibisadmit.ReasonRate))
		Expect(b.refused[id].RetryAfter).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
		b.update(ibisadmit.DrainEvent{})
		Expect(b.refused[b.arrive("kandy", "stock", 0)].Reason).To(Equal(ibisadmit.ReasonDraining))
		b.finish(time.Millisecond, false)
		Expect(b.drained).To(BeFalse())
		b.finish(time.Millisecond, false)
		Expect(b.drained).To(BeTrue())
	})
})
