package ibislatency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

func TestLatency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibislatency")
}

var _ = Describe("latencies", func() {
	It("returns quantiles within the width of a bucket, and follows a change of the latencies", func() {
		var histogram ibislatency.Histogram
		for i := range 1000 {
			histogram.Add(time.Duration(i+1) * time.Millisecond)
		}
		Expect(histogram.Quantile(0.5)).To(BeNumerically("~", 500*time.Millisecond, 50*time.Millisecond))
		Expect(histogram.Quantile(0.99)).To(BeNumerically("~", 990*time.Millisecond, 99*time.Millisecond))
		for range 20_000 {
			histogram.Add(time.Millisecond)
		}
		Expect(histogram.Quantile(0.99)).To(BeNumerically("<", 2*time.Millisecond))
	})

	It("compares each class with its own baseline, which a slow period raises only slowly", func() {
		b := ibislatency.NewBaseline()
		Expect(b.Ratio("stock", time.Second)).To(Equal(1.0))
		for range 200 {
			b.Add("stock", 10*time.Millisecond)
			b.Add("download", time.Second)
		}
		for range 50 {
			b.Add("stock", 100*time.Millisecond)
		}
		Expect(b.Ratio("stock", 100*time.Millisecond)).To(BeNumerically(">", 3))
		Expect(b.Ratio("download", time.Second)).To(BeNumerically("~", 1, 0.01))
	})
})
