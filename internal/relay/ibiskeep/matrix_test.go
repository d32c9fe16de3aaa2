package ibiskeep_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// flow is something that ownership goes through, begun in a world that has settled.
type flow struct {
	name  string
	begin func(w *world)
	// end makes the world whole again where the flow took something away for good.
	end func(w *world)
}

// cellFault goes wrong at a commit of a flow; it may change what becomes of the commit.
type cellFault struct {
	name string
	hit  func(w *world, n *node) fate
}

// fate is what becomes of the commit at which a fault hits.
type fate int

const (
	fateApplied fate = iota
	fateUnsent
	fateAnswerLost
	fateLate
)

// steps is how many commits of a flow are hit, one after the other; few flows have more.
const steps = 3

func flows() []flow {
	return []flow{
		{name: "renew", begin: func(*world) {}},
		{name: "drain", begin: func(w *world) { w.nodes[1].server.leaving = true }, end: func(w *world) { w.reborn(w.nodes[1]) }},
		{name: "server ends", begin: func(w *world) { w.crash(w.nodes[1], true, time.Hour) }, end: func(w *world) { w.reborn(w.nodes[1]) }},
		{name: "node and server are lost", begin: func(w *world) {
			w.nodes[1].up = false
			w.crash(w.nodes[1], false, time.Hour)
		}, end: func(w *world) {
			w.boot(w.nodes[1])
			w.reborn(w.nodes[1])
		}},
		{name: "server joins", begin: func(w *world) {
			n := &node{name: "n9"}
			w.nodes = append(w.nodes, n)
			w.boot(n)
			w.startServer(n, "s9")
		}},
		{name: "domain out", begin: func(w *world) { w.setOut(w.nodes[2], true) }, end: func(w *world) { w.setOut(w.nodes[2], false) }},
	}
}

func cellFaults() []cellFault {
	return []cellFault{
		{name: "nothing", hit: func(*world, *node) fate { return fateApplied }},
		{name: "answer lost", hit: func(*world, *node) fate { return fateAnswerLost }},
		{name: "applied late", hit: func(*world, *node) fate { return fateLate }},
		{name: "not sent", hit: func(*world, *node) fate { return fateUnsent }},
		{name: "node killed after it", hit: func(w *world, n *node) fate {
			n.up = false
			w.after(time.Second, func() { w.boot(n) })
			return fateApplied
		}},
		{name: "node killed before it arrives", hit: func(w *world, n *node) fate {
			n.up = false
			w.after(time.Second, func() { w.boot(n) })
			return fateLate
		}},
		{name: "node suspended", hit: func(w *world, n *node) fate {
			n.frozen = w.now.Add(12 * time.Second)
			return fateApplied
		}},
		{name: "node cut from the store", hit: func(w *world, n *node) fate {
			n.cut = true
			w.after(12*time.Second, func() { n.cut = false })
			return fateAnswerLost
		}},
		{name: "own server ends", hit: func(w *world, n *node) fate {
			if n.server != nil && n.server.up {
				w.crash(n, true, time.Second)
			}
			return fateApplied
		}},
	}
}

// reborn starts a server where none takes work.
func (w *world) reborn(n *node) {
	if n.server.up && !n.server.leaving {
		return
	}
	n.server.up = false
	w.startServer(n, n.server.life.ID+"'")
}

// setOut takes a node's failure domain out, or in again, for every node.
func (w *world) setOut(n *node, out bool) {
	domain := ibisid.DomainName("d-" + string(n.name))
	n.domain = domain
	w.out = make(ibisset.Set[ibisid.DomainName])
	if out {
		w.out.Add(domain)
	}
	for _, other := range w.nodes {
		w.update(other, ibiskeep.MembersEvent{Members: w.members()})
		w.update(other, ibiskeep.PolicyEvent{Sharded: true, Out: w.out})
	}
}

// cell plays one flow with one fault at one of its commits and returns what was broken.
func cell(f flow, step int, fault cellFault) []string {
	w := newWorld(uint64(step), 4)
	w.lateBeats = 0
	w.run(12 * time.Second)
	seen := 0
	w.intercept = func(n *node) fate {
		seen++
		if seen != step {
			return fateApplied
		}
		return fault.hit(w, n)
	}
	f.begin(w)
	for range 25 {
		w.run(time.Second)
		w.check()
	}
	if f.end != nil {
		f.end(w)
	}
	w.run(15 * time.Second)
	w.check()
	if w.served() != ibiskeep.Keys {
		w.broken = append(w.broken, fmt.Sprintf("%d of %d keys are served", w.served(), ibiskeep.Keys))
	}
	return w.broken
}

var _ = Describe("Every fault at every commit of every flow of ownership", func() {
	for _, f := range flows() {
		It("leaves one holder a key, tokens that rise, and every key served in the end: "+f.name, func() {
			for step := 1; step <= steps; step++ {
				for _, fault := range cellFaults() {
					Expect(cell(f, step, fault)).To(BeEmpty(), "%s, commit %d, %s", f.name, step, fault.name)
				}
			}
		})
	}

	// What the promises rest on is taken away, one at a time: single faults or their mixes must show it.
	DescribeTable("finds a keeper whose commits lack a condition",
		func(table string) {
			without := func(c *ibisstore.Commit) {
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
				w := newWorld(seed, 4)
				w.mutate = without
				w.run(6 * time.Second)
				for range 14 {
					w.fault()
					w.run(time.Duration(w.random.Int64N(int64(5 * time.Second))))
					w.check()
				}
				if len(w.broken) > 0 {
					return
				}
			}
			Fail("nothing is broken without the condition on " + table)
		},
		Entry("on the page", ibiskeep.TablePages),
		Entry("on the lost node's lease", ibiskeep.TableLeases),
	)
})
