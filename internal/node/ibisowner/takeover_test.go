package ibisowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

var _ = Describe("the successor of an owner whose backend server checks no grants", func() {
	var (
		successor *testNode
		former    ibisid.Member
		slot      ibisid.Slot
		page      *ibisslot.Page
	)

	BeforeEach(func() {
		c := newSettledCluster(1, 4, 4, false)
		successor = c.nodes[0]
		former = c.nodes[1].Self().Member
		slot = c.nodes[1].anyOwnedSlot()
		page, _ = successor.routes.page(ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		})
	})

	// reassigned returns a later page in which the slot was assigned to each of the members in turn.
	reassigned := func(page *ibisslot.Page, owners ...ibisid.Member) *ibisslot.Page {
		next := page.WithVersion(page.Version() + 1)
		for _, owner := range owners {
			next.Assign(int(slot.Index%ibisid.SlotsPerPage), owner, false)
		}
		return next
	}

	It("waits for the orders of the last live owner when a page assigned the slot to a dead member", func() {
		successor.update(func(now time.Time) {
			dead := successor.cluster.nodes[2].Self().Member
			assignedAt := now.Add(5 * time.Second)
			successor.markDead([]ibisid.Member{dead}, false, now)
			toDead := reassigned(page, dead)
			successor.applyPage(toDead, assignedAt)
			successor.applyPage(reassigned(toDead, successor.Self().Member), assignedAt.Add(100*time.Millisecond))
			Expect(successor.holdings.get(slot).readyAt).To(BeTemporally(">=", assignedAt.Add(2*time.Second)))
		})
	})

	It("waits for the orders of an owner whose page it never read", func() {
		successor.update(func(now time.Time) {
			successor.markDead([]ibisid.Member{former}, false, now)
			unseen := successor.cluster.nodes[2].Self().Member
			assignedAt := now.Add(5 * time.Second)
			successor.applyPage(reassigned(page, unseen, successor.Self().Member), assignedAt)
			Expect(successor.holdings.get(slot).readyAt).To(BeTemporally(">=", assignedAt.Add(2*time.Second)))
		})
	})
})
