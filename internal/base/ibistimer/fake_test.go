package ibistimer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

func TestTimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibistimer")
}

var _ = Describe("Fake", func() {
	It("calls subscribers in order of their due times", func() {
		start := time.Unix(0, 0)
		fake := ibistimer.NewFake(start)
		var calls []time.Duration
		record := func(now time.Time) { calls = append(calls, now.Sub(start)) }
		fake.After(3*time.Second, record)
		every := fake.Every(2*time.Second, record)
		fake.Advance(5 * time.Second)
		every.Stop()
		fake.Advance(5 * time.Second)
		Expect(calls).To(Equal([]time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second}))
		Expect(fake.Now()).To(Equal(start.Add(10 * time.Second)))
	})
})
