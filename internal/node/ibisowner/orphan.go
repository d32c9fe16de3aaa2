package ibisowner

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

const (
	// defaultWitnessGrace is how long a member whose own lease lapsed still renews the leases of others. It lets the
	// system recover from a short loss of the whole network without the table.
	defaultWitnessGrace = time.Minute
	// orphanCheckInterval is the time between two searches for members whose witnesses are dead.
	orphanCheckInterval = 5 * time.Second
)

// mayWitness reports whether the node may renew leases. A member that was declared dead stops once witnessGrace has
// passed since its last valid lease, even if it has not seen its death.
func (m *Manager) mayWitness(now time.Time) bool { return now.Sub(m.leaseLastValid) <= m.witnessGrace }

// countDeadWitness counts the promise of a witness that is dead in the table, once it can renew no lease any more and
// its last renewal has expired: after witnessGrace and one lease term, with the drift of two clocks.
func (m *Manager) countDeadWitness(e ibislease.PromiseRequestEffect, now time.Time) {
	gone, dead := m.dead[e.Witness]
	wait := time.Duration(float64(m.witnessGrace+m.terms.Term) * (1 + m.terms.Drift) / (1 - m.terms.Drift))
	if !dead || now.Sub(gone.observedAt) <= wait {
		return
	}
	m.updateLeaseCore(m.claimant, ibislease.PromisesEvent{
		Witness: e.Witness,
		Members: e.Members,
	}, now)
}

// watchOrphans suspects members with a majority of dead witnesses, which can report no missed heartbeat. A live member
// replaces dead witnesses at once, so only dead members stay in this state.
func (m *Manager) watchOrphans(now time.Time) {
	if now.Before(m.nextOrphanCheck) {
		return
	}
	m.nextOrphanCheck = now.Add(orphanCheckInterval)
	for _, name := range m.names() {
		known := m.members[name]
		if now.Sub(known.changed) < orphanCheckInterval || !m.lostWitnessMajority(known.row) {
			continue
		}
		key := ibislease.DeathsKey(known.row.Place.Domain, name)
		to := m.claimantsOf(key, known.row.Place.Domain, []ibisid.Member{known.row.Member})
		if rank := slices.Index(to, m.holder.Self()); rank >= 0 {
			m.suspect([]ibisid.Member{known.row.Member}, time.Duration(rank)*m.terms.Heartbeat/2, now)
		}
	}
}

func (m *Manager) lostWitnessMajority(row ibislease.Row) bool {
	if _, ok := m.currentMember(row.Member); !ok {
		return false
	}
	gone := 0
	for _, w := range row.Witnesses {
		if _, ok := m.currentMember(w); !ok {
			gone++
		}
	}
	return gone > len(row.Witnesses)/2
}
