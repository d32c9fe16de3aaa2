package ibistimer_test

import (
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

// BenchmarkNow compares the cost of Clock.Now with that of time.Now.
func BenchmarkNow(b *testing.B) {
	b.Run("service", func(b *testing.B) {
		clock := ibistimer.New()
		for b.Loop() {
			_ = clock.Now()
		}
	})
	b.Run("package time", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}
