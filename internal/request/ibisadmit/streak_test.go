package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate whose baseline holds few answers", func() {
	const (
		usual = 10 * time.Millisecond
		slow  = 4 * usual
	)

	// answer ends n requests with the given latency while it keeps the gate at its limit.
	answer := func(b *harness, n int, latency time.Duration) {
		for range n {
			for b.Running() < b.Limit(b.now) {
				b.arrive("kandy", "stock", 0)
			}
			b.now = b.now.Add(time.Millisecond)
			b.finish(latency, false)
		}
	}

	It("detects a cold server when every answer of a burst is slow", func() {
		b := newHarness(ibisadmit.Config{})
		b.warmUp(3)
		answer(b, 8, slow)
		Expect(b.Limit(b.now)).To(Equal(1))
	})

	It("does not lower the limit to one when answers of usual latency interrupt the slow ones", func() {
		b := newHarness(ibisadmit.Config{})
		b.warmUp(3)
		for range 20 {
			answer(b, 7, slow)
			answer(b, 1, usual)
			Expect(b.Limit(b.now)).To(BeNumerically(">", 1))
		}
	})

	It("builds a new baseline after the ramp", func() {
		b := newHarness(ibisadmit.Config{
			ColdStart: time.Second,
		})
		b.warmUp(3)
		answer(b, 8, slow)
		Expect(b.Limit(b.now)).To(Equal(1))
		b.now = b.now.Add(500 * time.Millisecond)
		answer(b, 20, slow)
		Expect(b.Limit(b.now)).To(BeNumerically("~", 5, 1))
		b.now = b.now.Add(500 * time.Millisecond)
		answer(b, 200, slow)
		Expect(b.Limit(b.now)).To(BeNumerically(">=", 9), "the hill climb may be trying one slot less")
	})
})
