package ibisrange_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// operation is a change that affects ownership, started when the simulation is in a steady state.
type operation struct {
	name  string
	start func(sim *simulation)
	// restore brings back what the operation removed permanently, nil if it removed nothing.
	restore func(sim *simulation)
}

// faultCase is a fault that is injected at one commit of an operation.
type faultCase struct {
	name string
	// inject causes the fault at the node that commits and returns how the commit is handled.
	inject func(sim *simulation, n *node) commitHandling
}

// commitHandling is how the simulated store handles a commit.
type commitHandling int

const (
	commitApplied commitHandling = iota
	commitNotSent
	commitAnswerLost
	commitAppliedLate
)

// maxFaultedCommits is the number of commits of an operation at which faults are injected, one per run; few operations have
// more commits.
const maxFaultedCommits = 3

func operations() []operation {
	return []operation{
		{name: "renew", start: func(*simulation) {}},
		{name: "drain", start: func(sim *simulation) { sim.nodes[1].server.leaving = true }, restore: func(sim *simulation) { sim.replaceServer(sim.nodes[1]) }},
		{name: "backend server ends", start: func(sim *simulation) { sim.crashServer(sim.nodes[1], true, time.Hour) }, restore: func(sim *simulation) { sim.replaceServer(sim.nodes[1]) }},
		{name: "node and backend server are lost", start: func(sim *simulation) {
			sim.nodes[1].running = false
			sim.crashServer(sim.nodes[1], false, time.Hour)
		}, restore: func(sim *simulation) {
			sim.startNode(sim.nodes[1])
			sim.replaceServer(sim.nodes[1])
		}},
		{name: "backend server joins", start: func(sim *simulation) {
			sim.addNode("9")
		}},
		{name: "domain excluded", start: func(sim *simulation) { sim.setExcluded(sim.nodes[2], true) }, restore: func(sim *simulation) { sim.setExcluded(sim.nodes[2], false) }},
	}
}

func faultCases() []faultCase {
	return []faultCase{
		{name: "nothing", inject: func(*simulation, *node) commitHandling { return commitApplied }},
		{name: "answer lost", inject: func(*simulation, *node) commitHandling { return commitAnswerLost }},
		{name: "applied late", inject: func(*simulation, *node) commitHandling { return commitAppliedLate }},
		{name: "not sent", inject: func(*simulation, *node) commitHandling { return commitNotSent }},
		{name: "node killed after the commit", inject: func(sim *simulation, n *node) commitHandling {
			n.running = false
			sim.after(time.Second, func() { sim.startNode(n) })
			return commitApplied
		}},
		{name: "node killed before the commit arrives", inject: func(sim *simulation, n *node) commitHandling {
			n.running = false
			sim.after(time.Second, func() { sim.startNode(n) })
			return commitAppliedLate
		}},
		{name: "node suspended", inject: func(sim *simulation, n *node) commitHandling {
			n.suspendedUntil = sim.now.Add(12 * time.Second)
			return commitApplied
		}},
		{name: "node disconnected from the store", inject: func(sim *simulation, n *node) commitHandling {
			n.storeUnreachable = true
			sim.after(12*time.Second, func() { n.storeUnreachable = false })
			return commitAnswerLost
		}},
		{name: "the node's own backend server ends", inject: func(sim *simulation, n *node) commitHandling {
			if n.server != nil && n.server.running {
				sim.crashServer(n, true, time.Second)
			}
			return commitApplied
		}},
	}
}

// replaceServer starts a new backend server beside the node unless one there accepts work.
func (sim *simulation) replaceServer(n *node) {
	if n.server.running && !n.server.leaving {
		return
	}
	n.server.running = false
	sim.startServer(n, n.server.incarnation.ID+"'")
}

// setExcluded excludes a node's failure domain, or includes it again, at every node.
func (sim *simulation) setExcluded(n *node, excluded bool) {
	domain := ibisid.DomainName("d-" + string(n.name))
	n.domain = domain
	sim.excludedDomains = make(ibisset.Set[ibisid.DomainName])
	if excluded {
		sim.excludedDomains.Add(domain)
	}
	for _, other := range sim.nodes {
		sim.update(other, ibisrange.MembersEvent{Members: sim.members()})
		sim.update(other, ibisrange.PolicyEvent{Sharded: true, OutDomains: sim.excludedDomains})
	}
}

// runWithFault runs an operation with a fault at the commit with the given ordinal and returns the violations.
func runWithFault(delivery ibisrange.Delivery, op operation, ordinal int, fault faultCase) []string {
	sim := newSimulation(uint64(ordinal), 4, delivery)
	sim.lateHeartbeatShare = 0
	sim.run(12 * time.Second)
	seen := 0
	sim.commitFault = func(n *node) commitHandling {
		seen++
		if seen != ordinal {
			return commitApplied
		}
		return fault.inject(sim, n)
	}
	op.start(sim)
	for range 25 {
		sim.run(time.Second)
		sim.checkSoleHolders()
	}
	if op.restore != nil {
		op.restore(sim)
	}
	sim.run(15 * time.Second)
	sim.checkSoleHolders()
	return sim.withUnserved()
}

var _ = Describe("Every fault at every commit of every ownership operation", func() {
	for _, delivery := range deliveries {
		for _, op := range operations() {
			It(fmt.Sprintf("leaves one holder per key, increasing tokens and, in the end, every key served: %s, by %s", op.name, delivery), func() {
				faults := faultCases()
				found := inParallel(maxFaultedCommits*len(faults), func(i int) []string {
					return runWithFault(delivery, op, 1+i/len(faults), faults[i%len(faults)])
				})
				for i, violations := range found {
					Expect(violations).To(BeEmpty(), "%s, commit %d, %s", op.name, 1+i/len(faults), faults[i%len(faults)].name)
				}
			})
		}
	}

	// Verifies that the simulation detects faults: each condition on which sole ownership depends is removed in turn, and random
	// faults must reveal it.
	DescribeTable("detects managers whose commits lack a condition",
		func(delivery ibisrange.Delivery, table string) {
			dropCondition := func(c *ibisstore.Commit) {
				var kept []ibisstore.Condition
				for _, condition := range c.Conditions {
					if condition.Key.Table != table {
						kept = append(kept, condition)
					}
				}
				c.Conditions = kept
			}
			const seeds = 60
			for seed := range uint64(seeds) {
				sim := newSimulation(seed, 4, delivery)
				sim.editCommit = dropCondition
				sim.run(6 * time.Second)
				for range 14 {
					sim.injectFault()
					sim.run(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
					sim.checkSoleHolders()
				}
				if len(sim.violations) > 0 {
					return
				}
			}
			Fail("no violation found without the condition on " + table)
		},
		Entry("on the page, by heartbeat", ibisrange.DeliveryHeartbeat, ibisrange.TablePages),
		Entry("on the lost node's lease, by heartbeat", ibisrange.DeliveryHeartbeat, ibisrange.TableLeases),
		Entry("on the page, by call", ibisrange.DeliveryCall, ibisrange.TablePages),
		Entry("on the lost node's lease, by call", ibisrange.DeliveryCall, ibisrange.TableLeases),
	)
})
