package ibishot_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibishot"
)

func TestHot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibishot")
}

func server(i int) ibisid.Member {
	return ibisid.Member{
		Name:        ibisid.NodeName(fmt.Sprintf("node-%02d", i)),
		Incarnation: 1,
	}
}

var start = time.Unix(0, 0)

var _ = Describe("Sketch", func() {
	It("finds the keys above a rate among many others, and drops them when their rate falls", func() {
		random := rand.New(rand.NewPCG(1, 2))
		sketch := ibishot.NewSketch(256, 30*time.Second, start)
		second := func(s int, hot bool) {
			sketch.Advance(start.Add(time.Duration(s) * time.Second))
			for range 5000 {
				sketch.Observe(ibishot.Key(1000 + random.Uint64N(1_000_000)))
			}
			for i := 0; hot && i < 500; i++ {
				sketch.Observe(ibishot.Key(i % 5))
			}
		}
		for s := range 120 {
			second(s, true)
		}
		top := sketch.Top(60)
		Expect(top).To(HaveLen(5))
		for _, rate := range top {
			Expect(rate.Key).To(BeNumerically("<", 5))
			Expect(rate.PerSecond - rate.Error).To(BeNumerically("~", 100, 20))
		}
		for s := range 180 {
			second(120+s, false)
		}
		Expect(sketch.Top(60)).To(BeEmpty())
	})
})

var _ = Describe("Decider", func() {
	It("moves the hottest keys within the limits, then makes no more changes, and returns cooled keys to their slots", func() {
		const servers, hot = 40, 60
		keys := make([]ibishot.Placement, hot)
		for i := range keys {
			keys[i] = ibishot.Placement{
				Key:       ibishot.Key(i),
				Owner:     server(i % 10),
				Home:      server(i % 10),
				PerSecond: 30 + float64(i%7),
			}
		}
		decider := ibishot.NewDecider(ibishot.WithLimit(50), ibishot.WithChangesPerMinute(12))
		minute := func(m int) int {
			now := start.Add(time.Duration(m) * time.Minute)
			load := map[ibisid.Member]float64{}
			for _, k := range keys {
				load[k.Owner] += k.PerSecond
			}
			list := make([]ibishot.Server, servers)
			for i := range list {
				list[i] = ibishot.Server{
					Member:   server(i),
					Capacity: 100,
					Load:     20 + load[server(i)],
				}
			}
			changes := decider.Decide(now, keys, list)
			Expect(len(changes)).To(BeNumerically("<=", 12))
			for _, c := range changes {
				k := &keys[c.Key]
				Expect(k.Owner).To(Equal(c.From))
				if k.Override {
					Expect(now.Sub(k.Since)).To(BeNumerically(">=", 2*time.Minute))
				}
				k.Owner, k.Since, k.Override = c.To, now, c.To != k.Home
			}
			return len(changes)
		}
		moved := 0
		for m := range 8 {
			moved += minute(m)
		}
		Expect(moved).To(BeNumerically(">", 30))
		Expect(moved).To(BeNumerically("<=", 50))
		for m := range 10 {
			Expect(minute(8+m)).To(BeZero(), "no key moves back and forth")
		}
		for i := range keys {
			keys[i].PerSecond = 1
		}
		for m := range 10 {
			minute(18 + m)
		}
		for _, k := range keys {
			Expect(k.Owner).To(Equal(k.Home))
		}
	})
})
