package ibisguard

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// Rules is what the operators say of the backend server's service and place.
type Rules struct {
	// Policy orders the request classes.
	Policy ibisadmit.Policy
	// Sharded says that the service is divided by key.
	Sharded bool
	// Out says that the own failure domain takes no work.
	Out bool
	// Connections is the number of connections that a backend server takes.
	Connections int
	// ColdPerSecond is the number of requests a second that a cold backend server bears; zero for no bound.
	ColdPerSecond float64
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
}

// Meet takes in what the backend server says of itself and how much longer it is cold; a new life gets a new gate.
func (g *Guard) Meet(server ibisroster.Server, coldFor time.Duration) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = now.Add(coldFor)
	fresh := server.Life != g.server.Life || server.Slots != g.server.Slots
	g.server = server
	if g.rules == nil {
		return
	}
	if fresh || g.gate == nil {
		g.replaceGate(now)
	}
	if server.State == ibisroster.StateLeaving {
		g.apply(ibisadmit.DrainEvent{}, now)
	}
	g.applyCold(now)
}

// replaceGate refuses what waits at the old gate and begins with a new one.
func (g *Guard) replaceGate(now time.Time) {
	if g.gate != nil {
		g.apply(ibisadmit.DrainEvent{}, now)
	}
	g.gate = ibisadmit.New(GateConfig(g.server.Slots, g.rules.Connections, g.rules.Sharded, g.rules.Policy), now)
}

// GateConfig returns how the relay sets the gate of a backend server up.
func GateConfig(slots, connections int, sharded bool, policy ibisadmit.Policy) ibisadmit.Config {
	return ibisadmit.Config{
		Slots:       slots,
		Connections: max(connections, slots),
		Law:         ibisadmit.LawFixed,
		KeepQueue:   sharded,
		Policy:      policy,
	}
}

// ClassPolicy returns how the relay orders a class at a gate, by its rank, 0 for the most urgent.
func ClassPolicy(rank int) ibisadmit.ClassPolicy {
	return ibisadmit.ClassPolicy{
		Priority:    -rank,
		QueueLength: queueLength,
	}
}

// ColdRate returns the number of requests in any second that the relay gives a cold backend server which says that it bears
// so many.
func ColdRate(perSecond float64) int { return int(math.Ceil(perSecond * coldHeadroom)) }

// applyCold bounds admission while the backend server is cold.
func (g *Guard) applyCold(now time.Time) {
	if g.rules.ColdPerSecond > 0 {
		g.apply(ibisadmit.ColdEvent{
			PerSecond: ColdRate(g.rules.ColdPerSecond),
			For:       g.coldUntil.Sub(now),
		}, now)
	}
}

// Govern replaces the rules. Without rules nothing is admitted, since a cold backend server's bound is one of them. A
// domain that comes back is taken for cold until its server says otherwise.
func (g *Guard) Govern(rules Rules) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.rules
	g.rules = &rules
	if g.server.Life.IsZero() {
		return
	}
	if g.gate == nil {
		g.replaceGate(now)
		if g.server.State == ibisroster.StateLeaving {
			g.apply(ibisadmit.DrainEvent{}, now)
		}
	} else {
		g.apply(ibisadmit.PolicyEvent{
			Policy: rules.Policy,
		}, now)
	}
	wasOut := before != nil && before.Out
	if rules.Out && !wasOut {
		g.refuseWaiting(ibisadmit.ReasonDomainOut)
	}
	if back := now.Add(rules.ColdStart); wasOut && !rules.Out && back.After(g.coldUntil) {
		g.coldUntil = back
	}
	g.applyCold(now)
}
