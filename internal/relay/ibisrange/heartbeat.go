package ibisrange

import (
	"slices"
	"time"
)

// handleHeartbeat applies a heartbeat and answers it; an outdated heartbeat gets an answer that renews nothing.
func (k *Manager) handleHeartbeat(e HeartbeatEvent, now time.Time) {
	s := &k.server
	if e.Incarnation.StartedAt < s.incarnation.StartedAt || e.Incarnation == s.incarnation && e.Seq <= s.seq {
		k.emit(GrantEffect{})
		return
	}
	if e.Incarnation != s.incarnation {
		k.resetServer(e, now)
	}
	s.seq = e.Seq
	s.lastHeartbeat = now
	s.ended = false
	s.leaving = s.leaving || e.Leaving
	s.reported = e.Holds
	for _, r := range e.Released {
		s.release(r)
	}
	s.dropUnreportedGrants(now)
	k.emit(k.answer(now))
}

// resetServer replaces the state of the backend server when a new run of it sends its first heartbeat. The new run listens on
// the same port, so the old run has ended. Spans that the new run reports as held may have been granted by an earlier run of
// this node.
func (k *Manager) resetServer(e HeartbeatEvent, now time.Time) {
	k.server = server{
		incarnation:    e.Incarnation,
		firstHeartbeat: now,
		grantedUntil:   now,
	}
	for _, h := range e.Holds {
		k.server.grants = addGrant(k.server.grants, h.Span, now)
	}
	if len(e.Holds) > 0 {
		k.server.grantedUntil = now.Add(k.maxGrantDuration())
	}
}

// maxGrantDuration returns how long, by the node's clock, a backend server can hold a granted span at most.
func (k *Manager) maxGrantDuration() time.Duration {
	return time.Duration(float64(k.config.MaxGrant) * (1 + clockDriftMargin))
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

// answer grants the backend server every range that it may hold, for no longer than the lease is valid.
func (k *Manager) answer(now time.Time) GrantEffect {
	s := &k.server
	if !k.sharded {
		return GrantEffect{}
	}
	if s.leaving {
		return GrantEffect{
			Renews:  true,
			HoldFor: minGrant,
		}
	}
	hold := time.Duration(float64(k.lease.until.Sub(now)-grantSlack) / (1 + clockDriftMargin))
	hold = min(hold, k.config.MaxGrant)
	if !k.leaseValid(now) || k.pageStale || !k.pageKnown || hold < minGrant {
		return GrantEffect{}
	}
	effect := GrantEffect{
		Renews:  true,
		HoldFor: hold,
	}
	for _, r := range k.page.Ranges {
		if !k.grantable(r) {
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
		until := now.Add(time.Duration(float64(hold) * (1 + clockDriftMargin)))
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
func (k *Manager) grantable(r Range) bool {
	s := &k.server
	if r.Owner != (Owner{
		Node:        k.config.Node,
		Incarnation: s.incarnation,
	}) || r.Next != "" || s.leaving || s.ended {
		return false
	}
	return !k.isExcluded() && !k.hasPendingTransfer(r)
}

// hasPendingTransfer reports whether a commit that may still take effect gives the range to another owner or plans its move.
func (k *Manager) hasPendingTransfer(r Range) bool {
	if k.pending == nil {
		return false
	}
	planned, ok := k.pending.page.Find(r.From)
	return ok && (planned.Owner != r.Owner || planned.Next != "")
}

// isExcluded reports whether operators have excluded the own failure domain.
func (k *Manager) isExcluded() bool {
	for _, m := range k.members {
		if m.Node == k.config.Node {
			return k.excludedDomains.Has(m.Place.Domain)
		}
	}
	return false
}
