package ibisrange

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// takeoverSlack is added to the term of a lease before its owner's ranges are taken over; it covers the drift of the
	// store's clock.
	takeoverSlack = 500 * time.Millisecond
	// aliveWithinRenewals is the number of missed renewals after which a node gets no more ranges. It spans two reads of most
	// nodes, which read the leases only at every second renewal.
	aliveWithinRenewals = 4
	// maxUntilMs is the greatest reading of the store's clock in milliseconds that is a time.Duration.
	maxUntilMs = math.MaxInt64 / int64(time.Millisecond)
	// maxUnansweredRenewals is how many renewals without an answer are kept, as they may have taken effect.
	maxUnansweredRenewals = 8
)

// lease is the node's own lease.
type lease struct {
	// version is the version of the lease's row, zero if no row is known.
	version uint64
	// outdated means that a handover was refused because the row has another version, which the next renewal finds out.
	outdated bool
	until    time.Time
	// validSince is when the lease became valid after it last lapsed.
	validSince time.Time
	// sentAt is when the last renewal that is known to have taken effect was sent.
	sentAt     time.Time
	renewal    *renewal
	unanswered []renewal
	retryAt    time.Time
	// toldEra is the latest era in which the row says what the backend server may hold.
	toldEra uint64
	// toldUnnamed means that the row says that the backend server may hold what can't be named.
	toldUnnamed bool
	// eraBegan means that the row's version is unknown because a new era has begun; the lease itself goes on.
	eraBegan bool
}

// renewal is one renewal that is in flight or that got no answer.
type renewal struct {
	id     uint64
	sentAt time.Time
	writer string
	era    uint64
	// unnamed is what the row says with Unnamed.
	unnamed bool
}

// leaseRow is the content of a lease's row.
type leaseRow struct {
	// Writer identifies the renewal, so that a renewal without an answer is recognized in the row.
	Writer string `json:"writer"`
	// UntilMs is the latest end of the lease by the store's clock, in milliseconds; zero if the node had no reading of that
	// clock yet.
	UntilMs int64 `json:"untilMs,omitempty"`
	// Era is the latest era of the store that the writer has noticed.
	Era uint64 `json:"era,omitempty"`
	// Holder and Holds say what the backend server may hold, until a page of the era stands.
	Holder *ibisroster.ServerIncarnation `json:"holder,omitempty"`
	// Holds lists rows of first key, last key and token.
	Holds [][3]uint64 `json:"holds,omitempty"`
	// Unnamed means that the backend server may hold more than Holds lists, by grants of an earlier run of the node.
	Unnamed bool `json:"unnamed,omitempty"`
}

func (r leaseRow) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease row can't be encoded as JSON: %v", err))
	}
	return value
}

// decodeLease decodes the content of a lease's row. Content that can't be decoded yields no writer and no end, and an end that is out
// of range counts as none; the lease counts as valid all the same until it has been unchanged for a term.
func decodeLease(value []byte) leaseRow {
	var r leaseRow
	if json.Unmarshal(value, &r) != nil {
		return leaseRow{}
	}
	if r.UntilMs < 0 || r.UntilMs > maxUntilMs {
		r.UntilMs = 0
	}
	return r
}

// storeClock is a reading of the store's clock from an answer: the clock showed it no earlier than the request was sent.
type storeClock struct {
	reading time.Duration
	sentAt  time.Time
}

// latest returns the greatest reading that the store's clock may show at the given time.
func (c storeClock) latest(at time.Time) time.Duration {
	return c.reading + time.Duration(float64(at.Sub(c.sentAt))*(1+clockDriftMargin))
}

// peerLease is another node's lease as last read from the store; its times are readings of the store's clock.
type peerLease struct {
	version        uint64
	unchangedSince time.Duration
	seenAt         time.Duration
	until          time.Duration
	row            leaseRow
}

func (m *Manager) leaseValid(now time.Time) bool { return now.Before(m.lease.until) }

// needsLease reports whether the node's backend server may hold keys, so that the node must hold a lease.
func (m *Manager) needsLease(now time.Time) bool {
	s := &m.server
	if s.incarnation.IsZero() {
		return false
	}
	return !s.ended || m.Owns() || now.Sub(s.lastContact) < m.config.LeaseTerm
}

func (m *Manager) emitDueRenewal(now time.Time) {
	if m.lease.renewal != nil || now.Before(m.lease.retryAt) || !m.needsLease(now) {
		return
	}
	awaitsPage := m.era > firstEra && !m.pageStands()
	unnamed := awaitsPage && m.holdsUnnamed(now)
	told := m.lease.toldEra == m.era && (!awaitsPage || unnamed || !m.lease.toldUnnamed)
	if m.leaseValid(now) && now.Sub(m.lease.sentAt) < m.config.RenewInterval && told && !m.lease.outdated {
		return
	}
	m.lastCommitID++
	r := &renewal{
		id:     m.lastCommitID,
		sentAt: now,
		writer: fmt.Sprintf("%d/%d", m.config.Incarnation, m.lastCommitID),
		era:    m.era,

		unnamed: unnamed,
	}
	m.lease.renewal = r
	key := m.leaseKey(m.config.Node)
	row := leaseRow{
		Writer:  r.writer,
		Era:     m.era,
		Unnamed: unnamed,
	}
	if !m.pageStands() {
		row.Holder, row.Holds = m.heldSpans(now)
	}
	if m.clock.reading > 0 {
		row.UntilMs = m.clock.latest(now.Add(m.config.LeaseTerm)).Milliseconds()
	}
	m.emit(CommitEffect{
		ID:      r.id,
		Purpose: PurposeRenew,
		Commit: ibisstore.Commit{
			Conditions: []ibisstore.Condition{{
				Key:     key,
				Version: m.lease.version,
			}},
			Writes: []ibisstore.Write{{
				Key:   key,
				Value: row.encode(),
			}},
		},
	})
}

func (m *Manager) handleRenewal(result ibisstore.Result, now time.Time) {
	r := m.lease.renewal
	m.lease.renewal, m.lease.outdated = nil, false
	switch result.Outcome {
	case ibisstore.OutcomeApplied:
		if ibisstore.EraOf(result.Version) < m.era {
			return
		}
		m.observeClock(result.Clock, r.sentAt)
		m.lease.version, m.lease.toldEra, m.lease.toldUnnamed, m.lease.eraBegan = result.Version, r.era, r.unnamed, false
		m.lease.unanswered = nil
		m.extendLease(r.sentAt, now)
	case ibisstore.OutcomeConflict:
		m.handleRenewalConflict(result.Rows, now)
	case ibisstore.OutcomeStaleEra:
	case ibisstore.OutcomeUnknown:
		m.lease.unanswered = append(m.lease.unanswered, *r)
		if n := len(m.lease.unanswered); n > maxUnansweredRenewals {
			m.lease.unanswered = m.lease.unanswered[n-maxUnansweredRenewals:]
		}
		m.lease.retryAt = now.Add(retryDelay)
	case ibisstore.OutcomeRefused:
		m.lease.retryAt = now.Add(retryDelay)
	}
}

// observeClock keeps the reading of the store's clock from the answer to the most recently sent request.
func (m *Manager) observeClock(reading time.Duration, sent time.Time) {
	if reading > 0 && sent.After(m.clock.sentAt) {
		m.clock = storeClock{
			reading: reading,
			sentAt:  sent,
		}
	}
}

// extendLease extends the lease to one term after its renewal was sent. After a lapse other nodes may have taken over the
// ranges, so the page must be read again before anything is granted.
func (m *Manager) extendLease(sentAt, now time.Time) {
	if !m.leaseValid(now) {
		m.pageStale = true
		m.lease.validSince = now
	}
	m.lease.sentAt = sentAt
	term := time.Duration(float64(m.config.LeaseTerm) * (1 - clockDriftMargin))
	if until := sentAt.Add(term); until.After(m.lease.until) {
		m.lease.until = until
	}
}

// handleRenewalConflict continues from the row in the store: the write of an own renewal that got no answer, or a lease that
// an earlier run of the node left.
func (m *Manager) handleRenewalConflict(rows []ibisstore.Row, now time.Time) {
	key := m.leaseKey(m.config.Node)
	var current ibisstore.Row
	for _, row := range rows {
		if row.Key == key && !row.Removed {
			current = row
		}
	}
	m.lease.version = current.Version
	if m.lease.eraBegan {
		// The row is an older copy. Nobody takes over before a term of the era has passed, so the lease goes on.
		m.lease.eraBegan = false
		return
	}
	writer := decodeLease(current.Value).Writer
	for _, lost := range m.lease.unanswered {
		if current.Version != 0 && writer == lost.writer {
			m.extendLease(lost.sentAt, now)
			return
		}
	}
	m.lease.until = time.Time{}
	m.pageStale = true
}

// applyLeases records for each lease since when it has been unchanged by the store's clock.
func (m *Manager) applyLeases(snapshot ibisstore.Snapshot, now time.Time) {
	m.leasesReadAt = now
	m.leasesSeenAt = snapshot.Clock
	seen := make(map[ibisid.NodeName]peerLease)
	for _, row := range snapshot.Rows {
		node := ibisid.NodeName(row.Key.Name)
		lease := decodeLease(row.Value)
		p := peerLease{
			version:        row.Version,
			unchangedSince: snapshot.Clock,
			seenAt:         snapshot.Clock,
			until:          time.Duration(lease.UntilMs) * time.Millisecond,
			row:            lease,
		}
		if known, ok := m.peers[node]; ok && known.version == row.Version {
			p.unchangedSince = known.unchangedSince
		}
		seen[node] = p
	}
	for _, r := range m.page.Ranges {
		m.recordMissingLease(seen, r.Owner.Node, snapshot.Clock)
	}
	m.peers = seen
}

// recordMissingLease records since when a node that owns ranges has had no lease.
func (m *Manager) recordMissingLease(seen map[ibisid.NodeName]peerLease, node ibisid.NodeName, clock time.Duration) {
	if _, ok := seen[node]; ok {
		return
	}
	p := peerLease{
		unchangedSince: clock,
		seenAt:         clock,
	}
	if known, ok := m.peers[node]; ok && known.version == 0 {
		p.unchangedSince = known.unchangedSince
	}
	seen[node] = p
}

// lapsed reports whether every grant under the lease has expired: the end of the lease by the store's clock has passed, or
// the lease has been unchanged for a full term.
func (m *Manager) lapsed(p peerLease) bool {
	if p.until > 0 && p.seenAt >= p.until+takeoverSlack {
		return true
	}
	return p.seenAt-p.unchangedSince >= m.config.LeaseTerm+takeoverSlack
}

// alive reports whether a node has missed fewer than aliveWithinRenewals renewals of its lease.
func (m *Manager) alive(node ibisid.NodeName) bool {
	if node == m.config.Node {
		return true
	}
	p, ok := m.peers[node]
	return ok && p.version != 0 && p.seenAt-p.unchangedSince < aliveWithinRenewals*m.config.RenewInterval
}
