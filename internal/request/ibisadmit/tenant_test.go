package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("An overloaded gate with tenants", func() {
	const slotTime = 100 * time.Millisecond
	var b *harness
	var tenantOf map[ibisadmit.RequestID]ibisid.TenantName

	arrive := func(tenant ibisid.TenantName, class ibisid.ClassName, priority ibisset.Option[int]) ibisadmit.RequestID {
		b.next++
		tenantOf[b.next] = tenant
		own, has := priority.Get()
		b.update(ibisadmit.ArriveEvent{
			ID: b.next, Tenant: tenant, HasPriority: has, Priority: own, Class: class,
			Target: b.now.Add(time.Second), Deadline: b.now.Add(3 * time.Second),
		})
		return b.next
	}
	// finish ends the running requests that are listed, which admits others.
	finish := func(ids []ibisadmit.RequestID) {
		b.now = b.now.Add(slotTime)
		for _, id := range ids {
			b.update(ibisadmit.FinishEvent{ID: id, Latency: slotTime})
		}
	}
	// admitted returns the requests that were admitted since the last call.
	admitted := func() []ibisadmit.RequestID {
		out := b.admitted
		b.admitted = nil
		return out
	}

	BeforeEach(func() {
		tenantOf = make(map[ibisadmit.RequestID]ibisid.TenantName)
		b = newHarness(ibisadmit.Config{
			Algorithm: ibisadmit.AlgorithmFixed,
			Policy: ibisadmit.Policy{Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
				"payment": {Priority: -1, QueueLength: 48},
				"lookup":  {Priority: -2, QueueLength: 48},
			}},
		})
	})

	It("keeps tenants of the class's priority in the queue of the class", func() {
		arrive("", "lookup", ibisset.None[int]())
		arrive("kandy", "lookup", ibisset.Some(-2))
		Expect(b.QueueCount()).To(Equal(2), "one for requests that are in time and one for late ones")
	})

	It("serves requests by the priority of their tenant, then by that of their class, and removes the queues", func() {
		var running []ibisadmit.RequestID
		for range 10 {
			running = append(running, arrive("", "lookup", ibisset.None[int]()))
		}
		admitted()
		ids := []ibisadmit.RequestID{
			arrive("late", "payment", ibisset.Some(-5)),
			arrive("", "lookup", ibisset.None[int]()),
			arrive("", "payment", ibisset.None[int]()),
			arrive("soon", "lookup", ibisset.Some(-1)),
			arrive("now", "lookup", ibisset.Some(0)),
			arrive("now", "payment", ibisset.Some(0)),
		}
		finish(running[:6])
		Expect(admitted()).To(Equal([]ibisadmit.RequestID{ids[5], ids[4], ids[2], ids[3], ids[1], ids[0]}))
		finish(append(ids, running[6:]...))
		b.update(ibisadmit.PolicyEvent{})
		Expect(b.QueueCount()).To(BeZero())
		for priority := range 1000 {
			finish([]ibisadmit.RequestID{arrive("now", "lookup", ibisset.Some(-priority))})
		}
		Expect(b.QueueCount()).To(BeNumerically("<", 80), "one queue for each priority is left")
	})

	// Ten tenants ask for as much as the server can run; then one of them asks for ten times its part.
	It("serves the other tenants as before while one asks for ten times its part", func() {
		// served returns the least share of its requests that any tenant but the first one got served.
		served := func(loud int) float64 {
			arrived, ran := map[ibisid.TenantName]int{}, map[ibisid.TenantName]int{}
			for range 300 {
				running := admitted()
				for i := range 10 {
					tenant := ibisid.TenantName(rune('a' + i))
					for range 1 + (loud-1)*max(0, 1-i) {
						arrived[tenant]++
						arrive(tenant, "lookup", ibisset.Some(-3))
					}
				}
				running = append(running, admitted()...)
				for _, id := range running {
					ran[tenantOf[id]]++
				}
				finish(running)
			}
			least := 1.0
			for tenant, n := range arrived {
				if tenant != "a" {
					least = min(least, float64(ran[tenant])/float64(n))
				}
			}
			return least
		}
		Expect(served(1)).To(BeNumerically(">", 0.98))
		Expect(served(10)).To(BeNumerically(">", 0.96))
	})
})
