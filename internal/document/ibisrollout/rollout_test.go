package ibisrollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
)

func TestForce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisrollout")
}

// confirm records the confirmations of all watchers that the first node can reach.
func (c *cluster) confirm(a *ibisrollout.Acceptance) {
	tree := c.members[0].node.Tree()
	a.Live(tree.Domains())
	for _, domain := range tree.Domains() {
		name, _ := tree.Watcher(domain)
		watcher := c.byName[name]
		if watcher.paused || c.cutLink(c.members[0], watcher) {
			continue
		}
		a.Confirm(ibisrollout.ConfirmEvent{
			Domain:   domain,
			Revision: watcher.node.InForce().Revision(),
			Report:   watcher.node.Report(),
		})
	}
}

func inRegion(region int) func(*member) bool {
	return func(m *member) bool { return m.region == region }
}

var _ = Describe("Spread", func() {
	const limit = 16 * time.Second

	It("brings a change into force everywhere and reports it from every failure domain", func() {
		c := newCluster(600, 1)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.change(1000)
		a := ibisrollout.NewAcceptance(2, c.members[0].node.Tree().Domains())
		c.confirm(a)
		Expect(a.NotReached()).To(HaveLen(12))
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.run(5 * time.Second)
		c.confirm(a)
		Expect(a.NotReached()).To(BeEmpty())
		Expect(a.Lagging()).To(BeEmpty())
	})

	It("reaches a region that is cut off from the table through the other regions", func() {
		c := newCluster(240, 2)
		c.runUntilInForce(limit)
		c.cutTable = inRegion(2)
		c.change(100)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
	})

	It("lets a region that is cut off from all others serve its last revision, and names its failure domains as not reached", func() {
		c := newCluster(240, 3)
		c.runUntilInForce(limit)
		c.cutTable = inRegion(2)
		c.cutLink = func(from, to *member) bool { return (from.region == 2) != (to.region == 2) }
		c.change(100)
		c.run(time.Minute)
		for _, m := range c.members {
			Expect(m.node.Work(c.now)).To(Equal(ibisrollout.WorkTaken))
		}
		a := ibisrollout.NewAcceptance(2, nil)
		c.confirm(a)
		Expect(a.NotReached()).To(Equal([]ibisid.DomainName{"d06", "d07", "d08"}))
		c.cutLink = func(_, _ *member) bool { return false }
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.confirm(a)
		Expect(a.NotReached()).To(BeEmpty())
	})

	It("never goes back when the table is restored to an old state", func() {
		c := newCluster(120, 4)
		for range 5 {
			c.change(100)
		}
		c.runUntilInForce(limit)
		c.head = 2
		c.run(30 * time.Second)
		Expect(c.laggingNodes()).To(BeZero())
		Expect(c.revisionDecreased).To(BeFalse())
		Expect(c.members[0].node.RejectedLower() + c.rejectedLower()).To(BeNumerically(">", 0))
	})

	It("fetches the document from peers for a node that starts while the table is down", func() {
		c := newCluster(120, 5)
		c.runUntilInForce(limit)
		c.cutTable = func(*member) bool { return true }
		c.members[7].node = ibisrollout.New(c.members[7].peer.Name)
		Expect(c.members[7].node.Work(c.now)).To(Equal(ibisrollout.WorkNoDocument))
		c.updateMembers()
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		Expect(c.members[7].node.Work(c.now)).To(Equal(ibisrollout.WorkTaken))
	})

	It("takes no new work on a node that hears nobody, or that knows of a revision it cannot get", func() {
		c := newCluster(120, 6)
		c.runUntilInForce(limit)
		alone := c.members[9]
		c.cutTable = func(m *member) bool { return m == alone }
		c.cutLink = func(from, to *member) bool { return from == alone || to == alone }
		c.run(ibisrollout.SilenceLimit + time.Second)
		Expect(alone.node.Work(c.now)).To(Equal(ibisrollout.WorkSilent))
		c.change(100)
		c.cutLink = func(from, _ *member) bool { return from == alone }
		c.run(ibisrollout.BehindLimit + ibisrollout.ReadPeriod + time.Second)
		Expect(alone.node.Work(c.now)).To(Equal(ibisrollout.WorkBehind))
		c.cutLink = func(_, _ *member) bool { return false }
		c.runUntilInForce(limit)
		Expect(alone.node.Work(c.now)).To(Equal(ibisrollout.WorkTaken))
	})

	It("brings a change into force after all watchers are lost", func() {
		c := newCluster(120, 7)
		c.runUntilInForce(limit)
		tree := c.members[0].node.Tree()
		for _, domain := range tree.Domains() {
			name, _ := tree.Watcher(domain)
			c.byName[name].paused = true
		}
		c.run(3 * time.Second)
		c.updateMembers()
		c.change(100)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
	})

	It("converges after any loss, and no node ever goes back", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(36, rapid.Uint64().Draw(t, "seed"))
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				c.change(rapid.IntRange(1, 400_000).Draw(t, "size"))
				lost := rapid.IntRange(0, 100).Draw(t, "lost")
				c.cutLink = func(_, _ *member) bool { return c.rng.IntN(100) < lost }
				c.cutTable = func(*member) bool { return c.rng.IntN(100) < lost }
				c.head = rapid.IntRange(1, len(c.records)).Draw(t, "head")
				c.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait")) * time.Millisecond)
			}
			c.head = len(c.records)
			c.cutLink = func(_, _ *member) bool { return false }
			c.cutTable = func(*member) bool { return false }
			if took := c.runUntilInForce(limit); took >= limit || c.revisionDecreased {
				t.Fatalf("after %s %d nodes lag; a revision was lowered: %v", took, c.laggingNodes(), c.revisionDecreased)
			}
		})
	})
})

func (c *cluster) rejectedLower() int {
	refused := 0
	for _, m := range c.members {
		refused += m.node.RejectedLower()
	}
	return refused
}
