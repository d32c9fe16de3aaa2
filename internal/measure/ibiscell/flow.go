package ibiscell

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

const (
	backAfter    = 12 * time.Second
	drainLook    = 40 * time.Millisecond
	replaceAfter = 10 * time.Second
	drainSpan    = 6 * time.Second
	straggleSpan = 20 * time.Second
	// stragglerIndex is a node in the failure domain of the entry node, which sends it much of its work.
	stragglerIndex = 6
	cutDomain      = ibisid.DomainName("tampere-a")
)

// step is a moment in a flow: the first time that a point is passed, by any node or by the actor alone.
type step struct {
	name  string
	point string
	// actor lets only the flow's own node pass the point.
	actor bool
	// hitActor brings the fault on the flow's own node, whoever passes the point.
	hitActor bool
}

// flow is something that the system does, cut into its steps.
type flow struct {
	name    string
	service ibisid.ServiceName
	checks  bool
	steps   []step
	// begin starts the flow and returns its own node.
	begin func(w *world) *node
}

// atOnce is the step before anything of the flow has happened.
func atOnce(name string) step { return step{name: name, actor: true} }

func killed(w *world) *node {
	n := w.nodes[1]
	die(w, n)
	w.after(replaceAfter+faultSpan, func() { replace(w, n) })
	return n
}

var takeOverSteps = []step{
	{name: "suspected", point: "call suspect"},
	{name: "promises asked", point: "call ask"},
	{name: "death committed", point: "commit deaths"},
	{name: "death known", point: "committed deaths"},
	{name: "page committed", point: "commit page"},
	{name: "page known", point: "committed page"},
}

// flows lists every flow, in the order of the table.
func flows() []flow {
	return []flow{
		{
			name: "join", service: floorService, checks: true,
			steps: []step{
				atOnce("starts"),
				{name: "row sent", point: "commit member", actor: true},
				{name: "row known", point: "committed member", actor: true},
				{name: "first heartbeat", point: "call heartbeat", actor: true},
			},
			begin: func(w *world) *node { return w.add("n9", worldPlaces[4]) },
		},
		{
			name: "renew", service: floorService, checks: true,
			steps: []step{
				atOnce("at rest"),
				{name: "heartbeat sent", point: "call heartbeat", actor: true},
				{name: "heartbeat answered", point: "called heartbeat", actor: true},
			},
			begin: func(w *world) *node { return w.nodes[2] },
		},
		{
			name: "takeOver", service: floorService, checks: true,
			steps: takeOverSteps,
			begin: killed,
		},
		{
			name: "takeOverUnfenced", service: floorService, checks: false,
			steps: takeOverSteps,
			begin: killed,
		},
		{
			name: "move", service: floorService, checks: true,
			steps: []step{
				{name: "memory sent", point: "call handOver", actor: true},
				{name: "memory arrives", point: "receive handOver"},
				{name: "memory arrived", point: "called handOver", actor: true},
				{name: "page committed", point: "commit page", actor: true},
				{name: "page known", point: "committed page", actor: true},
			},
			begin: func(w *world) *node {
				n := w.nodes[3]
				n.gate.state = ibisbackend.StateDraining
				w.after(drainSpan, func() { n.gate.state = ibisbackend.StateServing })
				return n
			},
		},
		{
			name: "rebalance", service: floorService, checks: true,
			steps: []step{
				{name: "asked", point: "call move"},
				{name: "memory sent", point: "call handOver"},
				{name: "memory arrives", point: "receive handOver"},
				{name: "page known, receiver", point: "committed page", hitActor: true},
			},
			begin: func(w *world) *node { return w.add("n9", worldPlaces[2]) },
		},
		{
			name: "order", service: floorService, checks: true,
			steps: []step{
				{name: "sent", point: "sent"},
				{name: "arrived", point: "arrived", actor: true},
				{name: "handed over", point: "hand over", actor: true},
				{name: "running", point: "running", actor: true},
				{name: "ran", point: "ran", actor: true},
				{name: "answered", point: "answered", actor: true},
			},
			begin: func(w *world) *node { return w.nodes[3] },
		},
		{
			name: "orderUnfenced", service: floorService, checks: false,
			steps: []step{
				{name: "sent", point: "sent"},
				{name: "arrived", point: "arrived", actor: true},
				{name: "handed over", point: "hand over", actor: true},
				{name: "running", point: "running", actor: true},
				{name: "ran", point: "ran", actor: true},
				{name: "answered", point: "answered", actor: true},
			},
			begin: func(w *world) *node { return w.nodes[3] },
		},
		{
			name: "retry", service: floorService, checks: true,
			steps: []step{
				{name: "refused", point: "notRun"},
				{name: "sent again", point: "again"},
			},
			begin: killed,
		},
		{
			name: "hedge", service: deskService, checks: true,
			steps: []step{
				{name: "first runs", point: "running", hitActor: true},
				{name: "hedge sent, at the door", point: "hedge"},
				{name: "hedge sent, at the straggler", point: "hedge", hitActor: true},
				{name: "answered", point: "answered"},
			},
			begin: func(w *world) *node {
				n := w.nodes[stragglerIndex]
				n.server.slow = w.now().Add(straggleSpan)
				return n
			},
		},
		{
			name: "changeDocument", service: floorService, checks: true,
			steps: []step{
				{name: "sent", point: "change sent"},
				{name: "committing", point: "commit doc"},
				{name: "committed", point: "committed doc"},
				{name: "hinted", point: "hint"},
				{name: "fetching", point: "fetch"},
				{name: "in force at the first", point: "in force"},
			},
			begin: func(w *world) *node {
				w.change("one", domainEdit("kempele-b", ibisdoc.DomainIn), nil)
				w.change("two", classEdit, nil)
				return w.nodes[0]
			},
		},
		{
			name: "domainOut", service: floorService, checks: true,
			steps: []step{
				{name: "asked", point: "change sent"},
				{name: "committed", point: "committed doc"},
				{name: "in force at the first", point: "in force"},
				{name: "in force there", point: "in force", actor: true},
				{name: "memory sent", point: "call handOver", actor: true},
				{name: "page known", point: "committed page", actor: true},
				{name: "asked back", point: "asked back", hitActor: true},
			},
			begin: domainOutAndBack,
		},
		{
			name: "stop", service: floorService, checks: true,
			steps: []step{
				atOnce("asked"),
				{name: "memory sent", point: "call handOver", actor: true},
				{name: "memory arrived", point: "called handOver", actor: true},
				{name: "page known", point: "committed page", actor: true},
				{name: "leaving row sent", point: "commit member", actor: true},
			},
			begin: func(w *world) *node {
				w.leave(w.nodes[4])
				return w.nodes[4]
			},
		},
	}
}

func domainOutAndBack(w *world) *node {
	w.change("out", domainEdit(cutDomain, ibisdoc.DomainOut), nil)
	w.leaves = cutDomain
	w.after(backAfter, func() {
		w.leaves = ""
		delete(w.out, cutDomain)
		w.points("asked back", w.nodes[0])
		w.change("in", domainEdit(cutDomain, ibisdoc.DomainIn), nil)
	})
	return w.nodes[1]
}

// leave stops a node as planned and replaces it later.
func (w *world) leave(n *node) {
	n.leaving = true
	n.left = w.now()
	var look func()
	look = func() {
		if n.dead {
			return
		}
		if !n.frozen && n.manager.HasLeft() {
			n.gate.drain()
		}
		if n.gate.drained {
			n.kill()
			w.after(replaceAfter, func() { replace(w, n) })
			return
		}
		w.after(drainLook, look)
	}
	n.do(n.manager.StartLeaving)
	w.after(drainLook, look)
}
