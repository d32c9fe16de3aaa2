package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate before a server with a stated cold rate", func() {
	// worstSecond returns the most admissions in any second.
	worstSecond := func(at []time.Time) int {
		worst := 0
		for i := range at {
			n := 0
			for _, t := range at[i:] {
				if t.Sub(at[i]) < time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
		return worst
	}

	// press sends a request each 5 ms that each take 20 ms, and returns when they were admitted.
	press := func(b *bench, d time.Duration) []time.Time {
		var at []time.Time
		end := b.now.Add(d)
		for b.now.Before(end) {
			before := len(b.admitted)
			b.next++
			b.update(ibisadmit.ArriveEvent{ID: b.next, Class: "read"})
			b.update(ibisadmit.TickEvent{})
			for i := before; i < len(b.admitted); i++ {
				at = append(at, b.now)
				b.update(ibisadmit.FinishEvent{ID: b.admitted[i], Latency: time.Millisecond})
			}
			b.now = b.now.Add(5 * time.Millisecond)
		}
		return at
	}

	It("admits no more than the rate in any second, the ones before the cold start counted", func() {
		b := newBench(ibisadmit.Config{Law: ibisadmit.LawFixed})
		before := press(b, 50*time.Millisecond)
		b.update(ibisadmit.ColdEvent{PerSecond: 15, For: 3 * time.Second})
		at := append(before, press(b, 2900*time.Millisecond)...)
		Expect(worstSecond(at)).To(BeNumerically("<=", 15))
		Expect(len(at)).To(BeNumerically(">=", 30), "the rate is used")
	})

	It("admits freely once the server says that it is warm", func() {
		b := newBench(ibisadmit.Config{Law: ibisadmit.LawFixed})
		b.update(ibisadmit.ColdEvent{PerSecond: 15, For: 3 * time.Second})
		press(b, time.Second)
		b.update(ibisadmit.ColdEvent{PerSecond: 15})
		for i := 0; i < len(b.admitted); i++ {
			b.update(ibisadmit.FinishEvent{ID: b.admitted[i], Latency: time.Millisecond})
		}
		Expect(len(press(b, time.Second))).To(BeNumerically(">", 100))
	})
})

var _ = Describe("A gate whose requests have a target time", func() {
	It("refuses on arrival what would wait past its target, and queues what would not", func() {
		b := newBench(ibisadmit.Config{Law: ibisadmit.LawFixed})
		// Ten slots with answers of 100 ms: what is admitted tells the gate how long slots are held.
		for range 30 {
			b.next++
			id := b.next
			b.update(ibisadmit.ArriveEvent{ID: id, Class: "read"})
			b.now = b.now.Add(100 * time.Millisecond)
			b.update(ibisadmit.FinishEvent{ID: id, Latency: 100 * time.Millisecond})
		}
		refusedBefore := len(b.refused)
		for range 60 {
			b.next++
			b.update(ibisadmit.ArriveEvent{ID: b.next, Class: "read", Target: b.now.Add(300 * time.Millisecond)})
		}
		Expect(b.Waiting()).To(BeNumerically("~", 20, 3), "two turns of ten slots fit before the target")
		Expect(len(b.refused) - refusedBefore).To(Equal(60 - 10 - b.Waiting()))
		for _, r := range b.refused {
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
	})
})
