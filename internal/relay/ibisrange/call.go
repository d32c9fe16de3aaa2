package ibisrange

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// callRenewFraction is the fraction of a grant's time after which a call renews it.
	callRenewFraction = 0.25
	// receiptTime is the longest time from the writing of a call until a busy backend server reads it, from when the time of the
	// grant counts. The node may have given up on the call by then, or have ended.
	receiptTime = 1500 * time.Millisecond
)

// callDelivery grants and takes back spans by calls to the backend server, which reports nothing of what it holds.
//
// A call without an answer may be carried out seconds later, so it constrains what follows: a grant counts as held until it
// would have ended if it had been read at the last moment, even after a later release; and a span is never granted again under
// a token for which a release was sent. Calls may be carried out out of order, so no two calls for one span are in flight.
type callDelivery struct{}

// call is a call to the backend server that has no outcome yet.
type call struct {
	CallEffect
	// startedAt is when the call was allowed to be written, zero if it has not been.
	startedAt time.Time
	holdFor   time.Duration
}

// callPause is a span for which no call is due until a time.
type callPause struct {
	Span
	until time.Time
}

// spentToken is a token under which a span is never granted again.
type spentToken struct {
	Span
	token ibisid.Token
}

func (callDelivery) answer(*Manager, time.Time) GrantEffect { return GrantEffect{} }

// applyReport drops grants that have ended.
func (callDelivery) applyReport(s *server, now time.Time) {
	s.grants = slices.DeleteFunc(s.grants, func(g grantedSpan) bool { return !now.Before(g.until) })
}

// assumeEarlierGrants assumes that an earlier run of the node has just granted every key by a call without an answer.
func (callDelivery) assumeEarlierGrants(m *Manager, now time.Time) {
	m.server.addGrant(grantedSpan{
		Span: Span{
			To: Keys - 1,
		},
		grantedAt:   now,
		until:       now.Add(receiptTime + m.maxGrantDuration()),
		unconfirmed: true,
	})
}

// emitDueCalls emits releases of the own ranges that may no longer be granted, and grants of those that may.
func (d callDelivery) emitDueCalls(m *Manager, now time.Time) {
	s := &m.server
	if s.incarnation.IsZero() || s.ended || !m.pageKnown {
		return
	}
	d.applyReport(s, now)
	s.callPauses = slices.DeleteFunc(s.callPauses, func(p callPause) bool { return !now.Before(p.until) })
	_, mayGrant := m.holdTime(now)
	for _, g := range m.joinedRanges(now) {
		r := g.Range
		switch {
		case s.hasCall(r.Span) || s.isPaused(r.Span):
		case g.revoked && s.needsRelease(r.Span, now):
			s.spent = append(s.spent, spentToken{
				Span:  r.Span,
				token: r.Token,
			})
			m.emitCall(CallRelease, r)
		case g.grantable && mayGrant && s.needsGrant(r, now):
			m.emitCall(CallGrant, r)
		}
	}
}

// joinedRange is one or more neighboring ranges that one call can grant or take back. While a commit that gives a range away
// has no outcome, the range is neither grantable nor revoked.
type joinedRange struct {
	Range
	grantable bool
	revoked   bool
}

// joinedRanges returns the ranges of the own run of the backend server, joined where one call can serve neighbors.
func (m *Manager) joinedRanges(now time.Time) []joinedRange {
	own := Owner{
		Node:        m.config.Node,
		Incarnation: m.server.incarnation,
	}
	var out []joinedRange
	for _, r := range m.page.Ranges {
		if r.Owner != own {
			continue
		}
		next := joinedRange{
			Range:     r,
			grantable: m.grantable(r, now),
			revoked:   !m.grantableUnderNewToken(r),
		}
		if n := len(out); n > 0 && out[n-1].joins(next) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, next)
	}
	return out
}

// joins reports whether one call can serve the range together with the next one.
func (r joinedRange) joins(next joinedRange) bool {
	return r.To+1 == next.From && r.Token == next.Token && r.Handover == next.Handover && r.grantable == next.grantable && r.revoked == next.revoked
}

func (m *Manager) emitCall(kind CallKind, r Range) {
	m.lastCallID++
	effect := CallEffect{
		ID:          m.lastCallID,
		Kind:        kind,
		Incarnation: m.server.incarnation,
		Grant:       r.grant(),
	}
	m.server.calls = append(m.server.calls, call{
		CallEffect: effect,
	})
	m.emit(effect)
}

// startCall decides, right before a call is written, whether it may still be, and for how long it grants.
func (m *Manager) startCall(e CallReadyEvent, now time.Time) {
	s := &m.server
	i := s.indexOfCall(e.ID)
	if i < 0 {
		m.emit(CallStartEffect{})
		return
	}
	c := &s.calls[i]
	if c.Kind == CallGrant {
		holdFor, ok := m.holdTime(now)
		if !ok || !m.stillGrantable(c.Grant, now) {
			m.emit(CallStartEffect{})
			return
		}
		c.holdFor = holdFor
	}
	c.startedAt = now
	m.emit(CallStartEffect{
		Allowed: true,
		HoldFor: c.holdFor,
	})
}

// stillGrantable reports whether every range of the grant may be granted under its token.
func (m *Manager) stillGrantable(g Grant, now time.Time) bool {
	for _, r := range m.page.Ranges {
		if r.Overlaps(g.Span) && (r.Token != g.Token || !m.grantable(r, now)) {
			return false
		}
	}
	return true
}

// handleCall applies the outcome of a call.
func (m *Manager) handleCall(e CallEvent, now time.Time) {
	s := &m.server
	i := s.indexOfCall(e.ID)
	if i < 0 {
		return
	}
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	if e.Outcome == CallAccepted || e.Outcome == CallSuperseded {
		s.lastContact = now
	}
	switch {
	case e.Outcome == CallUnanswered, e.Outcome == CallNotSent:
		s.callPauses = append(s.callPauses, callPause{
			Span:  c.Span,
			until: now.Add(retryDelay),
		})
	case e.Outcome == CallSuperseded:
		s.spent = append(s.spent, spentToken{
			Span:  c.Span,
			token: c.Token,
		})
		m.pageStale = true
	}
	if c.Kind == CallGrant {
		s.applyGrantOutcome(c, e.Outcome, now)
	} else if e.Outcome == CallAccepted {
		s.release(Released{
			Span:     c.Span,
			Handover: e.Handover,
		})
	}
}

// applyGrantOutcome records a grant that was answered, or one that the backend server may have read or may still read.
func (s *server) applyGrantOutcome(c call, outcome CallOutcome, now time.Time) {
	grant := grantedSpan{
		Span:        c.Span,
		token:       c.Token,
		grantedAt:   c.startedAt,
		until:       now.Add(withDrift(c.holdFor)),
		unconfirmed: outcome == CallUnanswered,
	}
	switch outcome {
	case CallAccepted:
		s.recordGrant(grant)
	case CallUnanswered:
		if readBy := c.startedAt.Add(receiptTime); readBy.After(now) {
			grant.until = readBy.Add(withDrift(c.holdFor))
		}
		s.addGrant(grant)
	case CallSuperseded, CallNotSent:
	}
}

func (s *server) indexOfCall(id uint64) int {
	return slices.IndexFunc(s.calls, func(c call) bool { return c.ID == id })
}

// hasCall reports whether a call without an outcome covers a part of the span.
func (s *server) hasCall(span Span) bool {
	return slices.ContainsFunc(s.calls, func(c call) bool { return c.Overlaps(span) })
}

// hasGrantCall reports whether a grant without an outcome covers a part of the span.
func (s *server) hasGrantCall(span Span) bool {
	return slices.ContainsFunc(s.calls, func(c call) bool { return c.Kind == CallGrant && c.Overlaps(span) })
}

func (s *server) isPaused(span Span) bool {
	return slices.ContainsFunc(s.callPauses, func(p callPause) bool { return p.Overlaps(span) })
}

// isSpent reports whether the range's token must not be used for a grant of its keys.
func (s *server) isSpent(r Range) bool {
	return slices.ContainsFunc(s.spent, func(t spentToken) bool { return t.Overlaps(r.Span) && t.token >= r.Token })
}

// pruneSpent drops spent tokens that no own range has.
func (m *Manager) pruneSpent() {
	s := &m.server
	s.spent = slices.DeleteFunc(s.spent, func(t spentToken) bool {
		return !slices.ContainsFunc(m.page.Ranges, func(r Range) bool {
			return r.Owner.Node == m.config.Node && r.Overlaps(t.Span) && r.Token <= t.token
		})
	})
}

// needsGrant reports whether no confirmed grant covers the range under its token for long enough.
func (s *server) needsGrant(r Range, now time.Time) bool {
	return !slices.ContainsFunc(s.grants, func(g grantedSpan) bool {
		renewAt := g.grantedAt.Add(time.Duration(callRenewFraction * float64(g.until.Sub(g.grantedAt))))
		return !g.unconfirmed && g.token == r.Token && g.From <= r.From && r.To <= g.To && now.Before(renewAt)
	})
}

// needsRelease reports whether the backend server may hold a part of the span and no answered release covers it since.
func (s *server) needsRelease(span Span, now time.Time) bool {
	return slices.ContainsFunc(s.grants, func(g grantedSpan) bool {
		return g.Overlaps(span) && now.Before(g.until) && (!g.unconfirmed || !s.wasReleased(span))
	})
}

func (s *server) wasReleased(span Span) bool {
	return slices.ContainsFunc(s.released, func(r Released) bool { return r.From <= span.From && span.To <= r.To })
}
