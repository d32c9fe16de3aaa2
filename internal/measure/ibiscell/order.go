package ibiscell

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

const (
	answerGrace = 250 * time.Millisecond
	askAgain    = 300 * time.Millisecond
)

// order is one caller's request, whether or not it may run twice.
type order struct {
	key        string
	method     string
	path       string
	token      string
	tenant     ibisid.TenantName
	idempotent bool
	homes      []ibisid.RegionName
	attempts   int
	runs       int
	by         map[string]int
	denied     map[string]bool
	finals     []final
	sent       time.Time
}

// final is what the caller got for one sending.
type final struct {
	outcome ibisid.Outcome
	body    string
}

func (o *order) last() ibisid.Outcome {
	if len(o.finals) == 0 {
		return ""
	}
	return o.finals[len(o.finals)-1].outcome
}

// pursuer is the retry policy of one entry node, and its choice of servers.
type pursuer struct {
	node     *node
	policy   *ibisretry.Policy
	chooser  *ibisbalancer.Chooser
	seen     uint64
	nextID   ibisretry.RequestID
	attempt  ibisbalancer.AttemptID
	pursuits map[ibisretry.RequestID]*pursuit
}

// pursuit is one request at an entry node.
type pursuit struct {
	class    ibisid.ClassName
	sent     *sending
	number   int
	deadline time.Time
	tried    []ibisid.NodeName
	answers  map[ibisretry.Attempt]final
	ended    bool
}

func newPursuer(n *node) *pursuer {
	return &pursuer{
		node:     n,
		policy:   ibisretry.New(ibisretry.Config{}, rand.New(rand.NewPCG(n.world.random.Uint64(), 3))),
		chooser:  ibisbalancer.New(ibisbalancer.Config{Own: n.place, EjectStragglers: true}, rand.New(rand.NewPCG(n.world.random.Uint64(), 4))),
		pursuits: make(map[ibisretry.RequestID]*pursuit),
	}
}

// newKey returns a UUIDv7 of the present moment.
func (w *world) newKey() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(w.now().UnixMilli())<<16)
	w.lastKey++
	binary.BigEndian.PutUint64(id[8:], w.lastKey)
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id.String()
}

// newOrder returns a request for a random key, by a tenant with home regions now and then.
func (w *world) newOrder(idempotent bool) *order {
	o := &order{
		key:        w.newKey(),
		idempotent: idempotent,
		token:      shopToken,
		tenant:     shopTenant,
		by:         make(map[string]int),
	}
	if w.random.IntN(4) == 0 {
		o.token = homeToken
		o.tenant = homeTenant
		o.homes = []ibisid.RegionName{homeRegion}
	}
	number := w.random.IntN(100_000) + 1
	switch {
	case w.service == deskService:
		o.method = http.MethodGet
		o.idempotent = true
		o.path = fmt.Sprintf("/stock/item-%d", number)
	case idempotent:
		o.method = http.MethodGet
		o.path = fmt.Sprintf("/designs/MAT-%d", number)
	default:
		o.method = http.MethodPost
		o.path = fmt.Sprintf("/designs/MAT-%d/prints", number)
	}
	w.orders[o.key] = o
	return o
}

// entryNodes lists the live nodes that a caller of the order may turn to, as its refusals would name them.
func (w *world) entryNodes(o *order) []*node {
	var out []*node
	for _, n := range w.live() {
		if ibisbalancer.CheckHome(ibisbalancer.Config{Own: n.place}, o.homes).Serve && !n.leaving {
			out = append(out, n)
		}
	}
	if w.service == deskService && len(out) > 0 {
		return out[:1]
	}
	return out
}

// place sends the order to an entry node and keeps what comes of it; a caller gives up after a while.
func (w *world) place(o *order, entryNode *node) {
	o.sent = w.now()
	w.points("sent", entryNode)
	sending := &sending{
		world: w,
		order: o,
	}
	w.after(w.latency(), func() { entryNode.do(func() { entryNode.pursuer.start(sending) }) })
	w.after(callerPatience, sending.giveUp)
}

// sending is one sending of an order, which gets one answer.
type sending struct {
	world *world
	order *order
	// attempts names what the entry node tried for this sending alone.
	attempts []string
	answered bool
	gaveUp   bool
}

func (s *sending) answer(f final) {
	if s.gaveUp {
		return
	}
	if s.answered {
		s.world.broken.add(s.world, wholeAnswer, "one sending of order %s got two answers", s.order.key)
		return
	}
	s.answered = true
	s.world.answered(s, f)
}

func (s *sending) giveUp() {
	if s.answered {
		return
	}
	s.gaveUp = true
	s.world.answered(s, final{outcome: ibisid.OutcomeUnknown})
}

// callerPatience is how long a caller waits for any answer; an entry node that died or froze gives none.
const callerPatience = 6 * time.Second

func (p *pursuer) start(sent *sending) {
	n := p.node
	o := sent.order
	doc := n.follows.Current()
	if doc == nil || n.follows.Stale() {
		p.reply(sent.answer, final{outcome: ibisid.OutcomeNotRun})
		return
	}
	match, _ := doc.MatchRoute(o.method, "", o.path)
	budget := doc.Class(match.Route.Class).Deadline.Duration
	service, _ := doc.Service(match.Route.Service)
	if !o.idempotent {
		budget = min(budget, service.LongestOrder.Duration)
	}
	p.nextID++
	id := p.nextID
	pursuit := &pursuit{
		class:    match.Route.Class,
		sent:     sent,
		deadline: n.Now().Add(budget),
		answers:  make(map[ibisretry.Attempt]final),
	}
	p.pursuits[id] = pursuit
	p.apply(id, p.policy.Update(ibisretry.StartEvent{
		ID:         id,
		Class:      match.Route.Class,
		Idempotent: o.idempotent,
		Hedge:      doc.Class(match.Route.Class).Hedge && n.world.service == deskService,
		Deadline:   pursuit.deadline,
	}, n.Now()))
}

// reply brings the entry node's answer to the caller.
func (p *pursuer) reply(done func(final), f final) {
	p.node.world.after(p.node.world.latency(), func() {
		if !p.node.dead {
			done(f)
		}
	})
}

func (p *pursuer) apply(id ibisretry.RequestID, effects []ibisretry.Effect) {
	pursuit := p.pursuits[id]
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisretry.SendEffect:
			if e.Hedge {
				p.node.world.points("hedge", p.node)
			}
			if e.Attempt > 1 {
				p.node.world.points("again", p.node)
			}
			p.send(id, pursuit, e.Attempt)
		case ibisretry.WakeEffect:
			p.node.After(e.At.Sub(p.node.Now()), func(time.Time) {
				if !pursuit.ended {
					p.apply(id, p.policy.Update(ibisretry.WakeEvent{ID: id}, p.node.Now()))
				}
			})
		case ibisretry.FinishEffect:
			if pursuit.ended {
				continue
			}
			pursuit.ended = true
			f := pursuit.answers[e.Attempt]
			f.outcome = e.Outcome
			p.reply(pursuit.sent.answer, f)
		}
	}
}

// answer tells the policy of the end of an attempt, once.
func (p *pursuer) answer(id ibisretry.RequestID, attempt ibisretry.Attempt, began time.Time) func(final) {
	ended := false
	return func(f final) {
		pursuit := p.pursuits[id]
		if ended {
			return
		}
		ended = true
		pursuit.answers[attempt] = f
		if f.outcome == ibisid.OutcomeNotRun {
			p.node.world.points("notRun", p.node)
		}
		p.apply(id, p.policy.Update(ibisretry.AttemptEndEvent{
			ID:      id,
			Attempt: attempt,
			Outcome: f.outcome,
			Latency: p.node.Now().Sub(began),
		}, p.node.Now()))
	}
}

// send makes one attempt: at the owner of the key, or at a chosen server.
func (p *pursuer) send(id ibisretry.RequestID, pursuit *pursuit, attempt ibisretry.Attempt) {
	o := pursuit.sent.order
	o.attempts++
	name := fmt.Sprintf("%s/%d", o.key, o.attempts)
	done := p.answer(id, attempt, p.node.Now())
	if p.node.world.service == deskService {
		p.sendChosen(pursuit, name, done)
		return
	}
	slot, key := p.node.slotOf(o)
	p.askOwner(pursuit, slot, key, name, 2, done)
}

// slotOf returns the slot and the key of an order as the node's document has them.
func (n *node) slotOf(o *order) (ibisid.Slot, string) {
	doc := n.follows.Current()
	match, _ := doc.MatchRoute(o.method, "", o.path)
	space, slots := doc.SlotSpaceFor(match, o.tenant)
	return ibisid.Slot{
		Space: space,
		Index: ibisname.SlotOf(string(match.Key), slots),
	}, string(match.Key)
}

// askOwner asks the node that is known to own the slot, and once more where that names another.
func (p *pursuer) askOwner(pursuit *pursuit, slot ibisid.Slot, key, attempt string, tries int, done func(final)) {
	owner, ok := p.node.manager.Owner(slot, key)
	if !ok || tries == 0 {
		p.node.After(0, func(time.Time) { done(final{outcome: ibisid.OutcomeNotRun}) })
		return
	}
	p.forward(pursuit, owner, "owner", fmt.Sprintf("%s/%d", attempt, tries), func(f final, hint ibisid.Member) {
		if f.outcome != ibisid.OutcomeNotRun || hint.IsZero() {
			done(f)
			return
		}
		p.node.manager.RecordOwnerHint(slot, key, hint)
		if next, ok := p.node.manager.Owner(slot, key); !ok || next.Member == owner.Member {
			done(f)
			return
		}
		p.askOwner(pursuit, slot, key, attempt, tries-1, done)
	})
}

// forward brings an attempt to another node, or to this one, and its answer back.
func (p *pursuer) forward(pursuit *pursuit, to ibisowner.Peer, role, attempt string, done func(final, ibisid.Member)) {
	w := p.node.world
	pursuit.sent.attempts = append(pursuit.sent.attempts, attempt)
	remaining := pursuit.deadline.Sub(p.node.Now())
	if remaining <= 0 {
		done(final{outcome: ibisid.OutcomeNotRun}, ibisid.Member{})
		return
	}
	closed := false
	once := func(f final, hint ibisid.Member) {
		if !closed {
			closed = true
			w.noteAttempt(pursuit.sent.order, attempt, f)
			done(f, hint)
		}
	}
	target := w.find(ibisid.NodeName(to.Address))
	if target == nil || target.deaf && target != p.node {
		// Nobody accepts the connection, so nothing was handed over.
		p.node.After(answerGrace, func(time.Time) { once(final{outcome: ibisid.OutcomeNotRun}, ibisid.Member{}) })
		return
	}
	p.node.After(remaining+answerGrace, func(time.Time) { once(final{outcome: ibisid.OutcomeUnknown}, ibisid.Member{}) })
	typical := ""
	if target != p.node {
		typical = p.node.gate.report(pursuit.class)
	}
	serve := func() {
		target.serve(pursuit.sent.order, role, attempt, typical, remaining, func(f final, hint ibisid.Member, reported string) {
			w.points("answered", target)
			if target == p.node {
				once(f, hint)
				return
			}
			w.sendOnce(target, p.node, func() {
				p.node.gate.learn(pursuit.class, reported)
				once(f, hint)
			})
		})
	}
	if target == p.node {
		p.node.After(0, func(time.Time) { serve() })
		return
	}
	w.sendOnce(p.node, target, serve)
}

// serve runs the node's own handler of forwarded requests.
func (n *node) serve(o *order, role, attempt, typical string, remaining time.Duration, answer func(f final, hint ibisid.Member, reported string)) {
	n.world.points("arrived", n)
	request := &http.Request{
		Method: o.method,
		URL: &url.URL{
			Path: o.path,
		},
		Header: http.Header{
			"Authorization":                 []string{"Bearer " + o.token},
			"X-Ibis-Role":                   []string{role},
			headerAttempt:                   []string{attempt},
			ibiscaller.HeaderDeadline:       []string{remaining.String()},
			ibiscaller.HeaderIdempotencyKey: []string{o.key},
		},
		Body: http.NoBody,
	}
	if typical != "" {
		request.Header.Set(ibisbackend.HeaderTypical, typical)
	}
	n.world.spawn(func(ctx context.Context) {
		r := &recorder{
			header: http.Header{},
		}
		n.router.Peers().ServeHTTP(r, request.WithContext(ctx))
		f, hint := r.final()
		n.world.after(0, func() { n.do(func() { answer(f, hint, r.header.Get(ibisbackend.HeaderTypical)) }) })
	})
}

// sendChosen sends an attempt to a server that the choice core picks.
func (p *pursuer) sendChosen(pursuit *pursuit, attempt string, done func(final)) {
	n := p.node
	servers, generation := n.manager.Servers(deskService)
	if generation != p.seen {
		p.seen = generation
		var all []ibisbalancer.Candidate
		for _, s := range servers {
			all = append(all, ibisbalancer.Candidate{
				Node:  s.Member.Name,
				Place: s.Place,
				Slots: s.Slots,
			})
		}
		p.chooser.Update(ibisbalancer.CandidatesEvent{
			Candidates: ibisbalancer.SelectPeers(ibisbalancer.Config{Own: n.place, EjectStragglers: true}, n.name, all, ibisbalancer.MaxPeers),
		}, n.Now())
	}
	choice := p.chooser.Choose(ibisbalancer.Request{
		Homes:   pursuit.sent.order.homes,
		Exclude: pursuit.tried,
	}, n.Now())
	for _, s := range servers {
		if choice.Refusal == ibisbalancer.RefusalNone && s.Member.Name == choice.Node {
			p.follow(pursuit, s, attempt, done)
			return
		}
	}
	n.After(0, func(time.Time) { done(final{outcome: ibisid.OutcomeNotRun}) })
}

func (p *pursuer) follow(pursuit *pursuit, to ibisowner.Peer, attempt string, done func(final)) {
	n := p.node
	p.attempt++
	id := p.attempt
	began := n.Now()
	pursuit.tried = append(pursuit.tried, to.Member.Name)
	p.chooser.Update(ibisbalancer.AttemptSentEvent{
		ID:   id,
		Node: to.Member.Name,
	}, began)
	p.forward(pursuit, to, "server", attempt, func(f final, _ ibisid.Member) {
		result := ibisbalancer.ResultFailed
		switch f.outcome {
		case ibisid.OutcomeDone:
			result = ibisbalancer.ResultDone
		case ibisid.OutcomeNotRun:
			result = ibisbalancer.ResultRefused
		}
		p.chooser.Update(ibisbalancer.AttemptEndEvent{
			ID:      id,
			Node:    to.Member.Name,
			Result:  result,
			Latency: n.Now().Sub(began),
		}, n.Now())
		done(f)
	})
}
