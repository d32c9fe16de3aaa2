package ibiskeep_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
)

// skewed sends requests whose keys follow a power law, busy keys side by side, as the owners hold them.
func skewed(w *world, perSecond int, d time.Duration) map[*node]int {
	served := make(map[*node]int)
	end := w.now.Add(d)
	for w.now.Before(end) {
		for range perSecond / 20 {
			key := 20_000 + int(math.Pow(w.random.Float64(), 6)*40_000)
			for _, n := range w.nodes {
				for _, h := range n.server.holds {
					if h.From <= key && key <= h.To && w.now.Before(h.until) {
						served[n]++
						n.keeper.Used(key)
					}
				}
			}
		}
		w.run(50 * time.Millisecond)
	}
	return served
}

func imbalance(served map[*node]int, owners int) float64 {
	total, most := 0, 0
	for _, n := range served {
		total += n
		most = max(most, n)
	}
	return float64(most) * float64(owners) / float64(total)
}

var _ = Describe("Keepers whose keys are used unevenly", func() {
	It("move ranges next to the busiest ones away, until the busiest owner has little more than its busiest range", func() {
		w := newWorld(7, 6)
		w.lateBeats = 0
		w.run(10 * time.Second)
		before := imbalance(skewed(w, 400, 4*time.Second), 6)
		skewed(w, 400, 30*time.Second)
		after := imbalance(skewed(w, 400, 4*time.Second), 6)
		Expect(before).To(BeNumerically(">", 1.8))
		Expect(after).To(BeNumerically("<", 1.0+(before-1.0)*0.75))
		w.run(5 * time.Second)
		Expect(w.broken).To(BeEmpty())
		Expect(w.served()).To(Equal(ibiskeep.Keys))
	})

	It("leave everything where it is under an even load", func() {
		w := newWorld(8, 4)
		w.lateBeats = 0
		w.run(10 * time.Second)
		moves := w.moves
		for range 400 {
			for range 10 {
				key := w.random.IntN(ibiskeep.Keys)
				for _, n := range w.nodes {
					for _, h := range n.server.holds {
						if h.From <= key && key <= h.To {
							n.keeper.Used(key)
						}
					}
				}
			}
			w.run(50 * time.Millisecond)
		}
		Expect(w.moves).To(Equal(moves))
	})
})
