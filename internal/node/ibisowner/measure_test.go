package ibisowner

import (
	"encoding/gob"
	"fmt"
	"net/rpc"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// countingWriter counts the bytes that control calls write, without TCP and IP headers.
type countingWriter struct {
	bytes int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

// meter encodes calls as net/rpc does, with one persistent connection to each peer.
type meter struct {
	writer   countingWriter
	encoders map[string]*gob.Encoder
}

func (m *meter) call(from, to ibisid.NodeName, method string, args, reply any) {
	key := string(from) + ">" + string(to)
	if m.encoders[key] == nil {
		m.encoders[key] = gob.NewEncoder(&m.writer)
		m.encoders[key+"<"] = gob.NewEncoder(&m.writer)
	}
	_ = m.encoders[key].Encode(rpc.Request{ServiceMethod: method})
	_ = m.encoders[key].Encode(args)
	_ = m.encoders[key+"<"].Encode(rpc.Response{ServiceMethod: method})
	if reply != nil {
		_ = m.encoders[key+"<"].Encode(reply)
	}
}

func forEachSize(b *testing.B, run func(b *testing.B, nodes, domains int)) {
	for _, shape := range []struct{ nodes, domains int }{{12, 4}, {120, 12}} {
		b.Run(fmt.Sprintf("nodes=%d", shape.nodes), func(b *testing.B) {
			RegisterTestingT(b)
			run(b, shape.nodes, shape.domains)
		})
	}
}

// BenchmarkTableUse counts the table's reads and commits for events of one node, and the control traffic of an idle
// system.
func BenchmarkTableUse(b *testing.B) {
	forEachSize(b, func(b *testing.B, nodes, domains int) {
		for range b.N {
			c := newCluster(1, nodes, domains, true)
			c.runUntil(30*time.Second, c.settled)
			c.run(10 * time.Second)
			c.report(b, "rest120s", func() { c.run(120 * time.Second) })
			c.meter = &meter{encoders: make(map[string]*gob.Encoder)}
			c.run(5 * time.Second)
			c.meter.writer.bytes = 0
			sent := c.sent()
			c.run(30 * time.Second)
			b.ReportMetric(float64(c.meter.writer.bytes)/30/float64(nodes), "control-B/node/s")
			b.ReportMetric(float64(c.sent()-sent)/30/float64(nodes), "calls/node/s")
			c.meter = nil
			c.report(b, "join", func() {
				c.add("late", "d00")
				c.run(10 * time.Second)
			})
			c.report(b, "death", func() {
				c.nodes[nodes/2].kill()
				c.run(10 * time.Second)
			})
			c.report(b, "drain", func() {
				c.nodes[nodes/3].StartLeaving()
				c.runUntil(20*time.Second, c.nodes[nodes/3].HasLeft)
				c.nodes[nodes/3].kill()
				c.run(10 * time.Second)
			})
		}
	})
}

func (c *cluster) report(b *testing.B, name string, f func()) {
	before := c.store.Counts()
	f()
	after := c.store.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes), name+"-commits")
	b.ReportMetric(float64(after.Reads-before.Reads), name+"-reads")
}

func (c *cluster) sent() int {
	sum := 0
	for _, n := range c.nodes {
		sum += n.sent
	}
	return sum
}

// BenchmarkUnavailable measures how long the keys of lost nodes are not served, over fixed seeds; the target is 5 s.
func BenchmarkUnavailable(b *testing.B) {
	forEachSize(b, func(b *testing.B, nodes, domains int) {
		seeds := uint64(480 / nodes)
		for _, loss := range []string{"node", "domain"} {
			b.Run("loss="+loss, func(b *testing.B) {
				RegisterTestingT(b)
				for range b.N {
					var took []time.Duration
					for seed := range seeds {
						took = append(took, measureLoss(seed, nodes, domains, loss == "domain")...)
					}
					slices.Sort(took)
					b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
					b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
					b.ReportMetric(float64(len(took)), "keys")
				}
			})
		}
	})
}

// measureLoss kills a node or its failure domain and returns how long each of the lost slots was not served.
func measureLoss(seed uint64, nodes, domains int, domain bool) []time.Duration {
	c := newSettledCluster(1000+seed, nodes, domains, true)
	c.run(time.Duration(c.random.IntN(2000)) * time.Millisecond)
	victim := c.nodes[c.random.IntN(nodes)]
	var unserved []ibisid.Slot
	for _, n := range slices.Clone(c.nodes) {
		if n == victim || domain && n.place == victim.place {
			for _, index := range n.pages.SlotsOf(testSlot(0).Space, n.Self().Member) {
				unserved = append(unserved, testSlot(int(index)))
			}
			n.kill()
		}
	}
	var took []time.Duration
	for passed := time.Duration(0); len(unserved) > 0 && passed < 30*time.Second; passed += pollInterval {
		unserved = slices.DeleteFunc(unserved, func(slot ibisid.Slot) bool {
			if len(c.admitters(slot)) == 0 {
				return false
			}
			took = append(took, passed)
			return true
		})
		c.run(pollInterval)
	}
	Expect(unserved).To(BeEmpty())
	return took
}
