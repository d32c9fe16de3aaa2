package ibisrange

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// handleHeartbeat applies a heartbeat and answers it; an outdated heartbeat gets an answer that renews nothing.
func (m *Manager) handleHeartbeat(e HeartbeatEvent, now time.Time) {
	s := &m.server
	outdated := e.Incarnation.StartedAt < s.incarnation.StartedAt || e.Incarnation == s.incarnation && e.Seq <= s.seq
	if outdated && !e.Confirmed {
		m.emit(GrantEffect{})
		return
	}
	if e.Incarnation != s.incarnation {
		m.resetServer(e, now)
	}
	s.seq = e.Seq
	s.lastContact = now
	s.ended = false
	s.draining = e.Draining || s.draining && !e.Confirmed
	s.reported = e.Holds
	for _, r := range e.Released {
		s.release(r)
	}
	m.delivery.applyReport(s, now)
	m.emit(m.delivery.answer(m, now))
}

// resetServer replaces the state of the backend server when another run of it sends its first heartbeat. Unless the known run is
// certain to have ended, the heartbeat may come from another writer, and the known run holds its keys until its grants end. Spans that
// the run reports as held, and others that it doesn't report, may have been granted by an earlier run of this node.
func (m *Manager) resetServer(e HeartbeatEvent, now time.Time) {
	earlier := m.server
	firstRun := earlier.incarnation.IsZero()
	m.server = server{
		incarnation:    e.Incarnation,
		confirmed:      e.Confirmed,
		firstHeartbeat: now,
		grantedUntil:   now,
	}
	if !earlier.ended && !(earlier.confirmed && m.hasReplaced(earlier.incarnation)) {
		m.server.addUnnamedGrants(earlier, now)
	}
	for _, h := range e.Holds {
		m.server.addGrant(grantedSpan{
			Span:      h.Span,
			token:     h.Token,
			grantedAt: now,
			until:     now.Add(m.maxGrantDuration()),
		})
	}
	if firstRun {
		m.delivery.assumeEarlierGrants(m, now)
	}
}

// hasReplaced reports whether a run of the backend server, of this or an earlier run of the node, has ended as the known run is at its
// port. A run under the same id may be the known one itself, whose start another writer has got wrong.
func (m *Manager) hasReplaced(run ibisroster.ServerIncarnation) bool {
	s := &m.server
	return s.confirmed && run.ID != s.incarnation.ID && run.StartedAt <= s.incarnation.StartedAt
}

// addUnnamedGrants adds what the backend server may hold by grants that were given to another run, and by calls to it that may still be
// read.
func (s *server) addUnnamedGrants(earlier server, now time.Time) {
	grants := earlier.grants
	for _, c := range earlier.calls {
		if c.Kind == CallGrant && !c.startedAt.IsZero() {
			grants = append(grants, grantedSpan{
				Span:      c.Span,
				grantedAt: c.startedAt,
				until:     c.startedAt.Add(receiptTime + withDrift(c.holdFor)),
			})
		}
	}
	for _, g := range grants {
		if now.Before(g.until) {
			g.token, g.unconfirmed = 0, true
			s.addGrant(g)
		}
	}
}

// maxGrantDuration returns how long, by the node's clock, a backend server can hold a granted span at most.
func (m *Manager) maxGrantDuration() time.Duration {
	return withDrift(m.config.MaxGrant)
}

// release records a span that the backend server has released, with its handover text, and subtracts it from the grants. An
// unconfirmed grant stays: it may be applied after the release.
func (s *server) release(r Released) {
	s.released = append(s.released, r)
	grants := s.grants
	s.grants = nil
	for _, g := range grants {
		if g.unconfirmed {
			s.addGrant(g)
			continue
		}
		for _, part := range g.Subtract(r.Span) {
			s.addGrant(g.withSpan(part))
		}
	}
}

// withSpan returns the grant for another span.
func (g grantedSpan) withSpan(span Span) grantedSpan {
	g.Span = span
	return g
}

// addGrant adds a grant. Confirmed grants of one span are listed once: otherwise parts of spans that a backend server reports
// twice would double with every heartbeat.
func (s *server) addGrant(g grantedSpan) {
	if g.until.After(s.grantedUntil) {
		s.grantedUntil = g.until
	}
	for i := range s.grants {
		known := &s.grants[i]
		if known.Span != g.Span || known.unconfirmed || g.unconfirmed {
			continue
		}
		if g.grantedAt.After(known.grantedAt) {
			known.grantedAt, known.token = g.grantedAt, g.token
		}
		if g.until.After(known.until) {
			known.until = g.until
		}
		return
	}
	s.grants = append(s.grants, g)
}

// dropUnreportedGrants drops the parts of grants that the backend server doesn't report as held, once no answer that grants
// them can still arrive. Unconfirmed grants stay until they have ended.
func (s *server) dropUnreportedGrants(now time.Time) {
	grants := s.grants
	s.grants = nil
	for _, g := range grants {
		if g.unconfirmed && !now.Before(g.until) {
			continue
		}
		if g.unconfirmed || now.Sub(g.grantedAt) < answerLifetime {
			s.addGrant(g)
			continue
		}
		for _, h := range s.reported {
			if part, ok := g.Intersect(h.Span); ok {
				s.addGrant(g.withSpan(part))
			}
		}
	}
}

func (s *server) reportsOverlap(span Span) bool {
	return slices.ContainsFunc(s.reported, func(h Held) bool { return h.Overlaps(span) })
}

// isFree reports whether the backend server holds no part of the span and no answer or call in flight can grant it one.
func (s *server) isFree(span Span, now time.Time) bool {
	if s.incarnation.IsZero() || s.ended {
		return true
	}
	if s.hasGrantCall(span) {
		return false
	}
	if !now.Before(s.grantedUntil) {
		return true
	}
	return !s.reportsOverlap(span) && !s.mayHold(span, now)
}

// holdsUnder reports whether a grant under the range's token that has not ended covers the range. A grant from before the last
// lapse of the lease has ended, whatever its answer suggests.
func (m *Manager) holdsUnder(r Range, now time.Time) bool {
	return slices.ContainsFunc(m.server.grants, func(g grantedSpan) bool {
		return g.token == r.Token && g.From <= r.From && r.To <= g.To && now.Before(g.until) && !g.grantedAt.Before(m.lease.validSince)
	})
}

// mayHold reports whether a grant that has not ended covers a part of the span.
func (s *server) mayHold(span Span, now time.Time) bool {
	return slices.ContainsFunc(s.grants, func(g grantedSpan) bool { return g.Overlaps(span) && now.Before(g.until) })
}

// handover returns the text that the backend server left when it released the span, empty if it left none.
func (s *server) handover(span Span) string {
	for i := len(s.released) - 1; i >= 0; i-- {
		if r := s.released[i]; r.From <= span.From && span.To <= r.To {
			return r.Handover
		}
	}
	return ""
}

// holdTime returns how long a grant that is given now may be valid, so that it ends before the lease does, and whether the
// lease and the page allow a grant.
func (m *Manager) holdTime(now time.Time) (time.Duration, bool) {
	holdFor := time.Duration(float64(m.lease.until.Sub(now)-grantSlack) / (1 + clockDriftMargin))
	holdFor = min(holdFor, m.config.MaxGrant)
	return holdFor, m.leaseValid(now) && !m.pageStale && m.pageKnown && holdFor >= minGrant
}

// grantable reports whether the range may be granted to the own backend server.
func (m *Manager) grantable(r Range, now time.Time) bool {
	s := &m.server
	if r.Owner != (Owner{
		Node:        m.config.Node,
		Incarnation: s.incarnation,
	}) || s.isSpent(r) || !m.pageStands() && !m.holdsUnder(r, now) {
		return false
	}
	return m.grantableUnderNewToken(r) && !m.hasPendingTransfer(r)
}

// grantableUnderNewToken reports whether nothing but its token keeps a range of the own backend server from being granted.
func (m *Manager) grantableUnderNewToken(r Range) bool {
	s := &m.server
	planned := r.Next != "" && m.pageStands()
	return !planned && !s.draining && !s.ended && !m.isExcluded()
}

// hasPendingTransfer reports whether a commit that may still take effect gives the range to another owner or plans its move.
func (m *Manager) hasPendingTransfer(r Range) bool {
	if m.pending == nil {
		return false
	}
	planned, ok := m.pending.page.Find(r.From)
	return ok && (planned.Owner != r.Owner || planned.Next != "")
}

// isExcluded reports whether operators have excluded the own failure domain.
func (m *Manager) isExcluded() bool {
	for _, member := range m.members {
		if member.Node == m.config.Node {
			return m.excludedDomains.Has(member.Place.Domain)
		}
	}
	return false
}
