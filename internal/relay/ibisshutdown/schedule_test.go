package ibisshutdown_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/relay/ibisshutdown"
)

// TestTakes plays requests that arrive at every moment of a stop and whose backend servers take all the time that they get.
func TestTakes(t *testing.T) {
	const (
		step   = 50 * time.Millisecond
		noTime = time.Duration(0)
	)
	budgets := []time.Duration{noTime}
	for budget := 200 * time.Millisecond; budget <= 7*time.Second; budget += step {
		budgets = append(budgets, budget)
	}
	began := time.Unix(1_000_000, 0)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second} {
		schedule := ibisshutdown.New(began, grace)
		g := NewWithT(t)
		phases := []time.Time{
			began, schedule.CloseAt(), schedule.WorkEnd(), schedule.AbortAt(), schedule.ExitBy(),
			schedule.ExitBy().Add(schedule.FinalWriteTimeout()), began.Add(grace),
		}
		g.Expect(slices.IsSortedFunc(phases, time.Time.Compare)).To(BeTrue(), "the phases of a grace period of %s", grace)
		for _, routeTimeout := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
			for _, budget := range budgets {
				allowed := routeTimeout
				if budget != noTime {
					allowed = min(allowed, budget)
				}
				for at := noTime; at < grace; at += step {
					now := began.Add(at)
					fits := !now.Add(allowed).After(schedule.WorkEnd())
					known := !now.Before(schedule.CloseAt().Add(step * 10))
					takes := schedule.Takes(now, allowed)
					if fits && !takes || known && takes != fits {
						t.Fatalf("grace %s, at %s, allowed %s: takes %v, its whole time fits %v", grace, at, allowed, takes, fits)
					}
					if takes && !now.Before(schedule.WorkEnd()) {
						t.Fatalf("grace %s, at %s: takes a request after the end of work", grace, at)
					}
				}
			}
		}
	}
}

// TestTakesUnlessStopping covers the zero Schedule.
func TestTakesUnlessStopping(t *testing.T) {
	g := NewWithT(t)
	schedule := ibisshutdown.Schedule{}
	g.Expect(schedule.Takes(time.Unix(1, 0), time.Hour)).To(BeTrue())
	g.Expect(schedule.WorkEnd()).To(BeZero())
}
