package ibisplace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisplace")
}

type homeRules struct{ region ibisid.RegionName }

func (r homeRules) Allowed(space ibisid.SlotSpace, place ibisid.Place) bool {
	return space.Home == "" || place.Region == r.region
}

func (homeRules) Weight(ibisid.SlotSpace, ibisid.Place) float64 { return 1 }

func candidates(n int) []ibisplace.Candidate {
	out := make([]ibisplace.Candidate, n)
	for i := range out {
		out[i] = ibisplace.Candidate{
			Member: ibisid.Member{
				Name:        ibisid.NodeName(fmt.Sprintf("node-%d", i)),
				Incarnation: 1,
			},
			Place: ibisid.Place{
				Region: ibisid.RegionName(fmt.Sprintf("region-%d", i%12/3)),
				Domain: ibisid.DomainName(fmt.Sprintf("domain-%d", i%12)),
			},
			Weight: 1 + float64(i%2),
			Share:  1,
		}
	}
	return out
}

func initialPages(p *ibisplace.Placer, slots uint32) []*ibisslot.Page {
	pages := make([]*ibisslot.Page, ibisslot.PageCount(slots))
	for n := range pages {
		pages[n] = p.Initial(uint32(n))
	}
	return pages
}

func applyPages(m *ibisslot.Map, pages []*ibisslot.Page) {
	for _, page := range pages {
		Expect(m.Apply(page.WithVersion(page.Version() + 1))).To(BeTrue())
	}
}

var _ = Describe("Placer", func() {
	DescribeTable("keeps loads within the bound and standbys in other failure domains and in home regions, also after the loss of a domain",
		func(members int, slots uint32, home ibisid.TenantName) {
			space := ibisid.SlotSpace{
				Service: "print-floor",
				Home:    home,
			}
			rules := homeRules{region: "region-1"}
			all := candidates(members)
			m := ibisslot.NewMap()
			m.AddSpace(space, slots)
			applyPages(m, initialPages(ibisplace.New(space, slots, all, rules), slots))

			lost := all[4].Place.Domain
			places, live := map[ibisid.Member]ibisid.Place{}, []ibisplace.Candidate{}
			for _, c := range all {
				places[c.Member] = c.Place
				if c.Place.Domain != lost {
					live = append(live, c)
				}
			}
			isDead := func(member ibisid.Member) bool { return places[member].Domain == lost }
			placer := ibisplace.New(space, slots, live, rules)
			placer.CountLoads(m)
			for n := range ibisslot.PageCount(slots) {
				page, _ := m.Page(ibisslot.PageID{
					Space:  space,
					Number: n,
				})
				next, _ := placer.Takeover(page, isDead)
				Expect(next.ValidateReplacement(page)).To(Succeed())
				applyPages(m, []*ibisslot.Page{next})
			}
			newOwners := map[ibisid.Member]bool{}
			for i := range slots {
				a, ok := m.Locate(ibisid.Slot{
					Space: space,
					Index: ibisid.SlotIndex(i),
				})
				Expect(ok).To(BeTrue())
				Expect(rules.Allowed(space, places[a.Owner])).To(BeTrue())
				domains := map[ibisid.DomainName]bool{lost: true, places[a.Owner].Domain: true}
				for _, s := range a.Standbys {
					if !s.IsZero() {
						Expect(domains).NotTo(HaveKey(places[s].Domain))
						Expect(rules.Allowed(space, places[s])).To(BeTrue())
						domains[places[s].Domain] = true
					}
				}
				if a.Token > 1 {
					newOwners[a.Owner] = true
				}
			}
			for _, c := range live {
				Expect(placer.Load(c.Member)).To(BeNumerically("<=", placer.Limit(c.Member)))
			}
			Expect(len(newOwners)).To(BeNumerically(">", 1))
		},
		Entry("small", 24, uint32(64), ibisid.TenantName("")),
		Entry("with a home region", 48, uint32(1024), ibisid.TenantName("shops")),
		Entry("large", 600, uint32(8192), ibisid.TenantName("")),
	)

	It("drains a member to others without exceeding their limits", func() {
		space, slots, all := ibisid.SlotSpace{Service: "plot-registry"}, uint32(512), candidates(24)
		page := ibisplace.New(space, slots, all, homeRules{}).Initial(0)
		m := ibisslot.NewMap()
		m.AddSpace(space, slots)
		applyPages(m, []*ibisslot.Page{page})
		for i := range all {
			if all[i].Place.Domain == all[3].Place.Domain {
				all[i].Share = 0
			}
		}
		placer := ibisplace.New(space, slots, all, homeRules{})
		placer.CountLoads(m)
		targets := placer.Targets(page)
		for _, slot := range m.SlotsOf(space, all[3].Member) {
			target, ok := targets(int(slot))
			Expect(ok).To(BeTrue())
			Expect(placer.Limit(target)).To(BeNumerically(">=", max(1, placer.Load(target))))
		}
	})

	It("fills a joining member within the budget and then requests no more moves", func() {
		space, slots, all := ibisid.SlotSpace{Service: "plot-registry"}, uint32(4096), candidates(48)
		m := ibisslot.NewMap()
		m.AddSpace(space, slots)
		applyPages(m, initialPages(ibisplace.New(space, slots, all[:47], homeRules{}), slots))
		now, moved := time.Unix(0, 0), 0
		budget := ibisplace.NewBudget(30)
		for range 20 {
			placer := ibisplace.New(space, slots, all, homeRules{})
			placer.CountLoads(m)
			moves := placer.Rebalance(m, budget, now)
			Expect(len(moves)).To(BeNumerically("<=", 30))
			moved += len(moves)
			for _, move := range moves {
				page, _ := m.Page(ibisslot.PageID{
					Space:  space,
					Number: move.Slot.Page(),
				})
				i := int(move.Slot.Index) % ibisid.SlotsPerPage
				Expect(page.Slot(i).Owner).To(Equal(move.From))
				page.Assign(i, move.To, true)
				applyPages(m, []*ibisslot.Page{page})
			}
			now = now.Add(time.Minute)
		}
		joined := len(m.SlotsOf(space, all[47].Member))
		Expect(moved).To(BeNumerically("==", joined), "only the joining member receives slots")
		Expect(joined).To(BeNumerically(">=", 72), "at least 3/4 of its fair share")
	})
})
