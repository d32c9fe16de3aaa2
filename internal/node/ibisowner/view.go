package ibisowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// candidatesPerDomain is the number of members of a failure domain among which the holder chooses its witness.
const candidatesPerDomain = 8

// viewIntervalPerMember is the least time between two rebuilds of the view per known member: 2 s at 17,000 members.
const viewIntervalPerMember = 120 * time.Microsecond

// membersView is an immutable snapshot of the live members for requests.
type membersView struct {
	generation uint64
	byMember   map[ibisid.Member]*Peer
	byService  map[ibisid.ServiceName][]Peer
}

func (m *Manager) publishSelf() {
	m.selfPeer.Store(&Peer{
		Member:  m.holder.Self(),
		Place:   m.config.Place,
		Address: m.config.PeerAddress,
		Service: m.service,
		Slots:   m.announced.Slots,
	})
}

// publishView builds and publishes the snapshot of the live members.
func (m *Manager) publishView() {
	view := &membersView{
		byMember:  make(map[ibisid.Member]*Peer, len(m.members)),
		byService: make(map[ibisid.ServiceName][]Peer),
	}
	if old := m.view.Load(); old != nil {
		view.generation = old.generation + 1
	}
	for _, name := range m.names() {
		row := m.members[name].row
		if _, ok := m.currentMember(row.Member); !ok {
			continue
		}
		p := Peer{
			Member:  row.Member,
			Place:   row.Place,
			Address: row.PeerAddress,
			Service: row.Announcement.Service,
			Slots:   row.Announcement.Slots,
		}
		if row.State == ibislease.StateLive && row.Announcement.Weight > 0 {
			view.byService[p.Service] = append(view.byService[p.Service], p)
		} else {
			view.byMember[p.Member] = &p
		}
	}
	for service, peers := range view.byService {
		peers = slices.Clip(slices.Clone(peers))
		view.byService[service] = peers
		for i := range peers {
			view.byMember[peers[i].Member] = &peers[i]
		}
	}
	m.view.Store(view)
}

// names returns the names of the known members in order.
func (m *Manager) names() []ibisid.NodeName {
	if len(m.sortedNames) != len(m.members) {
		m.sortedNames = m.sortedNames[:0]
		for name := range m.members {
			m.sortedNames = append(m.sortedNames, name)
		}
		slices.Sort(m.sortedNames)
	}
	return m.sortedNames
}

// refreshCandidates applies changes of the members to the view and the witness candidates. It runs less often with more
// members, because each run iterates over all of them.
func (m *Manager) refreshCandidates(now time.Time) {
	if !m.membersChanged || now.Before(m.nextView) {
		return
	}
	m.membersChanged = false
	m.nextView = now.Add(time.Duration(len(m.members)) * viewIntervalPerMember)
	m.publishView()
	m.updateLeaseCore(m.holder, ibislease.CandidatesEvent{
		Candidates: m.witnessCandidates(),
		LiveNodes:  len(m.members),
	}, now)
}

// witnessCandidates returns a few members of each failure domain, the same ones for as long as they live.
func (m *Manager) witnessCandidates() []ibislease.Candidate {
	self := ibisslot.MemberHash(m.holder.Self())
	byDomain := make(map[ibisid.DomainName][]ibislease.Candidate)
	var order []ibisid.DomainName
	for _, name := range m.names() {
		row := m.members[name].row
		_, ok := m.currentMember(row.Member)
		if !ok || row.State == ibislease.StateLeaving || name == m.config.Name {
			continue
		}
		domain := row.Place.Domain
		if byDomain[domain] == nil {
			order = append(order, domain)
		}
		byDomain[domain] = append(byDomain[domain], ibislease.Candidate{
			Member: row.Member,
			Place:  row.Place,
		})
	}
	var all []ibislease.Candidate
	for _, domain := range order {
		some := byDomain[domain]
		slices.SortFunc(some, func(a, b ibislease.Candidate) int {
			return cmp.Compare(
				ibisslot.MixHashes(self, ibisslot.MemberHash(a.Member)),
				ibisslot.MixHashes(self, ibisslot.MemberHash(b.Member)),
			)
		})
		all = append(all, some[:min(candidatesPerDomain, len(some))]...)
	}
	return all
}
