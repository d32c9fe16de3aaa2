package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("An overloaded gate with classes of different priorities", func() {
	const slotTime = 200 * time.Millisecond
	var b *harness

	arrive := func(class ibisid.ClassName, target time.Duration) ibisadmit.RequestID {
		b.next++
		b.update(ibisadmit.ArriveEvent{ID: b.next, Class: class, Target: b.now.Add(target), Deadline: b.now.Add(5 * time.Second)})
		return b.next
	}

	// trainTimings runs requests of each class, so that the gate has their slot times.
	trainTimings := func(classes ...ibisid.ClassName) {
		for _, class := range classes {
			for range 20 {
				id := arrive(class, time.Second)
				b.now = b.now.Add(slotTime)
				b.update(ibisadmit.FinishEvent{ID: id, Latency: slotTime})
			}
		}
		b.admitted = nil
	}

	BeforeEach(func() {
		b = newHarness(ibisadmit.Config{
			Algorithm: ibisadmit.AlgorithmFixed,
			Policy: ibisadmit.Policy{Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
				"payment": {Priority: 1},
				"lookup":  {Priority: 0},
			}},
		})
		trainTimings("payment", "lookup")
	})

	// Nine payments hold nine of the ten slots, and further payments take these over. Lookups have one slot: two that wait take
	// two rounds of it.
	It("estimates the wait of a class from the slots that higher priorities leave, and refuses late requests on arrival", func() {
		for range 9 {
			arrive("payment", time.Second)
		}
		arrive("lookup", 600*time.Millisecond)
		first := arrive("lookup", 600*time.Millisecond)
		second := arrive("lookup", 600*time.Millisecond)
		third := arrive("lookup", 600*time.Millisecond)
		Expect(b.refused).NotTo(HaveKey(first))
		Expect(b.refused).NotTo(HaveKey(second))
		Expect(b.refused).To(HaveKey(third))
		Expect(b.refused[third].RetryAfter).To(BeNumerically(">=", 3*slotTime), "three rounds of one slot")
	})

	// A lookup that higher priorities have delayed can no longer meet its target when a slot is free; a lookup that still can
	// runs first.
	It("queues a request that has become late behind those that can still meet their target", func() {
		for range 10 {
			arrive("payment", time.Second)
		}
		running := b.admitted
		overtaken := arrive("lookup", 300*time.Millisecond)
		b.now = b.now.Add(150 * time.Millisecond)
		fresh := arrive("lookup", 500*time.Millisecond)
		b.admitted = nil
		b.update(ibisadmit.FinishEvent{ID: running[0], Latency: slotTime})
		Expect(b.admitted).To(Equal([]ibisadmit.RequestID{fresh}))
		b.update(ibisadmit.FinishEvent{ID: running[1], Latency: slotTime})
		Expect(b.admitted).To(Equal([]ibisadmit.RequestID{fresh, overtaken}), "the late request is served when a slot is free")
		Expect(b.refused).To(BeEmpty())
	})
})

// Guards against runs that hold their slot at the caller's server while their calls wait behind work that has not begun.
var _ = DescribeTable("A gate with a free slot for one of a call and two callers' requests",
	func(callPriority int, want string) {
		b := newHarness(ibisadmit.Config{
			Algorithm: ibisadmit.AlgorithmFixed,
			Policy: ibisadmit.Policy{Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
				"payment": {Priority: 1}, "lookup": {Priority: 0}, "read": {Priority: 0},
			}},
		})
		for range 10 {
			b.arrive("", "lookup", 0)
		}
		ids := map[ibisadmit.RequestID]string{b.arrive("", "payment", 0): "payment", b.arrive("", "lookup", 0): "lookup"}
		b.next++
		b.update(ibisadmit.ArriveEvent{ID: b.next, Class: "read", Call: true, CallPriority: callPriority})
		ids[b.next] = "call"
		b.update(ibisadmit.FinishEvent{ID: 1})
		Expect(ids[b.admitted[10]]).To(Equal(want))
	},
	Entry("a call for a lookup", 0, "payment"),
	Entry("a call for a payment", 1, "call"),
	Entry("a call for more urgent work", 2, "call"),
)
