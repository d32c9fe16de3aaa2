package ibisowner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

// claimantsPerSuspect is the number of nodes that get a report of a suspect; each waits for those of a higher rank.
const claimantsPerSuspect = 3

// notice is a batch of suspects for one claimant.
type notice struct {
	to      ibisid.Member
	delay   time.Duration
	members []ibisid.Member
}

// notifyClaimants reports suspects to the nodes that rendezvous hashing selects for the deaths rows of the suspects.
func (m *Manager) notifyClaimants(suspects []ibisid.Member, now time.Time) {
	if m.config.SoleProcess && len(suspects) == 1 && suspects[0].Name == m.config.Name {
		m.declareOwnIncarnationDead(suspects[0])
		return
	}
	var notices []notice
	chosen := make(map[string][]ibisid.Member)
	for _, member := range suspects {
		known := m.members[member.Name]
		if known == nil {
			m.suspect([]ibisid.Member{member}, 0, now)
			continue
		}
		key := ibislease.DeathsKey(known.row.Place.Domain, member.Name)
		to, ok := chosen[key]
		if !ok {
			to = m.claimantsOf(key, known.row.Place.Domain, suspects)
			chosen[key] = to
		}
		for rank, claimant := range to {
			notices = addNotice(notices, claimant, time.Duration(rank)*m.terms.Heartbeat/2, member)
		}
	}
	for _, n := range notices {
		m.sendNotice(n, now)
	}
}

func addNotice(notices []notice, to ibisid.Member, delay time.Duration, m ibisid.Member) []notice {
	for i := range notices {
		if notices[i].to == to && notices[i].delay == delay {
			notices[i].members = append(notices[i].members, m)
			return notices
		}
	}
	return append(notices, notice{
		to:      to,
		delay:   delay,
		members: []ibisid.Member{m},
	})
}

// claimantsOf returns the nodes that declare members of a deaths row dead, from other failure domains where possible.
func (m *Manager) claimantsOf(key string, domain ibisid.DomainName, suspects []ibisid.Member) []ibisid.Member {
	var sameDomain, otherDomains []ibisid.Member
	for _, name := range m.names() {
		row := m.members[name].row
		if _, ok := m.currentMember(row.Member); !ok || slices.Contains(suspects, row.Member) {
			continue
		}
		if row.Place.Domain == domain {
			sameDomain = append(sameDomain, row.Member)
		} else {
			otherDomains = append(otherDomains, row.Member)
		}
	}
	if len(otherDomains) == 0 {
		otherDomains = sameDomain
	}
	if len(otherDomains) == 0 {
		return []ibisid.Member{m.holder.Self()}
	}
	return ibislease.ChooseCoordinators(key, otherDomains, claimantsPerSuspect)
}

// sendNotice sends a notice; if the claimant does not answer, this node suspects the members itself.
func (m *Manager) sendNotice(n notice, now time.Time) {
	if n.to == m.holder.Self() {
		m.suspect(n.members, n.delay, now)
		return
	}
	address := m.members[n.to.Name].row.PeerAddress
	m.spawn(callTimeout, func(ctx context.Context) outcome {
		err := m.call(ctx, address, "Suspect", SuspectArgs{
			Members: n.members,
			Delay:   n.delay,
		}, &struct{}{})
		if err == nil {
			return nil
		}
		return func(now time.Time) { m.suspect(n.members, m.terms.Heartbeat, now) }
	})
}

func (m *Manager) suspect(members []ibisid.Member, delay time.Duration, now time.Time) {
	var undeclared []ibisid.Member
	for _, member := range members {
		if _, dead := m.dead[member]; !dead {
			undeclared = append(undeclared, member)
		}
	}
	if len(undeclared) == 0 {
		return
	}
	m.updateLeaseCore(m.claimant, ibislease.SuspectEvent{
		Members: undeclared,
		Delay:   delay,
	}, now)
}

// watchDirect suspects members that renew their leases in the table and have stopped, because no witness observes them.
func (m *Manager) watchDirect(now time.Time) {
	for _, name := range ibisset.Sorted(m.directMembers) {
		known := m.members[name]
		row := known.row
		if name == m.config.Name || now.Sub(known.changed) < m.terms.Term {
			continue
		}
		if _, ok := m.currentMember(row.Member); !ok {
			continue
		}
		key := ibislease.DeathsKey(row.Place.Domain, name)
		to := m.claimantsOf(key, row.Place.Domain, []ibisid.Member{row.Member})
		if rank := slices.Index(to, m.holder.Self()); rank >= 0 {
			m.suspect([]ibisid.Member{row.Member}, time.Duration(rank)*m.terms.Heartbeat/2, now)
		}
	}
}

// requestPromises asks a witness for its promises.
func (m *Manager) requestPromises(e ibislease.PromiseRequestEffect, now time.Time) {
	if e.Witness == m.holder.Self() {
		for _, effect := range m.witness.Update(ibislease.PromiseRequestEvent(e), now) {
			if p, ok := effect.(ibislease.PromisesEffect); ok {
				m.updateLeaseCore(m.claimant, ibislease.PromisesEvent(p), now)
			}
		}
		return
	}
	known, ok := m.currentMember(e.Witness)
	if !ok {
		m.countDeadWitness(e, now)
		return
	}
	address := known.row.PeerAddress
	m.spawn(callTimeout, func(ctx context.Context) outcome {
		var reply AskReply
		err := m.call(ctx, address, "Ask", AskArgs{
			Witness: e.Witness,
			Members: e.Members,
		}, &reply)
		if err != nil || len(reply.Promised) == 0 {
			return nil
		}
		return func(now time.Time) {
			m.updateLeaseCore(m.claimant, ibislease.PromisesEvent{
				Witness: e.Witness,
				Members: reply.Promised,
			}, now)
		}
	})
}

func sortMembers(members []ibisid.Member) {
	slices.SortFunc(members, func(a, b ibisid.Member) int {
		return cmp.Or(strings.Compare(string(a.Name), string(b.Name)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
