package ibiscapacity

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisplacement"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	domains = 12
	regions = 4
	// slotsPerNode is the number of slots of a node at full size, 2^18 over 17,000 nodes, rounded up.
	slotsPerNode = 16
	// service is the service of the members.
	service = ibisid.ServiceName("print-floor")
	// ownRow is the number of the member whose node is measured.
	ownRow = 0
)

// state is the rows of a system of a given size.
type state struct {
	members []ibisplace.Candidate
	rows    []ibisplatform.Row
	pages   []ibisplatform.Row
	slots   uint32
}

// newState returns the rows of members that own the slots of one space.
func newState(nodes int) *state {
	slots := uint32(1) << (bits.Len(uint(nodes*slotsPerNode)) - 1)
	s := &state{
		members: ibisplacement.Members(0, nodes, domains),
		slots:   min(slots, ibisid.MaxSlots),
	}
	for i := range s.members {
		s.members[i].Place = placeOf(i)
		s.members[i].Member.Incarnation = ibisid.Incarnation(startTime * 1e9)
	}
	for i := range s.members {
		s.rows = append(s.rows, tableRow(i, ibislease.RowKey(s.members[i].Member.Name), s.memberRow(i, 0).Encode()))
	}
	s.addPages()
	return s
}

func placeOf(i int) ibisid.Place {
	domain := i % domains
	return ibisid.Place{
		Region: ibisid.RegionName(fmt.Sprintf("region-%d", domain%regions)),
		Domain: ibisid.DomainName(fmt.Sprintf("domain-%02d", domain)),
	}
}

// memberRow returns the row of a live member whose witnesses follow it in order; later ones for a later turn.
func (s *state) memberRow(i, turn int) ibislease.Row {
	row := ibislease.Row{
		Member:        s.members[i].Member,
		Place:         s.members[i].Place,
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
		State:         ibislease.StateLive,
		Announcement: ibislease.Announcement{
			Service:      service,
			ChecksGrants: true,
			Weight:       1,
			Slots:        slotsPerServer,
		},
	}
	for k := range 3 {
		row.Witnesses = append(row.Witnesses, s.members[(i+1+k+turn*domains)%len(s.members)].Member)
	}
	return row
}

func (s *state) addPages() {
	space := ibisid.SlotSpace{Service: service}
	placer := ibisplace.New(space, s.slots, s.members, ibisplacement.Anywhere{})
	for n := range ibisslot.PageCount(s.slots) {
		page := placer.Initial(n)
		s.pages = append(s.pages, tableRow(int(n), page.ID().RowKey(), page.Encode()))
	}
}

func tableRow(number int, key string, value []byte) ibisplatform.Row {
	return ibisplatform.Row{
		Key:      key,
		Value:    value,
		Version:  1,
		CommitID: fmt.Sprintf("018c0000-0000-7000-8000-%012x", number),
	}
}

// bytes is the size of all rows: keys, values and commit ids.
func (s *state) bytes() int {
	n := 0
	for _, row := range slices.Concat(s.rows, s.pages) {
		n += len(row.Key) + len(row.Value) + len(row.CommitID)
	}
	return n
}
