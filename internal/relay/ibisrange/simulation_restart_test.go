package ibisrange_test

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
)

// restartAmidLateMessages kills a node and starts it again shortly after, while heartbeats arrive late, commits are carried out
// late, and an exclusion of its failure domain begins or is taken back.
func (sim *simulation) restartAmidLateMessages(n *node) {
	moment := func(most time.Duration) time.Duration { return time.Duration(sim.random.Int64N(int64(most))) }
	sim.lateHeartbeatShare, sim.lostAnswerShare = 0.3, 0.4
	excludeAt := moment(4 * time.Second)
	sim.after(excludeAt, func() { sim.exclude(n.domain, true) })
	sim.after(excludeAt+500*time.Millisecond+moment(3*time.Second), func() { sim.exclude(n.domain, false) })
	sim.after(moment(5*time.Second), func() {
		n.running = false
		sim.after(300*time.Millisecond+moment(700*time.Millisecond), func() {
			if !n.running {
				sim.startNode(n)
			}
		})
	})
	sim.after(5*time.Second, func() { sim.lateHeartbeatShare, sim.lostAnswerShare = 0.03, 0 })
}

// exclude sets whether operators exclude a failure domain.
func (sim *simulation) exclude(domain ibisid.DomainName, excluded bool) {
	if excluded {
		sim.excludedDomains.Add(domain)
	} else {
		sim.excludedDomains.Remove(domain)
	}
	for _, n := range sim.nodes {
		sim.update(n, ibisrange.PolicyEvent{Sharded: true, OutDomains: sim.excludedDomains})
	}
}
