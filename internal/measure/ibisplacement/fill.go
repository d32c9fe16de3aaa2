package ibisplacement

import (
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// Anywhere lets every member own slots of every space, with the same weight.
type Anywhere struct{}

// Allowed reports true.
func (Anywhere) Allowed(ibisid.SlotSpace, ibisid.Place) bool { return true }

// Weight returns one.
func (Anywhere) Weight(ibisid.SlotSpace, ibisid.Place) float64 { return 1 }

// Members returns candidates with the numbers from up to to, dealt over the failure domains.
func Members(from, to, domains int) []ibisplace.Candidate {
	var out []ibisplace.Candidate
	for i := from; i < to; i++ {
		out = append(out, ibisplace.Candidate{
			Member: ibisid.Member{
				Name:        ibisid.NodeName(fmt.Sprintf("node-%05d", i)),
				Incarnation: 1,
			},
			Place: ibisid.Place{
				Domain: ibisid.DomainName(fmt.Sprintf("domain-%d", i%domains)),
			},
			Weight: 1,
			Share:  1,
		})
	}
	return out
}

// Fill returns a map of a new space whose slots are placed on the members.
func Fill(space ibisid.SlotSpace, slots uint32, all []ibisplace.Candidate) *ibisslot.Map {
	m := ibisslot.NewMap()
	m.AddSpace(space, slots)
	placer := ibisplace.New(space, slots, all, Anywhere{})
	for n := range ibisslot.PageCount(slots) {
		m.Apply(placer.Initial(n).WithVersion(1))
	}
	m.SlotsOf(space, all[0].Member)
	return m
}

// Imbalance returns the greatest number of slots of a member as a multiple of the mean.
func Imbalance(m *ibisslot.Map, space ibisid.SlotSpace, live []ibisplace.Candidate) float64 {
	most := 0
	for _, c := range live {
		most = max(most, len(m.SlotsOf(space, c.Member)))
	}
	return float64(most) * float64(len(live)) / float64(m.Slots(space))
}
