package ibisrange

import (
	"slices"
	"time"
)

// Delivery is how grants reach a backend server.
type Delivery string

const (
	// DeliveryHeartbeat means that the answer to a heartbeat grants every span that the backend server may hold.
	DeliveryHeartbeat Delivery = "heartbeat"
	// DeliveryCall means that the node calls the backend server to grant a span, renew its grant or take it back.
	DeliveryCall Delivery = "call"
)

// delivery carries out what a Manager has decided that the backend server may hold.
type delivery interface {
	// answer returns the answer to a heartbeat.
	answer(m *Manager, now time.Time) GrantEffect
	// applyReport drops the grants that the backend server's report shows to have ended.
	applyReport(s *server, now time.Time)
	// assumeEarlierGrants records what an earlier run of the node may have granted without a report of it.
	assumeEarlierGrants(m *Manager, now time.Time)
	// emitDueCalls emits the calls to the backend server that are due.
	emitDueCalls(m *Manager, now time.Time)
}

// deliveries maps each Delivery to its implementation.
var deliveries = map[Delivery]delivery{
	"":                heartbeatDelivery{},
	DeliveryHeartbeat: heartbeatDelivery{},
	DeliveryCall:      callDelivery{},
}

// setDelivery changes the delivery; an empty or unknown one selects that of the configuration.
func (m *Manager) setDelivery(d Delivery, now time.Time) {
	chosen, ok := deliveries[d]
	if d == "" || !ok {
		chosen = deliveries[m.config.Delivery]
	}
	if chosen == m.delivery {
		return
	}
	m.delivery = chosen
	if !m.server.incarnation.IsZero() {
		chosen.assumeEarlierGrants(m, now)
	}
}

// heartbeatDelivery grants in the answers to heartbeats, which report what the backend server holds.
type heartbeatDelivery struct{}

// answer grants the backend server every range that it may hold, for no longer than the lease is valid, and renews nothing if
// the lease or the page doesn't allow a grant. A draining backend server gets an answer without grants, so that it releases
// its ranges.
func (heartbeatDelivery) answer(m *Manager, now time.Time) GrantEffect {
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
	holdFor, ok := m.holdTime(now)
	if !ok {
		return GrantEffect{}
	}
	effect := GrantEffect{
		Renews:  true,
		HoldFor: holdFor,
	}
	for _, r := range m.page.Ranges {
		if !m.grantable(r, now) {
			continue
		}
		effect.Grants = append(effect.Grants, r.grant())
		s.recordGrant(grantedSpan{
			Span:      r.Span,
			token:     r.Token,
			grantedAt: now,
			until:     now.Add(withDrift(holdFor)),
		})
	}
	return effect
}

func (heartbeatDelivery) applyReport(s *server, now time.Time) { s.dropUnreportedGrants(now) }

// assumeEarlierGrants assumes that an earlier run of the node granted every key right before this run began. Heartbeats are no
// evidence against that: they may have been sent before the grant and arrive late.
func (heartbeatDelivery) assumeEarlierGrants(m *Manager, now time.Time) {
	until := m.startedAt.Add(m.maxGrantDuration())
	if !now.Before(until) {
		return
	}
	m.server.addGrant(grantedSpan{
		Span: Span{
			To: Keys - 1,
		},
		grantedAt:   m.startedAt,
		until:       until,
		unconfirmed: true,
	})
}

// emitDueCalls does nothing: there are no calls.
func (heartbeatDelivery) emitDueCalls(*Manager, time.Time) {}

// withDrift returns the longest time that passes on the node's clock while a duration passes on a backend server's.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDriftMargin))
}

// grant returns the grant of the range.
func (r Range) grant() Grant {
	return Grant{
		Span:     r.Span,
		Token:    r.Token,
		Handover: r.Handover,
	}
}

// recordGrant records a grant; texts of earlier releases of its span are no longer needed.
func (s *server) recordGrant(g grantedSpan) {
	s.released = slices.DeleteFunc(s.released, func(r Released) bool { return r.Overlaps(g.Span) })
	s.addGrant(g)
}
