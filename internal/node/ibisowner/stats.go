package ibisowner

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

// pruneInterval is the time between two searches for recorded deaths that are no longer needed.
const pruneInterval = time.Minute

type counts struct {
	takeovers atomic.Uint64
	moves     atomic.Uint64
	deaths    atomic.Uint64
	lapses    atomic.Uint64
	rejoins   atomic.Uint64
	unplaced  atomic.Uint64
	reads     atomic.Uint64
	commits   atomic.Uint64
	messages  atomic.Uint64
}

// Stats are the state and the counters of a manager for operators and metrics.
type Stats struct {
	// Member is the name and incarnation of the node.
	Member ibisid.Member `json:"member"`
	// State is the life cycle state in the node's member row.
	State ibislease.State `json:"state"`
	// Valid reports whether the lease is valid.
	Valid bool `json:"valid"`
	// Direct reports whether the lease is renewed in the table rather than by witnesses.
	Direct bool `json:"direct"`
	// Left is the remaining time of the lease, zero if it is not valid.
	Left time.Duration `json:"left"`
	// Witnesses are the members that renew the lease.
	Witnesses []ibisid.Member `json:"witnesses"`
	// OwnedSlots is the number of slots that the node owns.
	OwnedSlots int `json:"ownedSlots"`
	// Watched is the number of members whose leases the node renews.
	Watched int `json:"watched"`
	// Suspects is the number of members that the node is declaring dead.
	Suspects int `json:"suspects"`
	// Moving is the number of pages with slots that are being moved.
	Moving int `json:"moving"`
	// Members is the number of live members that the node has a row of.
	Members int `json:"members"`
	// Takeovers counts slots taken over from dead members.
	Takeovers uint64 `json:"takeovers"`
	// Moves counts slots handed to other members.
	Moves uint64 `json:"moves"`
	// Deaths counts members recorded as dead.
	Deaths uint64 `json:"deaths"`
	// Lapses counts how often the lease expired.
	Lapses uint64 `json:"lapses"`
	// Rejoins counts how often the node joined as a new incarnation since the start.
	Rejoins uint64 `json:"rejoins"`
	// HotKeys is the number of keys that the node owns apart from their slots: hot keys and keys placed by rules.
	HotKeys int `json:"hotKeys"`
	// Unplaced counts requests refused because a page already has too many keys with owners of their own.
	Unplaced uint64 `json:"unplaced"`
	// TableReads counts rows read from the table.
	TableReads uint64 `json:"tableReads"`
	// TableCommits counts commits sent to the table.
	TableCommits uint64 `json:"tableCommits"`
	// Messages counts control calls to other nodes.
	Messages uint64 `json:"messages"`
}

// Stats returns the current state and counters.
func (m *Manager) Stats() Stats {
	s := Stats{
		OwnedSlots:   m.holdings.count() - m.holdings.hotCount(),
		HotKeys:      m.holdings.hotCount(),
		Unplaced:     m.counts.unplaced.Load(),
		Members:      len(m.view.Load().byMember),
		Takeovers:    m.counts.takeovers.Load(),
		Moves:        m.counts.moves.Load(),
		Deaths:       m.counts.deaths.Load(),
		Lapses:       m.counts.lapses.Load(),
		Rejoins:      m.counts.rejoins.Load(),
		TableReads:   m.counts.reads.Load(),
		TableCommits: m.counts.commits.Load(),
		Messages:     m.counts.messages.Load(),
	}
	m.update(func(now time.Time) {
		row, _ := m.holder.Row()
		until, valid := m.holder.Valid(now)
		s.Member = m.holder.Self()
		s.State = row.State
		s.Valid = valid
		s.Direct = row.Direct
		s.Witnesses = row.Witnesses
		s.Watched = m.witness.Watched()
		s.Suspects = m.claimant.Suspects()
		s.Moving = len(m.batches)
		if valid {
			s.Left = until.Sub(now)
		}
	})
	return s
}

// RegisterMetrics registers the state and the counters as gauges in the set.
func (m *Manager) RegisterMetrics(set *metrics.Set) {
	gauge := func(name string, value func(Stats) float64) {
		set.NewGauge(name, func() float64 { return value(m.Stats()) })
	}
	gauge("ibis_lease_left_seconds", func(s Stats) float64 { return s.Left.Seconds() })
	gauge("ibis_lease_witnesses", func(s Stats) float64 { return float64(len(s.Witnesses)) })
	gauge("ibis_owned_slots", func(s Stats) float64 { return float64(s.OwnedSlots) })
	gauge("ibis_hot_keys", func(s Stats) float64 { return float64(s.HotKeys) })
	gauge("ibis_unplaced_requests_total", func(s Stats) float64 { return float64(s.Unplaced) })
	gauge("ibis_watched_members", func(s Stats) float64 { return float64(s.Watched) })
	gauge("ibis_members", func(s Stats) float64 { return float64(s.Members) })
	gauge("ibis_takeovers_total", func(s Stats) float64 { return float64(s.Takeovers) })
	gauge("ibis_moves_total", func(s Stats) float64 { return float64(s.Moves) })
	gauge("ibis_lapses_total", func(s Stats) float64 { return float64(s.Lapses) })
	gauge("ibis_rejoins_total", func(s Stats) float64 { return float64(s.Rejoins) })
	gauge("ibis_table_reads_total", func(s Stats) float64 { return float64(s.TableReads) })
	gauge("ibis_table_commits_total", func(s Stats) float64 { return float64(s.TableCommits) })
	gauge("ibis_control_messages_total", func(s Stats) float64 { return float64(s.Messages) })
}

// pruneDeaths lets the claimant remove those incarnations from the deaths rows that no page refers to and whose names
// have a later incarnation.
func (m *Manager) pruneDeaths(now time.Time) {
	if now.Before(m.nextPrune) {
		return
	}
	m.nextPrune = now.Add(pruneInterval)
	var prunable []ibisid.Member
	for member := range m.dead {
		known := m.members[member.Name]
		if known != nil && known.row.Member.Incarnation > member.Incarnation && !m.routes.hasMember(member) {
			prunable = append(prunable, member)
		}
	}
	sortMembers(prunable)
	m.updateLeaseCore(m.claimant, ibislease.PrunableEvent{Members: prunable}, now)
}
