package ibisrange

import (
	"slices"
	"time"
)

// handleHeartbeat applies a heartbeat and answers it; an outdated heartbeat gets an answer that renews nothing.
func (m *Manager) handleHeartbeat(e HeartbeatEvent, now time.Time) {
	s := &m.server
	if e.Incarnation.StartedAt < s.incarnation.StartedAt || e.Incarnation == s.incarnation && e.Seq <= s.seq {
		m.emit(GrantEffect{})
		return
	}
	if e.Incarnation != s.incarnation {
		m.resetServer(e, now)
	}
	s.seq = e.Seq
	s.lastHeartbeat = now
	s.ended = false
	s.draining = s.draining || e.Draining
	s.reported = e.Holds
	for _, r := range e.Released {
		s.release(r)
	}
	s.dropUnreportedGrants(now)
	m.emit(m.answer(now))
}

// resetServer replaces the state of the backend server when a new run of it sends its first heartbeat. The new run listens on
// the same port, so the old run has ended. Spans that the new run reports as held may have been granted by an earlier run of
// this node.
func (m *Manager) resetServer(e HeartbeatEvent, now time.Time) {
	m.server = server{
		incarnation:    e.Incarnation,
		firstHeartbeat: now,
		grantedUntil:   now,
	}
	for _, h := range e.Holds {
		m.server.grants = addGrant(m.server.grants, h.Span, now)
	}
	if len(e.Holds) > 0 {
		m.server.grantedUntil = now.Add(m.maxGrantDuration())
	}
}

// maxGrantDuration returns how long, by the node's clock, a backend server can hold a granted span at most.
func (m *Manager) maxGrantDuration() time.Duration {
	return time.Duration(float64(m.config.MaxGrant) * (1 + clockDriftMargin))
}

// release records a span that the backend server has released, with its handover text, and subtracts it from the grants.
func (s *server) release(r Released) {
	s.released = append(s.released, r)
	var rest []grantedSpan
	for _, g := range s.grants {
		for _, part := range g.Subtract(r.Span) {
			rest = addGrant(rest, part, g.grantedAt)
		}
	}
	s.grants = rest
}

// addGrant adds a span with the time of its grant. Each span is listed once: otherwise parts of spans that a backend server
// reports twice would double with every heartbeat.
func addGrant(list []grantedSpan, span Span, at time.Time) []grantedSpan {
	for i := range list {
		if list[i].Span != span {
			continue
		}
		if at.After(list[i].grantedAt) {
			list[i].grantedAt = at
		}
		return list
	}
	return append(list, grantedSpan{
		Span:      span,
		grantedAt: at,
	})
}

// dropUnreportedGrants drops the parts of grants that the backend server doesn't report as held, once no answer that grants
// them can still arrive.
func (s *server) dropUnreportedGrants(now time.Time) {
	var rest []grantedSpan
	for _, g := range s.grants {
		if now.Sub(g.grantedAt) < answerLifetime {
			rest = addGrant(rest, g.Span, g.grantedAt)
			continue
		}
		for _, h := range s.reported {
			if part, ok := g.Intersect(h.Span); ok {
				rest = addGrant(rest, part, g.grantedAt)
			}
		}
	}
	s.grants = rest
}

func (s *server) reportsOverlap(span Span) bool {
	return slices.ContainsFunc(s.reported, func(h Held) bool { return h.Overlaps(span) })
}

// isFree reports whether the backend server holds no part of the span and no answer in flight can grant it one.
func (s *server) isFree(span Span, now time.Time) bool {
	if s.incarnation.IsZero() || s.ended || !now.Before(s.grantedUntil) {
		return true
	}
	return !s.reportsOverlap(span) && !slices.ContainsFunc(s.grants, func(g grantedSpan) bool { return g.Overlaps(span) })
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

// answer returns the answer to a heartbeat. It grants the backend server every range that it may hold, for no longer than the
// lease is valid, and renews nothing if the lease or the page doesn't allow a grant. A draining backend server gets an
// answer without grants, so that it releases its ranges.
func (m *Manager) answer(now time.Time) GrantEffect {
	s := &m.server
	if !m.sharded {
		return GrantEffect{}
	}
	if s.draining {
		return GrantEffect{
			Renews:  true,
			HoldFor: minGrant,
		}
	}
	holdFor := time.Duration(float64(m.lease.until.Sub(now)-grantSlack) / (1 + clockDriftMargin))
	holdFor = min(holdFor, m.config.MaxGrant)
	if !m.leaseValid(now) || m.pageStale || !m.pageKnown || holdFor < minGrant {
		return GrantEffect{}
	}
	effect := GrantEffect{
		Renews:  true,
		HoldFor: holdFor,
	}
	for _, r := range m.page.Ranges {
		if !m.grantable(r) {
			continue
		}
		effect.Grants = append(effect.Grants, Grant{
			Span:     r.Span,
			Token:    r.Token,
			Handover: r.Handover,
		})
		s.recordGrant(r.Span, now)
	}
	if len(effect.Grants) > 0 {
		until := now.Add(time.Duration(float64(holdFor) * (1 + clockDriftMargin)))
		if until.After(s.grantedUntil) {
			s.grantedUntil = until
		}
	}
	return effect
}

func (s *server) recordGrant(span Span, now time.Time) {
	s.released = slices.DeleteFunc(s.released, func(r Released) bool { return r.Overlaps(span) })
	s.grants = addGrant(s.grants, span, now)
}

// grantable reports whether the range may be granted to the own backend server.
func (m *Manager) grantable(r Range) bool {
	s := &m.server
	if r.Owner != (Owner{
		Node:        m.config.Node,
		Incarnation: s.incarnation,
	}) || r.Next != "" || s.draining || s.ended {
		return false
	}
	return !m.isExcluded() && !m.hasPendingTransfer(r)
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
