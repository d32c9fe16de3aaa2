package ibisadmission

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// shortestNodeRun is how long before the start of the node a backend server must have started for an earlier run of the node to have
// admitted to it. Where an instance starts as a whole, as after a power loss, its server starts a little before the node.
const shortestNodeRun = time.Second

// Rules is the configuration of the backend server's service and of its failure domain.
type Rules struct {
	// Config is the configuration that the rules come from, nil if keys of accounts are not checked.
	Config *ibisroute.Config
	// Policy sets the priorities and queue lengths of the request classes.
	Policy ibisadmit.Policy
	// Sharded is true if the service is divided by key.
	Sharded bool
	// DomainOut is true if the own failure domain is out of service and accepts no requests.
	DomainOut bool
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ColdPerSecond is the number of requests per second that a cold backend server can process; zero for no limit.
	ColdPerSecond float64
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
}

// SetServer applies the state that the backend server reports and the remaining time for which it is cold; a new incarnation,
// number of slots or service replaces the gate.
func (g *Guard) SetServer(server ibisroster.Server, coldFor time.Duration) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = now.Add(coldFor)
	replaced := server.Incarnation != g.server.Incarnation || server.Slots != g.server.Slots || server.Service != g.server.Service
	if server.Incarnation != g.server.Incarnation {
		g.notice = ibisset.None[ibismessage.ServerNotice]()
		g.abandonedUntil = time.Time{}
	}
	if g.notice.Or(ibismessage.ServerNotice{}).Leaving {
		server.State = ibisroster.StateDraining
	}
	g.server = server
	if g.rules == nil {
		return
	}
	if replaced || g.gate == nil {
		g.replaceGate(now)
	}
	if server.State == ibisroster.StateDraining {
		g.apply(ibisadmit.DrainEvent{}, now)
	}
	g.applyCold(now)
}

// replaceGate drains the old gate, which refuses its waiting requests, and creates a new one; g.mu is held.
func (g *Guard) replaceGate(now time.Time) {
	if g.gate != nil {
		g.apply(ibisadmit.DrainEvent{}, now)
	}
	config := GateConfig(g.server.Slots, g.rules.Connections, g.rules.Sharded, g.rules.Policy)
	config.EarlierAdmissionsUntil = g.earlierAdmissionsUntil(now)
	g.gate, g.gateOf = ibisadmit.New(config, now), g.server.Incarnation
	g.applyRateLimit(now)
}

// earlierAdmissionsUntil returns when another gate may have admitted requests to the server last, zero if none has: the present gate,
// or that of an earlier run of the node. g.mu is held.
func (g *Guard) earlierAdmissionsUntil(now time.Time) time.Time {
	switch {
	case g.gateOf == g.server.Incarnation:
		return now
	case g.server.Incarnation.StartedAt < g.startedAt.Add(-shortestNodeRun).UnixMilli():
		return g.startedAt
	}
	return time.Time{}
}

// GateConfig returns the gate configuration of a backend server with so many slots and accepted connections.
func GateConfig(slots, connections int, sharded bool, policy ibisadmit.Policy) ibisadmit.Config {
	return ibisadmit.Config{
		Slots:       slots,
		Connections: max(connections, slots),
		Algorithm:   ibisadmit.AlgorithmFixed,
		KeepQueue:   sharded,
		Policy:      policy,
	}
}

// ClassPolicy returns the gate policy of a class from its rank, 0 for the most urgent.
func ClassPolicy(rank int) ibisadmit.ClassPolicy {
	return ibisadmit.ClassPolicy{
		Priority:    -rank,
		QueueLength: queueLength,
	}
}

// ColdRate returns the greatest number of requests that are admitted in any second to a cold backend server that can process
// perSecond.
func ColdRate(perSecond float64) int { return int(math.Ceil(perSecond * coldRateFactor)) }

// applyCold limits the rate of admission while the backend server is cold; g.mu is held.
func (g *Guard) applyCold(now time.Time) {
	if g.rules.ColdPerSecond > 0 {
		g.apply(ibisadmit.ColdEvent{
			RequestsPerSecond: ColdRate(g.rules.ColdPerSecond),
			Duration:          g.coldUntil.Sub(now),
		}, now)
	}
}

// SetRules replaces the rules. Before the first rules nothing is admitted, because they contain the rate limit for a cold
// backend server. After the failure domain returns to service, its backend server counts as cold for ColdStart or until it
// reports otherwise.
func (g *Guard) SetRules(rules Rules) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.rules
	g.rules = &rules
	if g.server.Incarnation.IsZero() {
		return
	}
	if g.gate == nil {
		g.replaceGate(now)
		if g.server.State == ibisroster.StateDraining {
			g.apply(ibisadmit.DrainEvent{}, now)
		}
	} else {
		g.apply(ibisadmit.PolicyEvent{
			Policy: rules.Policy,
		}, now)
	}
	wasOut := before != nil && before.DomainOut
	if rules.DomainOut && !wasOut {
		g.refuseWaiting(ibisadmit.ReasonDomainOut)
	}
	if coldEnd := now.Add(rules.ColdStart); wasOut && !rules.DomainOut && coldEnd.After(g.coldUntil) {
		g.coldUntil = coldEnd
	}
	g.applyCold(now)
}
