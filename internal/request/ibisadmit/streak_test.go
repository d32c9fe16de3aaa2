package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate that has seen few answers", func() {
	const (
		usual = 10 * time.Millisecond
		slow  = 4 * usual
	)

	// answer keeps the gate full while answers of the given latency end.
	answer := func(b *bench, n int, latency time.Duration) {
		for range n {
			for b.Running() < b.Limit(b.now) {
				b.arrive("kandy", "stock", 0)
			}
			b.now = b.now.Add(time.Millisecond)
			b.finish(latency, false)
		}
	}

	It("takes a burst of answers that all are slow for a server that turned cold", func() {
		b := newBench(ibisadmit.Config{})
		b.warm(3)
		answer(b, 8, slow)
		Expect(b.Limit(b.now)).To(Equal(1))
	})

	It("takes slow answers between usual ones for what they are", func() {
		b := newBench(ibisadmit.Config{})
		b.warm(3)
		for range 20 {
			answer(b, 7, slow)
			answer(b, 1, usual)
			Expect(b.Limit(b.now)).To(BeNumerically(">", 1))
		}
	})

	It("learns a server's speed anew when its ramp is over", func() {
		b := newBench(ibisadmit.Config{
			ColdStart: time.Second,
		})
		b.warm(3)
		answer(b, 8, slow)
		Expect(b.Limit(b.now)).To(Equal(1))
		b.now = b.now.Add(500 * time.Millisecond)
		answer(b, 20, slow)
		Expect(b.Limit(b.now)).To(BeNumerically("~", 5, 1))
		b.now = b.now.Add(500 * time.Millisecond)
		answer(b, 200, slow)
		Expect(b.Limit(b.now)).To(BeNumerically(">=", 9), "the search for the best limit tries one less")
	})
})
