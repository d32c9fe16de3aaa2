package ibisgossip_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const snapshotRounds = ibisgossip.Buckets + 4

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisgossip")
}

func row(key string, version ibisplatform.Version, size int, homes ...ibisid.RegionName) ibisgossip.Row {
	return ibisgossip.Row{
		Key:     key,
		Version: version,
		Value:   make([]byte, size),
		Homes:   homes,
	}
}

var _ = Describe("The view", func() {
	It("never replaces a row by a lower version", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			view := ibisgossip.NewView("region-0")
			highest := make(map[string]ibisplatform.Version)
			for _, n := range rapid.SliceOf(rapid.IntRange(0, 99)).Draw(t, "rows") {
				r := row(fmt.Sprint(n%5), ibisplatform.Version(n/5), n)
				view.Apply(r)
				highest[r.Key] = max(highest[r.Key], r.Version)
				if view.Version(r.Key) != highest[r.Key] {
					t.Fatalf("version of %s is %d, want %d", r.Key, view.Version(r.Key), highest[r.Key])
				}
			}
		})
	})
})

var _ = Describe("The graph", func() {
	It("repairs lost messages and sends no row outside its homes", func() {
		g := newGraph(120, 12)
		g.loss = 0.4
		outsideHomes := 0
		g.onRow = func(to int, r ibisgossip.Row) {
			if !r.AllowedIn(g.gossipers[to].View().Region()) {
				outsideHomes++
			}
		}
		rows := []ibisgossip.Row{
			row("member/a", 3, 100),
			row("page/big", 5, 4000),
			row("page/home", 4, 100, "region-0", "region-2"),
			row("page/homebig", 6, 3000, "region-0"),
		}
		for range 60 {
			g.step()
		}
		g.addRows(0, rows...)
		g.addRows(0, row("member/a", 2, 100))
		for range 60 {
			g.step()
		}
		g.loss = 0
		for _, r := range rows {
			_, all := g.roundsUntil(r, 1200)
			Expect(all).To(BeTrue(), r.Key)
		}
		Expect(outsideHomes).To(BeZero())
		Expect(g.gossipers[1].View().Version("page/home")).To(BeZero())
	})

	It("gives a new node a snapshot", func() {
		g := newGraph(12, 12)
		for i := range 500 {
			g.addRows(0, row(fmt.Sprintf("member/%d", i), 1, 300))
		}
		for range 2 * snapshotRounds {
			g.step()
		}
		for _, s := range g.gossipers {
			Expect(s.Ready()).To(BeTrue())
			Expect(s.View().Rows()).To(Equal(500))
		}
	})

	// Uses three failure domains, each as large as one of twelve domains with 17,000 nodes in all. BenchmarkSpread runs all 17,000.
	It("is connected with bounded degree in failure domains of full size", func() {
		const nodes = 3 * 17_000 / 12
		g := newGraph(nodes, 3)
		seen := map[int]struct{}{0: {}}
		degree := 0
		for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
			degree = max(degree, len(g.links[queue[0]]))
			for next := range g.links[queue[0]] {
				if _, ok := seen[next]; !ok {
					seen[next] = struct{}{}
					queue = append(queue, next)
				}
			}
		}
		Expect(seen).To(HaveLen(nodes))
		Expect(degree).To(BeNumerically("<=", ibisgossip.MaxNeighbours))
	})
})

// BenchmarkSpread measures updates of a small row (150 bytes, as a member) and a large row (4,000 bytes, as a document
// section) in graphs of different sizes.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{100, 1_000, 17_000} {
		for _, size := range []int{150, 4_000} {
			b.Run(fmt.Sprintf("nodes=%d/bytes=%d", n, size), func(b *testing.B) { benchmarkUpdate(b, n, size) })
		}
	}
}

func benchmarkUpdate(b *testing.B, n, size int) {
	g := newGraph(n, 12)
	for range snapshotRounds {
		g.step()
	}
	idle := measureIdle(g)
	rounds, bytes := 0, 0
	b.ResetTimer()
	for i := range b.N {
		r := row("member/x", ibisplatform.Version(i+1), size)
		before := g.sentBytes()
		g.addRows(i%n, r)
		used, all := g.roundsUntil(r, 600)
		if !all {
			b.Fatal("update did not reach all nodes")
		}
		g.step()
		g.step()
		rounds += used
		bytes += g.sentBytes() - before - idle*(used+2)
	}
	b.ReportMetric(float64(rounds)/float64(b.N), "rounds/update")
	b.ReportMetric(float64(bytes)/float64(b.N)/float64(n), "B/node/update")
	b.ReportMetric(float64(idle)/float64(n)/round.Seconds(), "idleB/node/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/node/update")
}

// measureIdle returns the mean number of bytes that the whole graph sends per round without updates.
func measureIdle(g *graph) int {
	rounds := int(8 * time.Second / round)
	before := g.sentBytes()
	for range rounds {
		g.step()
	}
	return (g.sentBytes() - before) / rounds
}
