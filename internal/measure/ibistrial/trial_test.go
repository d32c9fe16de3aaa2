package ibistrial_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/measure/ibistrial"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

const (
	maxStragglerP99 = 1.5
	maxHedges       = 0.05
	maxOffered      = 1.1
	minGoodput      = 0.9
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibistrial")
}

func named(name string) ibistrial.Scenario {
	for _, s := range ibistrial.Scenarios(ibistrial.PolicyHedged) {
		if s.Name == name {
			return s
		}
	}
	panic("no scenario " + name)
}

// runAll runs scenarios side by side and checks what holds in every one.
func runAll(scenarios ...ibistrial.Scenario) []ibistrial.Result {
	results := make([]ibistrial.Result, len(scenarios))
	var group sync.WaitGroup
	for i, s := range scenarios {
		group.Go(func() { results[i] = ibistrial.Run(s) })
	}
	group.Wait()
	for i, r := range results {
		check(scenarios[i], r)
	}
	return results
}

func check(s ibistrial.Scenario, r ibistrial.Result) {
	Expect(r.Lost).To(BeZero(), s.Name)
	Expect(r.Done+r.Late+r.NotRun).To(Equal(r.Requests), s.Name)
	Expect(r.Hedges).To(BeNumerically("<=", maxHedges), s.Name)
	Expect(r.Offered).To(BeNumerically("<=", maxOffered), s.Name)
}

var _ = Describe("the chooser behind the gate", func() {
	It("keeps p99 with stragglers within 1.5 times the p99 without", func() {
		const seeds = 3
		var scenarios []ibistrial.Scenario
		for seed := range uint64(seeds) {
			steady, slow := named("steady"), named("stragglers")
			steady.Seed, slow.Seed = seed+1, seed+1
			scenarios = append(scenarios, steady, slow)
		}
		r := runAll(scenarios...)
		for i := range seeds {
			Expect(r[2*i+1].P99).To(BeNumerically("<=", maxStragglerP99*float64(r[2*i].P99)), "seed %d", i+1)
		}
	})

	It("keeps 90% of the capacity at three times the load, also where servers bear less than they announce", func() {
		for _, r := range runAll(named("overload3x"), named("overload3xWeak")) {
			Expect(r.Goodput).To(BeNumerically(">=", minGoodput))
		}
	})

	It("gives servers in an announced cold start no more than they bear, and uses 90% of that", func() {
		s := named("coldAnnounced")
		r := runAll(s)[0]
		Expect(r.Overrun).To(BeZero())
		// Below 60% of the full limit the servers bear on average half of what is offered plus the first slot.
		short := (s.Load - 0.1) / 2 * (s.Load - 0.1) / 0.9 * s.ColdStart.Seconds() / s.Duration.Seconds()
		Expect(r.Goodput).To(BeNumerically(">=", minGoodput*(s.Load-short)))
	})

	It("loses and doubles nothing when servers turn cold unannounced or a failure domain leaves and returns", func() {
		r := runAll(named("coldSilent"), named("domainOf4Out"), named("domainOut"))
		Expect(r[2].Goodput).To(BeNumerically(">=", minGoodput*0.7))
	})

	It("sends no byte to another region while its own has room", func() {
		s := named("threeRegions")
		s.Load = 0.3
		Expect(runAll(s)[0].RegionBytes).To(BeZero())
	})

	It("gives the same figures for the same seed", func() {
		s := named("stragglers")
		s.Duration = 2 * time.Second
		Expect(ibistrial.Run(s)).To(Equal(ibistrial.Run(s)))
	})
})

func BenchmarkPolicies(b *testing.B) {
	for _, policy := range ibistrial.Policies {
		for _, s := range ibistrial.Scenarios(policy) {
			b.Run(s.Name+"/"+string(policy), func(b *testing.B) { benchmark(b, s) })
		}
	}
}

func BenchmarkLaws(b *testing.B) {
	for _, algorithm := range []ibisadmit.LimitAlgorithm{ibisadmit.AlgorithmFixed, ibisadmit.AlgorithmAIMD, ibisadmit.AlgorithmGradient} {
		for _, name := range []string{"stragglers", "coldSilent", "overload3x", "overload3xWeak"} {
			s := named(name)
			s.Algorithm = algorithm
			b.Run(name+"/"+string(algorithm), func(b *testing.B) { benchmark(b, s) })
			s.NoGate = true
			if algorithm == ibisadmit.AlgorithmFixed {
				b.Run(name+"/noGate", func(b *testing.B) { benchmark(b, s) })
			}
		}
	}
}

func benchmark(b *testing.B, s ibistrial.Scenario) {
	for b.Loop() {
		r := ibistrial.Run(s)
		b.ReportMetric(r.P50.Seconds()*1e3, "p50-ms")
		b.ReportMetric(r.P99.Seconds()*1e3, "p99-ms")
		b.ReportMetric(r.P999.Seconds()*1e3, "p99.9-ms")
		b.ReportMetric(r.Goodput, "goodput")
		b.ReportMetric(r.Imbalance, "imbalance")
		b.ReportMetric(r.Offered, "offered")
		b.ReportMetric(r.Hedges, "hedges")
	}
}
