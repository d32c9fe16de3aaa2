package ibisowner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// newLargeView returns one manager with rows of the given number of members, each of which owns a run of slots.
func newLargeView(members, slots int) (*testNode, []ibisid.Member) {
	c := newCluster(1, 0, 12, true)
	c.slots = slots
	c.document = c.documentWith(1, 12, "")
	n := c.add("self", "d00")
	all := make([]ibisid.Member, members)
	rows := make([]ibisplatform.Row, 0, members)
	for i := range all {
		all[i] = ibisid.Member{
			Name:        ibisid.NodeName(fmt.Sprintf("n%05d", i)),
			Incarnation: 7,
		}
	}
	for i := range all {
		row := ibislease.Row{
			Member: all[i],
			Place: ibisid.Place{
				Region: "r1",
				Domain: ibisid.DomainName(fmt.Sprintf("d%02d", i%12)),
			},
			PeerAddress:  "10.0.0.1:7000",
			Announcement: n.announced,
			Witnesses:    []ibisid.Member{all[(i+1)%members], all[(i+2)%members], all[(i+3)%members]},
			State:        ibislease.StateLive,
		}
		rows = append(rows, ibisplatform.Row{
			Key:     ibislease.RowKey(all[i].Name),
			Value:   row.Encode(),
			Version: ibisplatform.Version(i + 1),
		})
	}
	n.rows.Publish(rows...)
	n.rows.Publish(largePages(all, slots)...)
	return n, all
}

func largePages(all []ibisid.Member, slots int) []ibisplatform.Row {
	var rows []ibisplatform.Row
	for number := range ibisslot.PageCount(uint32(slots)) {
		page := ibisslot.NewPage(ibisslot.PageID{
			Space:  testSlot(0).Space,
			Number: number,
		}, uint32(slots))
		for i := range page.Len() {
			owner := (int(page.ID().First()) + i) * len(all) / slots
			page.Assign(i, all[owner], false)
			page.SetStandbys(i, [ibisslot.MaxStandbys]ibisid.Member{all[(owner+1)%len(all)], all[(owner+2)%len(all)]})
		}
		rows = append(rows, ibisplatform.Row{
			Key:     page.ID().RowKey(),
			Value:   page.Encode(),
			Version: ibisplatform.Version(1_000_000 + int(number)),
		})
	}
	return rows
}

// BenchmarkScale measures the cost of a manager as the system grows: its heap, one idle second, and the report of a lost
// failure domain.
func BenchmarkScale(b *testing.B) {
	for _, shape := range []struct{ members, slots int }{{100, 1 << 11}, {1_000, 1 << 14}, {17_000, 1 << 18}} {
		b.Run(fmt.Sprintf("members=%d", shape.members), func(b *testing.B) {
			RegisterTestingT(b)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n, all := newLargeView(shape.members, shape.slots)
			n.cluster.run(3 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			start := time.Now()
			n.cluster.run(20 * time.Second)
			rest := time.Since(start) / 20
			var lost []ibisid.Member
			for i := 1; i < len(all); i += 12 {
				lost = append(lost, all[i])
			}
			start = time.Now()
			n.update(func(now time.Time) { n.recordDeaths(lost, now) })
			death := time.Since(start)
			start = time.Now()
			for range b.N {
				_, _ = n.Owner(testSlot(1), "MAT-1")
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(b.N), "owner-ns")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
			b.ReportMetric(float64(rest.Microseconds())/1000, "rest-ms/s")
			b.ReportMetric(float64(death.Microseconds())/1000, "domain-death-ms")
			runtime.KeepAlive(n)
		})
	}
}
