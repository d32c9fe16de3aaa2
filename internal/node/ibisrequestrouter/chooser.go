package ibisrequestrouter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

// choosers holds one chooser for each service that is not divided by key.
type choosers struct {
	config    ibisbalancer.Config
	ownership Ownership
	timer     ibistimer.Service

	mu        sync.Mutex
	random    *rand.Rand
	byService map[ibisid.ServiceName]*chooser
}

// chooser chooses the node for the requests of one service. It serializes the events of its core.
type chooser struct {
	mu         sync.Mutex
	core       *ibisbalancer.Chooser
	peers      map[ibisid.NodeName]ibisowner.Peer
	generation uint64
	nextID     ibisbalancer.AttemptID
}

func newChoosers(config ibisbalancer.Config, ownership Ownership, timer ibistimer.Service, random *rand.Rand) *choosers {
	return &choosers{
		config:    config,
		ownership: ownership,
		timer:     timer,
		random:    random,
		byService: make(map[ibisid.ServiceName]*chooser),
	}
}

// of returns the chooser of a service with up-to-date candidates.
func (c *choosers) of(service ibisid.ServiceName) *chooser {
	c.mu.Lock()
	found, ok := c.byService[service]
	if !ok {
		found = &chooser{
			core: ibisbalancer.New(c.config, rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))),
		}
		c.byService[service] = found
	}
	c.mu.Unlock()
	servers, generation := c.ownership.Servers(service)
	found.refresh(c.config, c.ownership.Self().Member.Name, servers, generation, c.timer.Now())
	return found
}

// refresh replaces the candidates if the set of servers has changed; it passes at most ibisbalancer.MaxPeers of them to the
// core.
func (c *chooser) refresh(config ibisbalancer.Config, self ibisid.NodeName, servers []ibisowner.Peer, generation uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers != nil && c.generation == generation {
		return
	}
	c.generation = generation
	all := make([]ibisbalancer.Candidate, len(servers))
	c.peers = make(map[ibisid.NodeName]ibisowner.Peer, len(servers))
	for i, s := range servers {
		all[i] = ibisbalancer.Candidate{
			Node:  s.Member.Name,
			Place: s.Place,
			Slots: s.Slots,
		}
		c.peers[s.Member.Name] = s
	}
	c.core.Update(ibisbalancer.CandidatesEvent{
		Candidates: ibisbalancer.SelectPeers(config, self, all, ibisbalancer.MaxPeers),
	}, now)
}

// choose selects a server and records the attempt as sent.
func (c *chooser) choose(r ibisbalancer.Request, now time.Time) (ibisowner.Peer, ibisbalancer.AttemptID, ibisbalancer.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.core.Choose(r, now)
	if choice.Refusal != ibisbalancer.RefusalNone {
		return ibisowner.Peer{}, 0, choice
	}
	c.nextID++
	c.core.Update(ibisbalancer.AttemptSentEvent{
		ID:    c.nextID,
		Node:  choice.Node,
		Class: r.Class,
	}, now)
	return c.peers[choice.Node], c.nextID, choice
}

func (c *chooser) done(event ibisbalancer.AttemptEndEvent, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Update(event, now)
}

// triedNodes is the list of nodes to which earlier attempts of a request were sent; a nil list stays empty.
type triedNodes struct {
	mu    sync.Mutex
	nodes []ibisid.NodeName
}

func (t *triedNodes) list() []ibisid.NodeName {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.nodes)
}

func (t *triedNodes) add(node ibisid.NodeName) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = append(t.nodes, node)
}

// runAtChosen sends the request to a chosen server; check is called immediately before the first byte is sent, and its
// error cancels the attempt. Nodes of earlier attempts are excluded, unless the other servers are busy.
func (rt *Router) runAtChosen(ctx context.Context, q *request, tried *triedNodes, check func() error) result {
	chooser := rt.choosers.of(q.match.Route.Service)
	wanted := ibisbalancer.Request{
		Class:   q.match.Route.Class,
		Homes:   q.homes,
		Exclude: tried.list(),
	}
	peer, id, choice := chooser.choose(wanted, rt.timer.Now())
	if choice.Refusal == ibisbalancer.RefusalBusy && len(wanted.Exclude) > 0 {
		wanted.Exclude = nil
		peer, id, choice = chooser.choose(wanted, rt.timer.Now())
	}
	if choice.Refusal != ibisbalancer.RefusalNone {
		return refused(busy(string(choice.Refusal), "no backend server of the service may take the request now", choice.RetryAfter))
	}
	tried.add(peer.Member.Name)
	r := rt.sendToServer(ctx, q, peer, check)
	rt.reportResult(ctx, chooser, id, peer, q, r)
	return r
}

func (rt *Router) sendToServer(ctx context.Context, q *request, peer ibisowner.Peer, check func() error) result {
	if peer.Member == rt.ownership.Self().Member {
		r := rt.runAtGate(ctx, q, nil, check)
		r.load = rt.gate.Load()
		return r
	}
	return rt.forward(ctx, q, peer, roleServer, check)
}

// reportResult reports the result of the attempt to the chooser; if there is an answer, it does so when the answer is closed.
func (rt *Router) reportResult(ctx context.Context, c *chooser, id ibisbalancer.AttemptID, peer ibisowner.Peer, q *request, r result) {
	event := ibisbalancer.AttemptEndEvent{
		ID:       id,
		Node:     peer.Member.Name,
		Result:   chooserResult(ctx, r),
		Latency:  r.latency,
		GateLoad: r.load,
		Bytes:    max(q.body.length, 0),
	}
	if r.refusal != nil {
		event.RetryAfter = r.refusal.RetryAfter
	}
	if r.answer == nil {
		c.done(event, rt.timer.Now())
		return
	}
	answer := r.answer
	answer.OnClose(func() {
		event.Bytes += answer.BytesRead()
		c.done(event, rt.timer.Now())
	})
}

func chooserResult(ctx context.Context, r result) ibisbalancer.Result {
	switch {
	case r.answer != nil && r.outcome == ibisid.OutcomeDone:
		return ibisbalancer.ResultDone
	case ctx.Err() != nil:
		return ibisbalancer.ResultCancelled
	case r.outcome == ibisid.OutcomeNotRun:
		return ibisbalancer.ResultRefused
	}
	return ibisbalancer.ResultFailed
}
