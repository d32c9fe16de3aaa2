package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate with classes of unlike urgency, under more load than its slots bear", func() {
	const span = 200 * time.Millisecond
	var b *bench

	arrive := func(class ibisid.ClassName, target time.Duration) ibisadmit.RequestID {
		b.next++
		b.update(ibisadmit.ArriveEvent{ID: b.next, Class: class, Target: b.now.Add(target), Deadline: b.now.Add(5 * time.Second)})
		return b.next
	}

	// learn shows the gate how long requests of each class keep their slots.
	learn := func(classes ...ibisid.ClassName) {
		for _, class := range classes {
			for range 20 {
				id := arrive(class, time.Second)
				b.now = b.now.Add(span)
				b.update(ibisadmit.FinishEvent{ID: id, Latency: span})
			}
		}
		b.admitted = nil
	}

	BeforeEach(func() {
		b = newBench(ibisadmit.Config{
			Law: ibisadmit.LawFixed,
			Policy: ibisadmit.Policy{Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
				"payment": {Priority: 1},
				"lookup":  {Priority: 0},
			}},
		})
		learn("payment", "lookup")
	})

	// Nine payments hold ten slots, and others follow them: two lookups that wait are two turns of the one slot that is left.
	It("reckons a class's wait from the slots that more urgent classes leave, and refuses at once what would be late", func() {
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
		Expect(b.refused[third].RetryAfter).To(BeNumerically(">=", 3*span), "three turns of one slot")
	})

	// A lookup that was overtaken can't meet its target any more when its turn comes; one that still can goes first.
	It("puts a request that has become late behind those that can still meet their target", func() {
		for range 10 {
			arrive("payment", time.Second)
		}
		running := b.admitted
		overtaken := arrive("lookup", 300*time.Millisecond)
		b.now = b.now.Add(150 * time.Millisecond)
		fresh := arrive("lookup", 500*time.Millisecond)
		b.admitted = nil
		b.update(ibisadmit.FinishEvent{ID: running[0], Latency: span})
		Expect(b.admitted).To(Equal([]ibisadmit.RequestID{fresh}))
		b.update(ibisadmit.FinishEvent{ID: running[1], Latency: span})
		Expect(b.admitted).To(Equal([]ibisadmit.RequestID{fresh, overtaken}), "it is served where there is room")
		Expect(b.refused).To(BeEmpty())
	})
})
