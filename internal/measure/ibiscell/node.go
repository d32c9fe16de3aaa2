package ibiscell

import (
	"context"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

const repairPeriod = time.Second

// node is one process of the system with its backend server and its own clock.
type node struct {
	world   *world
	name    ibisid.NodeName
	place   ibisid.Place
	clock   clock
	manager *ibisowner.Manager
	calls   managerCalls
	memory  *ibisidempotencydriver.Memory
	rows    *ibisrowcache.Rows
	router  *ibisrequestrouter.Router
	gate    *gate
	server  *server
	follows *follower
	pursuer *pursuer
	have    map[string]ibisplatform.Row
	cancel  context.CancelFunc

	dead    bool
	frozen  bool
	leaving bool
	left    time.Time
	// mute loses what the node sends, deaf what is sent to it.
	mute, deaf bool
	// hurt marks a process that a fault has killed or frozen.
	hurt    bool
	pending []func()
}

// add starts a process; a name that ran before joins anew beside a server that starts cold.
func (w *world) add(name ibisid.NodeName, place ibisid.Place) *node {
	n := &node{
		world: w,
		name:  name,
		place: place,
		clock: clock{
			anchor: w.now(),
			local:  w.now(),
			rate:   1,
		},
		rows: ibisrowcache.New(),
		have: make(map[string]ibisplatform.Row),
	}
	again := w.known(name)
	n.server = newServer(n, again)
	n.gate = newGate(n, again)
	n.memory = ibisidempotencydriver.New(ibisidempotency.Config{TicketKey: make([]byte, 32)}, n, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.manager = ibisowner.New(ibisowner.Config{
		Name:        name,
		Place:       place,
		PeerAddress: string(name),
	}, ibisowner.Dependencies{
		Table:  n,
		Rows:   n.rows,
		Peers:  n,
		Gate:   n.gate,
		Memory: n.memory,
		Timer:  n,
		Log:    zap.NewNop(),
	}, ibisowner.WithStarter(n), ibisowner.WithWitnessGrace(worldGrace))
	n.manager.Register(n)
	n.follows = newFollower(n)
	n.pursuer = newPursuer(n)
	n.router = ibisrequestrouter.New(ibisrequestrouter.Dependencies{
		Ownership: ownership{
			Manager: n.manager,
			node:    n,
		},
		Gate:      n.gate,
		Peers:     noPeers{},
		Documents: n.follows,
		Memory:    n.memory,
		Timer:     n,
		Metrics:   metrics.NewSet(),
		Log:       zap.NewNop(),
		Seed:      w.random.Uint64(),
	})
	w.nodes = append(w.nodes, n)
	n.rows.Subscribe("", n.pass)
	n.manager.Start(ctx)
	n.follows.start()
	n.gate.start()
	n.Every(repairPeriod, func(time.Time) { n.repair() })
	n.repair()
	return n
}

func (w *world) known(name ibisid.NodeName) bool {
	for _, n := range w.nodes {
		if n.name == name {
			return true
		}
	}
	return false
}

func (n *node) stop() { n.cancel() }

// kill ends the instance: process and backend server.
func (n *node) kill() {
	n.dead = true
	n.server.dead = true
	n.stop()
}

func (n *node) freeze() {
	n.frozen = true
	n.hurt = true
}

// thaw lets a frozen process go on where it was.
func (n *node) thaw() {
	if n.dead || !n.frozen {
		return
	}
	n.frozen = false
	pending := n.pending
	n.pending = nil
	for _, f := range pending {
		n.world.after(0, func() { n.do(f) })
	}
}

// do runs f unless the process has ended, and keeps it for later while it is frozen.
func (n *node) do(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.pending = append(n.pending, f)
	default:
		f()
	}
}

// Start makes the node the starter of its manager's tasks.
func (n *node) Start(_ bool, f func()) {
	n.world.after(n.world.latency(), func() { n.do(f) })
}

// Now tells the time by the node's own clock.
func (n *node) Now() time.Time { return n.clock.at(n.world.now()) }

// After calls f once the delay has passed by the node's own clock.
func (n *node) After(d time.Duration, f func(time.Time)) ibistimer.Subscription {
	return n.world.timer.After(n.clock.real(d), func(time.Time) { n.do(func() { f(n.Now()) }) })
}

// Every calls f each time the period has passed; a frozen process misses the calls.
func (n *node) Every(d time.Duration, f func(time.Time)) ibistimer.Subscription {
	return n.world.timer.Every(n.clock.real(d), func(time.Time) {
		if !n.frozen {
			n.do(func() { f(n.Now()) })
		}
	})
}

// clock is a clock whose rate may be wrong.
type clock struct {
	anchor time.Time
	local  time.Time
	rate   float64
}

func (c *clock) at(now time.Time) time.Time {
	return c.local.Add(time.Duration(float64(now.Sub(c.anchor)) * c.rate))
}

// real returns how long a span of this clock takes, rounded up, since no timer fires before its time.
func (c *clock) real(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) / c.rate))
}

func (c *clock) setRate(now time.Time, rate float64) {
	c.local = c.at(now)
	c.anchor = now
	c.rate = rate
}

// store returns the document's store as the node reaches it.
func (n *node) store() *ibissection.Store { return ibissection.New(n, n, n) }
