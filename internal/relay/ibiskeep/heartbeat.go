package ibiskeep

import (
	"slices"
	"time"
)

// heartbeat takes a heartbeat in and answers it.
func (k *Keeper) heartbeat(e HeartbeatEvent, now time.Time) {
	s := &k.server
	if e.Life.Born < s.life.Born || e.Life == s.life && e.Seq <= s.seq {
		k.emit(GrantEffect{})
		return
	}
	if e.Life != s.life {
		k.meet(e, now)
	}
	s.seq = e.Seq
	s.lastBeat = now
	s.ended = false
	s.leaving = s.leaving || e.Leaving
	s.reported = e.Holds
	for _, r := range e.Released {
		s.release(r)
	}
	s.forgetUnheld(now)
	k.emit(k.answer(now))
}

// meet begins with a new life of the backend server. It listens where the old one did, so the old one has ended; what it
// holds itself an earlier run of this node may have granted it.
func (k *Keeper) meet(e HeartbeatEvent, now time.Time) {
	k.server = server{
		life:       e.Life,
		firstBeat:  now,
		grantUntil: now,
	}
	for _, h := range e.Holds {
		k.server.grants = withGrant(k.server.grants, h.Span, now)
	}
	if len(e.Holds) > 0 {
		k.server.grantUntil = now.Add(k.longestGrant())
	}
}

// longestGrant bounds how long a backend server can hold what any answer granted.
func (k *Keeper) longestGrant() time.Duration {
	return time.Duration(float64(k.config.HoldMax) * (1 + driftShare))
}

// release notes a span that the backend server has released, with its handover; of a grant that was wider the rest stands.
func (s *server) release(r Released) {
	s.released = append(s.released, r)
	var rest []granted
	for _, g := range s.grants {
		for _, part := range g.Minus(r.Span) {
			rest = withGrant(rest, part, g.at)
		}
	}
	s.grants = rest
}

// withGrant adds a span that was granted at the time; each span stands once, or the parts of spans that a backend server
// reports twice would double with every heartbeat.
func withGrant(list []granted, span Span, at time.Time) []granted {
	for i := range list {
		if list[i].Span != span {
			continue
		}
		if at.After(list[i].at) {
			list[i].at = at
		}
		return list
	}
	return append(list, granted{
		Span: span,
		at:   at,
	})
}

// forgetUnheld drops what the backend server doesn't report of its grants, once no answer that names them can still arrive.
func (s *server) forgetUnheld(now time.Time) {
	var rest []granted
	for _, g := range s.grants {
		if now.Sub(g.at) < staleAnswer {
			rest = withGrant(rest, g.Span, g.at)
			continue
		}
		for _, h := range s.reported {
			if part, ok := g.And(h.Span); ok {
				rest = withGrant(rest, part, g.at)
			}
		}
	}
	s.grants = rest
}

func (s *server) reports(span Span) bool {
	return slices.ContainsFunc(s.reported, func(h Held) bool { return h.Overlaps(span) })
}

// free reports whether the backend server holds none of the span and can't come to hold it by an answer on its way.
func (s *server) free(span Span, now time.Time) bool {
	if s.life.IsZero() || s.ended || !now.Before(s.grantUntil) {
		return true
	}
	return !s.reports(span) && !slices.ContainsFunc(s.grants, func(g granted) bool { return g.Overlaps(span) })
}

// handover returns what the backend server handed out for the span, empty where it didn't.
func (s *server) handover(span Span) string {
	for i := len(s.released) - 1; i >= 0; i-- {
		if r := s.released[i]; r.From <= span.From && span.To <= r.To {
			return r.Handover
		}
	}
	return ""
}

// answer names everything that the backend server is to hold, for as long as the lease covers.
func (k *Keeper) answer(now time.Time) GrantEffect {
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
	hold := time.Duration(float64(k.lease.until.Sub(now)-grantSlack) / (1 + driftShare))
	hold = min(hold, k.config.HoldMax)
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
		s.noteGrant(r.Span, now)
	}
	if len(effect.Grants) > 0 {
		until := now.Add(time.Duration(float64(hold) * (1 + driftShare)))
		if until.After(s.grantUntil) {
			s.grantUntil = until
		}
	}
	return effect
}

func (s *server) noteGrant(span Span, now time.Time) {
	s.released = slices.DeleteFunc(s.released, func(r Released) bool { return r.Overlaps(span) })
	s.grants = withGrant(s.grants, span, now)
}

// grantable reports whether the own backend server is to hold the range.
func (k *Keeper) grantable(r Range) bool {
	s := &k.server
	if r.Owner != (Owner{
		Node: k.config.Node,
		Life: s.life,
	}) || r.Next != "" || s.leaving || s.ended {
		return false
	}
	return !k.isOut() && !k.givesAway(r)
}

// givesAway reports whether a commit that may yet take effect gives the range to another owner.
func (k *Keeper) givesAway(r Range) bool {
	if k.pending == nil {
		return false
	}
	after, ok := k.pending.page.Find(r.From)
	return ok && (after.Owner != r.Owner || after.Next != "")
}

// isOut reports whether operators took the own failure domain out.
func (k *Keeper) isOut() bool {
	for _, m := range k.members {
		if m.Node == k.config.Node {
			return k.out.Has(m.Place.Domain)
		}
	}
	return false
}
