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

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisrollout")
}

// confirm records the confirmations of all watchers that the first node can reach.
func (c *cluster) confirm(a *ibisrollout.Rollout) {
	tree := c.members[0].replica.Tree()
	a.SetLiveDomains(tree.Domains())
	for _, domain := range tree.Domains() {
		name, _ := tree.Watcher(domain)
		watcher := c.byName[name]
		if watcher.paused || c.cutLink(c.members[0], watcher) {
			continue
		}
		a.Confirm(ibisrollout.ConfirmEvent{
			Domain:   domain,
			Revision: watcher.replica.InForce().Revision(),
			Report:   watcher.replica.Report(),
		})
	}
}

func inRegion(region int) func(*member) bool {
	return func(m *member) bool { return m.region == region }
}

var _ = Describe("Rollout", func() {
	const limit = 16 * time.Second

	It("brings a change into force everywhere and reports it from every failure domain", func() {
		c := newCluster(600, 1)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.change(1000)
		a := ibisrollout.NewRollout(2, c.members[0].replica.Tree().Domains())
		c.confirm(a)
		Expect(a.UnconfirmedDomains()).To(HaveLen(12))
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.run(5 * time.Second)
		c.confirm(a)
		Expect(a.UnconfirmedDomains()).To(BeEmpty())
		Expect(a.Lagging()).To(BeEmpty())
	})

	It("reaches a region that is cut off from the table through the other regions", func() {
		c := newCluster(240, 2)
		c.runUntilInForce(limit)
		c.cutTable = inRegion(2)
		c.change(100)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
	})

	It("keeps a region that is cut off from all others serving its last revision, and lists its failure domains as not reached", func() {
		c := newCluster(240, 3)
		c.runUntilInForce(limit)
		c.cutTable = inRegion(2)
		c.cutLink = func(from, to *member) bool { return (from.region == 2) != (to.region == 2) }
		c.change(100)
		c.run(time.Minute)
		for _, m := range c.members {
			Expect(m.replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkAccepted))
		}
		a := ibisrollout.NewRollout(2, nil)
		c.confirm(a)
		Expect(a.UnconfirmedDomains()).To(Equal([]ibisid.DomainName{"d06", "d07", "d08"}))
		c.cutLink = func(_, _ *member) bool { return false }
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		c.confirm(a)
		Expect(a.UnconfirmedDomains()).To(BeEmpty())
	})

	It("never applies a lower revision after the table is restored to an old state", func() {
		c := newCluster(120, 4)
		for range 5 {
			c.change(100)
		}
		c.runUntilInForce(limit)
		c.head = 2
		c.run(30 * time.Second)
		Expect(c.laggingNodes()).To(BeZero())
		Expect(c.revisionDecreased).To(BeFalse())
		Expect(c.members[0].replica.RejectedLower() + c.rejectedLower()).To(BeNumerically(">", 0))
	})

	It("fetches the document from peers for a node that starts while the table is down", func() {
		c := newCluster(120, 5)
		c.runUntilInForce(limit)
		c.cutTable = func(*member) bool { return true }
		c.members[7].replica = ibisrollout.NewReplica(c.members[7].peer.Name)
		Expect(c.members[7].replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkNoDocument))
		c.updateMembers()
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
		Expect(c.members[7].replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkAccepted))
	})

	It("accepts no new work on a node that receives no versions, or that cannot fetch a known newer revision", func() {
		c := newCluster(120, 6)
		c.runUntilInForce(limit)
		isolated := c.members[9]
		c.cutTable = func(m *member) bool { return m == isolated }
		c.cutLink = func(from, to *member) bool { return from == isolated || to == isolated }
		c.run(ibisrollout.SilenceLimit + time.Second)
		Expect(isolated.replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkSilent))
		c.change(100)
		c.cutLink = func(from, _ *member) bool { return from == isolated }
		c.run(ibisrollout.BehindLimit + ibisrollout.ReadPeriod + time.Second)
		Expect(isolated.replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkBehind))
		c.cutLink = func(_, _ *member) bool { return false }
		c.runUntilInForce(limit)
		Expect(isolated.replica.WorkStatusAt(c.now)).To(Equal(ibisrollout.WorkAccepted))
	})

	It("brings a change into force after all watchers are lost", func() {
		c := newCluster(120, 7)
		c.runUntilInForce(limit)
		tree := c.members[0].replica.Tree()
		for _, domain := range tree.Domains() {
			name, _ := tree.Watcher(domain)
			c.byName[name].paused = true
		}
		c.run(3 * time.Second)
		c.updateMembers()
		c.change(100)
		Expect(c.runUntilInForce(limit)).To(BeNumerically("<", limit))
	})

	It("converges after any loss, and never lowers the revision of a node", func() {
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
	rejected := 0
	for _, m := range c.members {
		rejected += m.replica.RejectedLower()
	}
	return rejected
}
