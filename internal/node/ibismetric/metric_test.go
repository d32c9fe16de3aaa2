package ibismetric_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
)

func TestMetric(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibismetric")
}

var _ = Describe("HistogramVec and CounterVec", func() {
	It("bounds its label values and quotes them", func() {
		set := metrics.NewSet()
		tenants := ibismetric.NewHistogramVec(set, "request_seconds", "tenant", 3)
		for i := range 10 {
			tenants.Observe(fmt.Sprintf("t\"%d", i), time.Millisecond)
		}
		snapshots := tenants.Snapshots()
		Expect(snapshots).To(HaveLen(4))
		Expect(snapshots[ibismetric.Other].Count()).To(Equal(uint64(7)))
		var out bytes.Buffer
		set.WritePrometheus(&out)
		Expect(out.String()).To(ContainSubstring(`request_seconds_count{tenant="t\"0"} 1`))
	})

	It("counts by bounded pairs of labels", func() {
		counters := ibismetric.NewCounterVec(metrics.NewSet(), "requests_total", 3, "tenant", "outcome")
		for i := range 10 {
			counters.Add(2, fmt.Sprint("t", i), "done")
		}
		Expect(counters.Counts()).To(HaveLen(4))
		Expect(counters.Counts()[0]).To(Equal(ibismetric.Count{Name: "requests_total", Values: []string{ibismetric.Other, ibismetric.Other}, Count: 14}))
	})

	It("reads quantiles and bars back", func() {
		classes := ibismetric.NewHistogramVec(metrics.NewSet(), "request_seconds", "class", 3)
		for range 98 {
			classes.Observe("stockCheck", 1500*time.Microsecond)
		}
		classes.Observe("stockCheck", 12*time.Millisecond)
		classes.Observe("stockCheck", time.Hour)
		s := classes.Snapshots()["stockCheck"]
		Expect(s.Quantile(0.5)).To(BeNumerically("~", 1500*time.Microsecond, 250*time.Microsecond))
		Expect(s.Quantile(0.99)).To(BeNumerically("~", 12*time.Millisecond, 2*time.Millisecond))
		bars := s.Bars(20)
		Expect(bars[0]).To(Equal("    <= 2ms #################### 98"))
		Expect(bars).To(ContainElement(MatchRegexp(`<= 16ms # +1$`)))
		Expect(bars[len(bars)-1]).To(MatchRegexp(`> 5s # +1$`))
		Expect(ibismetric.Snapshot{}.Bars(20)).To(BeEmpty())
	})
})
