package ibisowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

var _ = Describe("an heir of a backend server that checks no grants", func() {
	var (
		heir   *testNode
		former ibisid.Member
		slot   ibisid.Slot
		page   *ibisslot.Page
	)

	BeforeEach(func() {
		c := ready(1, 4, 4, false)
		heir = c.nodes[0]
		former = c.nodes[1].Self().Member
		slot = c.nodes[1].owned()
		page, _ = heir.routes.page(ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		})
	})

	// given returns a later page in which the slot has gone to each of the members in turn.
	given := func(page *ibisslot.Page, owners ...ibisid.Member) *ibisslot.Page {
		next := page.WithVersion(page.Version() + 1)
		for _, owner := range owners {
			next.Assign(int(slot.Index%ibisid.SlotsPerPage), owner, false)
		}
		return next
	}

	It("waits for the orders of the owner before one that was dead already when it was named", func() {
		heir.update(func(now time.Time) {
			dead := heir.cluster.nodes[2].Self().Member
			named := now.Add(5 * time.Second)
			heir.died([]ibisid.Member{dead}, false, now)
			toDead := given(page, dead)
			heir.takePage(toDead, named)
			heir.takePage(given(toDead, heir.Self().Member), named.Add(100*time.Millisecond))
			Expect(heir.holdings.get(slot).ready).To(BeTemporally(">=", named.Add(2*time.Second)))
		})
	})

	It("waits for the orders of an owner whose page it never saw", func() {
		heir.update(func(now time.Time) {
			heir.died([]ibisid.Member{former}, false, now)
			unseen := heir.cluster.nodes[2].Self().Member
			named := now.Add(5 * time.Second)
			heir.takePage(given(page, unseen, heir.Self().Member), named)
			Expect(heir.holdings.get(slot).ready).To(BeTemporally(">=", named.Add(2*time.Second)))
		})
	})
})
