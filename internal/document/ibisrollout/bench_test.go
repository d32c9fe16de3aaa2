package ibisrollout_test

import (
	"fmt"
	"testing"
	"time"
)

const changeEvery = 4500 * time.Millisecond

// BenchmarkSpread commits a change of 1 kB every 4.5 s. It reports the time until the change is in force on every node, the
// rate of reads of the table, and the bytes that a node sends and receives.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{120, 1200, 4800, 17000} {
		b.Run(fmt.Sprintf("%dNodes", size), func(b *testing.B) {
			var worst, total time.Duration
			var perNode, idle, reads float64
			changes := 0
			for i := 0; b.Loop(); i++ {
				c := newCluster(size, uint64(i+1))
				c.runUntilInForce(time.Minute)
				c.run(10 * time.Second)
				quiet := c.bytes()
				c.run(10 * time.Second)
				idle += float64(c.bytes()-quiet) / float64(size) / 10
				c.reads = 0
				start := c.now
				before := c.bytes()
				for range 4 {
					c.change(1000)
					took := c.runUntilInForce(time.Minute)
					worst = max(worst, took)
					total += took
					changes++
					c.run(changeEvery - took)
				}
				seconds := c.now.Sub(start).Seconds()
				reads += float64(c.reads) / seconds
				perNode += float64(c.bytes()-before) / float64(size) / seconds
			}
			runs := float64(changes) / 4
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(total.Seconds()/float64(changes), "mean-s")
			b.ReportMetric(reads/runs, "reads/s")
			b.ReportMetric(idle/runs, "idle-B/s/node")
			b.ReportMetric((perNode-idle)/runs*changeEvery.Seconds(), "B/change/node")
		})
	}
}

func (c *cluster) bytes() int {
	total := 0
	for _, m := range c.members {
		total += m.bytes
	}
	return total
}
