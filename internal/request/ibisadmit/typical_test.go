package ibisadmit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var _ = Describe("A gate without answers of its own", func() {
	const usual = 10 * time.Millisecond

	tell := func(b *harness, from ibisid.NodeName, typical ibisadmit.TypicalLatency) {
		b.update(ibisadmit.BaselineEvent{
			Class: "stock",
			Report: ibisadmit.Report{
				From:    from,
				Typical: typical,
			},
		})
	}
	reported := func(b *harness, latency time.Duration, answers int) {
		tell(b, "n2", ibisadmit.TypicalLatency{
			Mean:    latency,
			Quick:   latency,
			Answers: answers,
		})
	}

	// answer ends n requests, with the latencies that next returns, while it keeps the gate at its limit. It returns the lowest
	// limit on the way.
	answer := func(b *harness, n int, next func() time.Duration) int {
		lowest := b.Limit(b.now)
		for range n {
			for b.Running() < b.Limit(b.now) {
				b.arrive("kandy", "stock", 0)
			}
			b.now = b.now.Add(time.Millisecond)
			b.finish(next(), false)
			lowest = min(lowest, b.Limit(b.now))
		}
		return lowest
	}
	always := func(latency time.Duration) func() time.Duration { return func() time.Duration { return latency } }

	DescribeTable("finds its server cold by what other gates of the service reported",
		func(before int, config ibisadmit.Config, want int) {
			b := newHarness(config)
			answer(b, before, always(4*usual))
			reported(b, usual, 5)
			Expect(answer(b, 20, always(4*usual))).To(Equal(want))
		},
		Entry("reported before the first answer", 0, ibisadmit.Config{}, 1),
		Entry("reported after answers of the cold server", 5, ibisadmit.Config{}, 1),
		Entry("with AlgorithmFixed, which keeps the limit", 0, ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed}, 10),
	)

	It("finds its server cold while the first two requests still run, and ramps a server that is merely slower than others", func() {
		b := newHarness(ibisadmit.Config{
			ColdStart: time.Second,
		})
		reported(b, usual, 200)
		b.arrive("kandy", "stock", 0)
		b.arrive("kandy", "stock", 0)
		b.now = b.now.Add(3 * usual)
		b.update(ibisadmit.TickEvent{})
		Expect(b.Limit(b.now)).To(Equal(1))
		b.finish(3*usual, false)
		b.finish(3*usual, false)
		answer(b, 2, always(3*usual))
		reported(b, usual, 1000)
		b.now = b.now.Add(time.Second)
		Expect(answer(b, 200, always(3*usual))).To(BeNumerically(">=", 9), "the hill climb may be trying one slot less")
	})

	It("finds a cold server of a class whose answers take either short or very long, so that it is below their mean", func() {
		b := newHarness(ibisadmit.Config{})
		for _, from := range []ibisid.NodeName{"n2", "n3", "n4"} {
			tell(b, from, ibisadmit.TypicalLatency{
				Mean:    17 * usual / 2,
				Quick:   usual,
				Slow:    0.5,
				Answers: 10,
			})
		}
		for range 5 {
			answer(b, 1, always(usual))
			answer(b, 1, always(16*usual))
		}
		Expect(b.Limit(b.now)).To(Equal(10))
		Expect(answer(b, 20, always(4*usual))).To(Equal(1))
	})

	DescribeTable("keeps all slots of a warm server whose node restarted",
		func(next func(*rand.Rand) float64) {
			const (
				seeds   = 200
				answers = 49
				// allowed is what two rules that err once in 6,000 runs of answers may do.
				allowed = 2 * seeds * answers / 6000
			)
			falls := 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 0))
				draw := func() time.Duration { return time.Duration(next(random) * float64(usual)) }
				other := newHarness(ibisadmit.Config{ColdStart: time.Millisecond})
				answer(other, 100, draw)
				b := newHarness(ibisadmit.Config{})
				t, ok := other.ReportTypical("stock", other.now)
				Expect(ok).To(BeTrue())
				tell(b, "n2", t)
				if answer(b, answers, draw) == 1 {
					falls++
				}
			}
			Expect(falls).To(BeNumerically("<=", allowed))
		},
		Entry("steady answers", func(r *rand.Rand) float64 { return 1 + r.Float64() }),
		Entry("exponential", func(r *rand.Rand) float64 { return r.ExpFloat64() + 0.01 }),
		Entry("a fifth from a cache", func(r *rand.Rand) float64 {
			if r.IntN(5) == 0 {
				return 0.05
			}
			return 1 + r.Float64()
		}),
		Entry("half very long", func(r *rand.Rand) float64 {
			if r.IntN(2) == 0 {
				return 16
			}
			return 1
		}),
	)
})

var _ = Describe("What a gate tells of a class", func() {
	It("is reported with each of the first answers and once a second afterwards, and can be read again", func() {
		b := newHarness(ibisadmit.Config{})
		_, ok := b.ReportTypical("stock", b.now)
		Expect(ok).To(BeFalse())
		b.warmUp(49)
		for range 2 {
			_, ok = b.ReportTypical("stock", b.now)
			Expect(ok).To(BeTrue())
		}
		b.warmUp(1)
		b.now = b.now.Add(time.Second)
		t, ok := b.ReportTypical("stock", b.now)
		Expect(ok).To(BeTrue())
		Expect(t.Answers).To(Equal(50))
		Expect(t.Mean).To(Equal(10 * time.Millisecond))
		Expect(t.Quick).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
		_, ok = b.ReportTypical("stock", b.now.Add(999*time.Millisecond))
		Expect(ok).To(BeFalse())
		read, err := ibisadmit.ParseReport(ibisadmit.Report{
			From:    "n2",
			Typical: t,
		}.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(read.From).To(BeEquivalentTo("n2"))
		Expect(read.Typical.Slow).To(BeZero())
		Expect(read.Typical.Answers).To(Equal(50))
		Expect(read.Typical.Quick).To(BeNumerically("~", t.Quick, 10*time.Microsecond))
	})

	DescribeTable("is not read if it makes no sense", func(text string) {
		_, err := ibisadmit.ParseReport(text)
		Expect(err).To(HaveOccurred())
	},
		Entry("empty", ""),
		Entry("a word", "n2 fast fast 0.1 3"),
		Entry("no answers", "n2 10ms 10ms 0.1 0"),
		Entry("negative", "n2 -10ms 10ms 0.1 3"),
		Entry("above an hour", "n2 10ms 2h 0.1 3"),
	)
})
