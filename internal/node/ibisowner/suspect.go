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
func (k *Manager) notifyClaimants(suspects []ibisid.Member, now time.Time) {
	if k.config.SoleProcess && len(suspects) == 1 && suspects[0].Name == k.config.Name {
		k.declareEnded(suspects[0])
		return
	}
	var notices []notice
	chosen := make(map[string][]ibisid.Member)
	for _, m := range suspects {
		known := k.members[m.Name]
		if known == nil {
			k.suspect([]ibisid.Member{m}, 0, now)
			continue
		}
		key := ibislease.DeathsKey(known.row.Place.Domain, m.Name)
		to, ok := chosen[key]
		if !ok {
			to = k.claimantsOf(key, known.row.Place.Domain, suspects)
			chosen[key] = to
		}
		for rank, claimant := range to {
			notices = addNotice(notices, claimant, time.Duration(rank)*k.terms.Heartbeat/2, m)
		}
	}
	for _, n := range notices {
		k.sendNotice(n, now)
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
func (k *Manager) claimantsOf(key string, domain ibisid.DomainName, suspects []ibisid.Member) []ibisid.Member {
	var sameDomain, otherDomains []ibisid.Member
	for _, name := range k.names() {
		row := k.members[name].row
		if _, ok := k.currentMember(row.Member); !ok || slices.Contains(suspects, row.Member) {
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
		return []ibisid.Member{k.holder.Self()}
	}
	return ibislease.ChooseCoordinators(key, otherDomains, claimantsPerSuspect)
}

// sendNotice sends a notice; if the claimant does not answer, this node suspects the members itself.
func (k *Manager) sendNotice(n notice, now time.Time) {
	if n.to == k.holder.Self() {
		k.suspect(n.members, n.delay, now)
		return
	}
	address := k.members[n.to.Name].row.PeerAddress
	k.spawn(callTimeout, func(ctx context.Context) outcome {
		err := k.call(ctx, address, "Suspect", SuspectArgs{
			Members: n.members,
			Delay:   n.delay,
		}, &struct{}{})
		if err == nil {
			return nil
		}
		return func(now time.Time) { k.suspect(n.members, k.terms.Heartbeat, now) }
	})
}

func (k *Manager) suspect(members []ibisid.Member, delay time.Duration, now time.Time) {
	var open []ibisid.Member
	for _, m := range members {
		if _, dead := k.dead[m]; !dead {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return
	}
	k.updateLeaseCore(k.claimant, ibislease.SuspectEvent{
		Members: open,
		Delay:   delay,
	}, now)
}

// watchDirect suspects members that renew their leases in the table and have stopped, because no witness observes them.
func (k *Manager) watchDirect(now time.Time) {
	for _, name := range ibisset.Sorted(k.directMembers) {
		known := k.members[name]
		row := known.row
		if name == k.config.Name || now.Sub(known.changed) < k.terms.Term {
			continue
		}
		if _, ok := k.currentMember(row.Member); !ok {
			continue
		}
		key := ibislease.DeathsKey(row.Place.Domain, name)
		to := k.claimantsOf(key, row.Place.Domain, []ibisid.Member{row.Member})
		if rank := slices.Index(to, k.holder.Self()); rank >= 0 {
			k.suspect([]ibisid.Member{row.Member}, time.Duration(rank)*k.terms.Heartbeat/2, now)
		}
	}
}

// requestPromises asks a witness for its promises.
func (k *Manager) requestPromises(e ibislease.PromiseRequestEffect, now time.Time) {
	if e.Witness == k.holder.Self() {
		for _, effect := range k.witness.Update(ibislease.PromiseRequestEvent(e), now) {
			if p, ok := effect.(ibislease.PromisesEffect); ok {
				k.updateLeaseCore(k.claimant, ibislease.PromisesEvent(p), now)
			}
		}
		return
	}
	known, ok := k.currentMember(e.Witness)
	if !ok {
		k.countDeadWitness(e, now)
		return
	}
	address := known.row.PeerAddress
	k.spawn(callTimeout, func(ctx context.Context) outcome {
		var reply AskReply
		err := k.call(ctx, address, "Ask", AskArgs{
			Witness: e.Witness,
			Members: e.Members,
		}, &reply)
		if err != nil || len(reply.Promised) == 0 {
			return nil
		}
		return func(now time.Time) {
			k.updateLeaseCore(k.claimant, ibislease.PromisesEvent{
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
