package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate whose server has announced a rate for its cold period", func() {
	// maxPerSecond returns the largest number of admissions in any second.
	maxPerSecond := func(at []time.Time) int {
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

	// sendSteadily sends a request every 5 ms for the duration, ends each as soon as it is admitted, and returns the times of
	// the admissions.
	sendSteadily := func(b *harness, d time.Duration) []time.Time {
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

	It("admits no more than the rate in any second, including admissions before the cold period", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		before := sendSteadily(b, 50*time.Millisecond)
		b.update(ibisadmit.ColdEvent{RequestsPerSecond: 15, Duration: 3 * time.Second})
		at := append(before, sendSteadily(b, 2900*time.Millisecond)...)
		Expect(maxPerSecond(at)).To(BeNumerically("<=", 15))
		Expect(len(at)).To(BeNumerically(">=", 30), "the rate is used")
	})

	It("stops limiting the rate once the server announces the end of the cold period", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		b.update(ibisadmit.ColdEvent{RequestsPerSecond: 15, Duration: 3 * time.Second})
		sendSteadily(b, time.Second)
		b.update(ibisadmit.ColdEvent{RequestsPerSecond: 15})
		for i := 0; i < len(b.admitted); i++ {
			b.update(ibisadmit.FinishEvent{ID: b.admitted[i], Latency: time.Millisecond})
		}
		Expect(len(sendSteadily(b, time.Second))).To(BeNumerically(">", 100))
	})
})

var _ = Describe("A gate whose server names a rate limit", func() {
	It("refuses at once what the limit leaves no time for, with the time after which there is room", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		b.update(ibisadmit.RateLimitEvent{Limited: true, PerSecond: 4})
		for range 5 {
			b.arrive("t", "read", time.Second)
		}
		Expect(b.admitted).To(HaveLen(1))
		Expect(b.refused).To(BeEmpty(), "one second of the limit waits")
		last := b.arrive("t", "read", time.Second)
		Expect(b.refused).To(HaveLen(1))
		Expect(b.refused[last].Reason).To(Equal(ibisadmit.ReasonDeadline))
		Expect(b.refused[last].RetryAfter).To(Equal(1250 * time.Millisecond))
	})

	It("refuses waiting requests at once when a limit that leaves them no time begins", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		for range 15 {
			b.arrive("t", "read", time.Second)
		}
		b.update(ibisadmit.RateLimitEvent{Limited: true, PerSecond: 2})
		Expect(b.refused).To(HaveLen(2), "at two a second three of the five start within a second: at once, after half of it and at its end")
	})

	It("reports a load that counts what runs against what runs at the limit", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		b.warmUp(10)
		before := b.Load(b.now)
		b.update(ibisadmit.RateLimitEvent{Limited: true, PerSecond: 1})
		b.arrive("t", "read", time.Second)
		Expect(b.Load(b.now)).To(BeNumerically(">", max(1, before)))
	})
})

var _ = Describe("A gate whose requests have a target time", func() {
	It("refuses on arrival requests that would wait past their target, and queues the others", func() {
		b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
		// The gate has ten slots. These requests establish a slot time of 100 ms.
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
		Expect(b.Waiting()).To(BeNumerically("~", 20, 3), "two rounds of ten slots fit before the target")
		Expect(len(b.refused) - refusedBefore).To(Equal(60 - 10 - b.Waiting()))
		for _, r := range b.refused {
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
	})
})
