package ibisquota

import (
	"testing"
	"time"
)

// TestReplays replays faults and changes on fixed schedules. The world checks the bound in every window; each case checks what is
// served.
func TestReplays(t *testing.T) {
	large := Account{Name: "large", Rate: 201, Burst: 201}
	cases := []struct {
		name  string
		nodes int
		// phases run one after the other; each returns the least and the greatest number of requests that it is to serve.
		phases []func(w *world) (least, most int)
	}{
		{"one node", 1, []func(*world) (int, int){greedily(5*time.Second, 1000, 1347)}},
		{"two nodes", 2, []func(*world) (int, int){greedily(5*time.Second, 1000, 1347)}},
		{"demand that moves to another node each second", 6, []func(*world) (int, int){
			func(w *world) (int, int) {
				for second := range 10 {
					w.demand(time.Second, 0.6*201, second%6)
				}
				return 1150, 1220
			},
		}},
		{"a lender lost in the middle of a window", 6, []func(*world) (int, int){
			func(w *world) (int, int) {
				w.demand(2*time.Second, 120, 0, 1, 2, 3, 4, 5)
				w.crash(w.lender("large"))
				w.demand(8*time.Second, 120, 0, 1, 2, 3, 4, 5)
				return 240, 1200
			},
			// The lost node's share is lost until its row is removed, and its own callers with it.
			func(w *world) (int, int) {
				w.demand(5*time.Second, 120, 0, 1, 2, 3, 4, 5)
				return 480, 610
			},
		}},
		{"a lender that stops as planned", 6, []func(*world) (int, int){
			func(w *world) (int, int) {
				w.leave(w.lender("large"))
				w.demand(10*time.Second, 120, 0, 1, 2, 3, 4, 5)
				return 1000, 1210
			},
		}},
		{"all nodes restarted at once", 6, []func(*world) (int, int){
			greedily(time.Second, 200, 500),
			func(w *world) (int, int) {
				for _, n := range w.nodes {
					w.start(n)
				}
				w.publishRoster()
				w.greedy = true
				w.advance(5 * time.Second)
				return 0, 0
			},
			func(w *world) (int, int) {
				w.advance(5 * time.Second)
				w.greedy = false
				return 0, 1200
			},
			greedily(5*time.Second, 900, 1347),
		}},
		{"a partition into halves", 6, []func(*world) (int, int){
			func(w *world) (int, int) {
				for i := range 3 {
					for j := 3; j < 6; j++ {
						w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
					}
				}
				w.greedy = true
				w.advance(10 * time.Second)
				return 1000, 2400
			},
			greedily(5*time.Second, 800, 1347),
			func(w *world) (int, int) {
				clear(w.cut)
				w.greedy = true
				w.advance(10 * time.Second)
				return 1000, 2400
			},
		}},
		{"a limit lowered during a storm", 6, []func(*world) (int, int){
			greedily(5*time.Second, 900, 1347),
			func(w *world) (int, int) {
				w.setLimits(Account{Name: "large", Rate: 20, Burst: 20})
				w.greedy = true
				w.advance(rosterDelay)
				return 0, 900
			},
			greedily(10*time.Second, 150, 20*10+40),
		}},
		{"a higher limit", 6, []func(*world) (int, int){
			greedily(5*time.Second, 900, 1347),
			func(w *world) (int, int) {
				w.setLimits(Account{Name: "large", Rate: 400, Burst: 400})
				w.greedy = true
				w.advance(rosterDelay)
				return 400, 1600
			},
			greedily(5*time.Second, 1800, 2700),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newDeployment(c.nodes, large)
			for i, phase := range c.phases {
				before := w.runs
				least, most := phase(w)
				if w.failure != "" {
					t.Fatal(w.failure)
				}
				if served := w.runs - before; served < least || served > most {
					t.Errorf("phase %d served %d requests, want %d to %d", i, served, least, most)
				}
			}
		})
	}
}

func greedily(duration time.Duration, least, most int) func(w *world) (int, int) {
	return func(w *world) (int, int) {
		w.greedy = true
		w.advance(duration)
		w.greedy = false
		return least, most
	}
}

// TestSmallAccountsAreServedWhole checks that accounts of a few requests per second lose nothing to the place of their demand: at
// 0.6 of the rate, with each request at a random one of 63 nodes.
func TestSmallAccountsAreServedWhole(t *testing.T) {
	w := newDeployment(63, Account{Name: "a", Rate: 3, Burst: 3}, Account{Name: "b", Rate: 1, Burst: 1}, Account{Name: "c", Rate: 0.5, Burst: 2})
	messages := w.messages
	w.advance(10 * time.Second)
	if perNode := float64(w.messages-messages) / 2 / 10 / 63; perNode > 2 {
		t.Errorf("%.1f messages a second and node without demand, want 2 at most: one per lender in each renewInterval", perNode)
	}
	asked := 0
	for range 60 {
		for _, l := range w.limits {
			if w.random.Float64() < 0.6*l.Rate/3 {
				asked++
				w.take(w.nodes[w.random.IntN(63)], l.Name)
			}
		}
		w.advance(time.Second / 3)
	}
	w.advance(time.Second)
	if w.runs != asked || w.failure != "" {
		t.Errorf("%d of %d requests were served, refused: %v, %s", w.runs, asked, w.refused, w.failure)
	}
}

// TestNothingIsSentWithoutLimits guards against messages in deployments that don't use quotas.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	w := newDeployment(6, Account{Name: "unlimited"})
	if w.messages != 0 {
		t.Errorf("%d messages", w.messages)
	}
}
