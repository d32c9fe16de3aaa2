package ibisquota

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	must(flag.Set("rapid.seed", "1"))
	must(flag.Set("rapid.checks", "300"))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// TestTheWindowBoundHoldsUnderFaults checks over random sequences of faults that no window has more requests of an account than
// its limit, excess and slack allow. Run by hand with -rapid.checks=10000 -rapid.seed=N.
func TestTheWindowBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "world"),
			Account{Name: "large", Rate: 201, Burst: 201},
			Account{Name: "steady", Rate: 400, Burst: 1},
			Account{Name: "bursty", Rate: 200, Burst: 1000},
			Account{Name: "small", Rate: 3, Burst: 3})
		if rapid.Bool().Draw(t, "tight") {
			// A share that is used twice for some seconds adds little, since buckets start empty: it shows at a tight bound.
			w.config.Excess, w.config.Slack = 0.02, 4
		}
		w.returned = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "returned")
		clocks := rapid.SampledFrom([]float64{0.98, 1, 1.02})
		for range rapid.IntRange(1, 4).Draw(t, "nodes") {
			w.add(clocks.Draw(t, "clock"))
		}
		w.publishRoster()
		w.advance(10 * time.Second)
		pick := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"quiet": func(*rapid.T) {
				w.greedy = false
				w.advance(5 * time.Second)
			},
			"rush": func(t *rapid.T) {
				w.greedy = true
				w.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				a, b := pick(t), pick(t)
				w.cut[[2]int{a.index, b.index}] = true
				if rapid.Bool().Draw(t, "both") {
					w.cut[[2]int{b.index, a.index}] = true
				}
			},
			"isolate": func(t *rapid.T) { w.isolate(pick(t)) },
			"isolated restart": func(t *rapid.T) {
				n := pick(t)
				w.isolate(n)
				w.start(n)
				w.publishRoster()
			},
			"heal": func(*rapid.T) { clear(w.cut) },
			"network": func(t *rapid.T) {
				w.slow, w.lost = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "slow"), rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost")
			},
			"suspend": func(t *rapid.T) { pick(t).suspended = true },
			"resume": func(t *rapid.T) {
				if n := pick(t); n.suspended {
					w.resume(n)
				}
			},
			"crash": func(t *rapid.T) { w.crash(pick(t)) },
			"restart": func(t *rapid.T) {
				w.start(pick(t))
				w.publishRoster()
			},
			"join": func(t *rapid.T) {
				if len(w.nodes) < 6 {
					w.add(clocks.Draw(t, "clock"))
					w.publishRoster()
				}
			},
			"leave": func(t *rapid.T) { w.leave(pick(t)) },
			"limit": func(t *rapid.T) {
				rate := rapid.SampledFrom([]float64{20, 100, 201, 400}).Draw(t, "rate")
				w.setLimits(Account{Name: "large", Rate: rate, Burst: rate}, w.limits[1], w.limits[2], w.limits[3])
			},
			"": func(t *rapid.T) {
				if w.failure != "" {
					t.Fatal(w.failure)
				}
			},
		})
	})
}
