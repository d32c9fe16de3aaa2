package ibisfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibischoose"
)

const (
	// bufferedBody is the greatest body that is held in memory, so that it can be sent again.
	bufferedBody = 64 << 10
	// bufferedAnswer is the greatest answer that is read whole before its first byte goes out: if it breaks off it can be
	// asked for again.
	bufferedAnswer = 16 << 10
	// maxTries bounds how many nodes are asked for one request; each refusal costs a round trip.
	maxTries = 4
	// defaultRetry is when to come back where no gate said so.
	defaultRetry = 300 * time.Millisecond
	// retrySpread is the share by which times to come back are spread, so that callers don't return together.
	retrySpread = 0.3
	// ordinaryEvery is how many ordinary requests share one log line, so that lines take at most 3% of a node's time.
	ordinaryEvery = 10
	retryFloor    = 60 * time.Millisecond
	// refusalShare of a target may pass before another gate is asked after one was full: with a round trip between
	// regions on top, a refusal is still out within an eighth of usual targets.
	refusalShare = 16
)

// Peers sends an order to a node, the own one included.
type Peers interface {
	// Send sends an order to the node beside a backend server.
	Send(ctx context.Context, member ibisroster.Member, order ibisorder.Order) ibisorder.Answer
}

// Meter counts how requests end.
type Meter interface {
	// Ended counts a request of a caller that ended after the time.
	Ended(class ibisid.ClassName, answer ibisorder.Answer, held time.Duration)
}

// Config is what a front knows of its node.
type Config struct {
	// Node is the own node.
	Node ibisid.NodeName
	// Place is where it stands.
	Place ibisid.Place
}

// Front takes callers' requests; it is safe for concurrent use.
type Front struct {
	settings Config
	peers    Peers
	meter    Meter
	clock    ibistimer.Service
	log      *zap.Logger
	// ordinary counts requests that were answered in time at the first try.
	ordinary atomic.Uint64

	mu       sync.Mutex
	config   *ibisroute.Config
	out      ibisset.Set[ibisid.DomainName]
	roster   *ibisroster.Roster
	pages    map[ibisid.ServiceName]pageView
	choosers map[ibisid.ServiceName]*ibischoose.Chooser
	splitter *ibisroute.Splitter
	retries  budget
	random   *rand.Rand
	nextID   ibischoose.RequestID
	down     ibisset.Set[ibisid.NodeName]
	// longest is the longest that callers of each class were seen to wait, which is what they wait on their first attempt.
	longest map[ibisid.ClassName]time.Duration
}

// pageView is a page with the version of its row.
type pageView struct {
	page    ibiskeep.Page
	version uint64
}

// New returns a front that knows no configuration; random spreads times to come back and ties between servers.
func New(settings Config, peers Peers, meter Meter, clock ibistimer.Service, random *rand.Rand, log *zap.Logger) *Front {
	return &Front{
		settings: settings,
		peers:    peers,
		meter:    meter,
		clock:    clock,
		log:      log,
		roster:   ibisroster.New(),
		pages:    make(map[ibisid.ServiceName]pageView),
		choosers: make(map[ibisid.ServiceName]*ibischoose.Chooser),
		splitter: ibisroute.NewSplitter(),
		random:   random,
		retries:  budget{tokens: retryBurst},
		down:     make(ibisset.Set[ibisid.NodeName]),
		longest:  make(map[ibisid.ClassName]time.Duration),
	}
}

// Config returns the configuration in force, nil before the first.
func (f *Front) Config() *ibisroute.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetConfig puts a configuration in force unless a newer one is, and reports whether it did.
func (f *Front) SetConfig(config *ibisroute.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && f.config.Version() >= config.Version() {
		return false
	}
	f.config = config
	f.refresh()
	return true
}

// SetOut replaces the failure domains that take no work.
func (f *Front) SetOut(out ibisset.Set[ibisid.DomainName]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = out
	f.refresh()
}

// SetPage takes in a page that is newer than the one known.
func (f *Front) SetPage(service ibisid.ServiceName, page ibiskeep.Page, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pages[service].version < version {
		f.pages[service] = pageView{page: page, version: version}
	}
}

// UpdateRoster changes what is known of the members.
func (f *Front) UpdateRoster(change func(r *ibisroster.Roster)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.roster.Revision()
	change(f.roster)
	if f.roster.Revision() != before {
		f.refresh()
	}
}

// Members returns the members whose backend servers belong to a service.
func (f *Front) Members(service ibisid.ServiceName) []ibisroster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Of(service)
}

// Known returns the number of members.
func (f *Front) Known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Len()
}

// Member returns a member and whether it is known.
func (f *Front) Member(node ibisid.NodeName) (ibisroster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Member(node)
}

// SetDown says whether a node can't be reached; one that can't gets no requests.
func (f *Front) SetDown(node ibisid.NodeName, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down == f.down.Has(node) {
		return
	}
	if down {
		f.down.Add(node)
	} else {
		f.down.Remove(node)
	}
	f.refresh()
}

// refresh gives every chooser its candidates.
func (f *Front) refresh() {
	if f.config == nil {
		return
	}
	for _, name := range f.config.Services() {
		chooser := f.choosers[name]
		if chooser == nil {
			chooser = ibischoose.New(ibischoose.Config{
				Own:       f.settings.Place,
				MinChoice: 2,
				Aside:     true,
			}, f.random)
			f.choosers[name] = chooser
		}
		var candidates []ibischoose.Candidate
		for _, m := range f.roster.Of(name) {
			if m.Serves() && !f.out.Has(m.Place.Domain) && !f.down.Has(m.Node) {
				candidates = append(candidates, ibischoose.Candidate{
					Node:  m.Node,
					Place: m.Place,
					Slots: m.Server.Slots * 2,
				})
			}
		}
		chooser.Update(ibischoose.CandidatesEvent{Candidates: candidates}, f.clock.Now())
	}
}

// Serve brings a request to a backend server and returns its answer, or why there is none.
func (f *Front) Serve(ctx context.Context, request Request) ibisorder.Answer {
	p, refusal, ok := f.plan(request)
	if !ok {
		return refusal
	}
	body, rest, err := readBody(request, p.config.Limits().BodyBytes)
	if err != nil {
		reason := ibisorder.ReasonBadRequest
		if errors.Is(err, errTooLong) {
			reason = ibisorder.ReasonTooLong
		}
		return ibisorder.NotRun(reason, 0, err)
	}
	answer, tries := f.pursue(ctx, p, p.order(request, body, rest))
	f.meter.Ended(p.route.Name, answer, f.clock.Now().Sub(request.Arrived))
	f.tell(request, p, answer, tries)
	return answer
}

// try is one node that was asked, and what it answered.
type try struct {
	node    ibisid.NodeName
	reason  ibisorder.Reason
	outcome ibisid.Outcome
	took    time.Duration
}

// String returns the try for a log line.
func (t try) String() string {
	end := string(t.reason)
	if t.outcome == ibisid.OutcomeDone {
		end = string(t.outcome)
	}
	return fmt.Sprintf("%s %s after %d ms", t.node, end, t.took.Milliseconds())
}

// tell writes the line of a request: what was asked of whom, and what decided its end. Of requests that were answered in
// time at the first try only some have one.
func (f *Front) tell(request Request, p plan, answer ibisorder.Answer, tries []try) {
	held := f.clock.Now().Sub(request.Arrived)
	message := "request was answered"
	if answer.Outcome != ibisid.OutcomeDone {
		message = "request has no answer"
	} else if held <= p.route.Target && answer.Status < 500 && len(tries) == 1 && f.ordinary.Add(1)%ordinaryEvery != 0 {
		return
	}
	entry := f.log.Check(zap.InfoLevel, message)
	if entry == nil {
		return
	}
	asked := make([]string, 0, len(tries))
	for _, t := range tries {
		asked = append(asked, t.String())
	}
	fields := []zap.Field{
		zap.String("request", request.ID),
		zap.String("class", string(p.route.Name)),
		zap.String("service", string(p.service.Name)),
		zap.Int("priority", p.route.Priority),
		zap.Int("key", request.Key),
		zap.Duration("patience", request.Patience),
		zap.Duration("target", p.route.Target),
		zap.Duration("age", p.age),
		zap.Uint64("config", uint64(p.config.Version())),
		zap.Strings("asked", asked),
		zap.String("outcome", string(answer.Outcome)),
		zap.Duration("held", held),
	}
	if answer.Outcome == ibisid.OutcomeDone {
		entry.Write(append(fields, zap.Int("status", answer.Status))...)
		return
	}
	entry.Write(append(fields,
		zap.String("reason", string(answer.Reason)),
		zap.Duration("retryAfter", answer.RetryAfter),
		zap.Error(answer.Err))...)
}

var errTooLong = errors.New("body is longer than the configuration allows")

// readBody reads a short body whole; of a longer one it returns the beginning and the rest.
func readBody(r Request, limit int64) ([]byte, io.Reader, error) {
	if r.Body == nil || r.Length == 0 {
		return nil, nil, nil
	}
	if limit > 0 && r.Length > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLong, r.Length, limit)
	}
	if r.Length > bufferedBody {
		return nil, r.Body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bufferedBody+1))
	if err != nil {
		return nil, nil, fmt.Errorf("read the body: %w", err)
	}
	if len(body) > bufferedBody {
		return body, r.Body, nil
	}
	return body, nil, nil
}

func (f *Front) plan(r Request) (plan, ibisorder.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return plan{}, ibisorder.NotRun(ibisorder.ReasonNoConfig, f.spread(time.Second), nil), false
	}
	route, ok := f.config.Match(r.Host, r.Path)
	if !ok {
		return plan{}, ibisorder.NotRun(ibisorder.ReasonNoRoute, 0, nil), false
	}
	service, _ := f.config.Service(f.splitter.Next(f.config.Version(), route))
	span := route.Timeout
	if r.Patience > 0 {
		span = min(span, r.Patience)
	}
	target := route.Target
	if target <= 0 {
		target = span
	}
	f.retries.earn()
	age := f.ageOf(route, r.Patience)
	return plan{
		route:    route,
		config:   f.config,
		service:  service,
		target:   r.Arrived.Add(min(target-age, span)),
		deadline: r.Arrived.Add(span),
		arrived:  r.Arrived,
		age:      age,
	}, ibisorder.Answer{}, true
}

// ageOf returns for how long a caller has been trying already: what it waits now falls short of what callers of the class
// wait on their first attempt. Its target counts from then; f.mu is held.
func (f *Front) ageOf(route *ibisroute.Route, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	if patience > f.longest[route.Name] {
		f.longest[route.Name] = patience
	}
	return f.longest[route.Name] - patience
}

// pursue sends an order until it has an answer that is final.
func (f *Front) pursue(ctx context.Context, p plan, order ibisorder.Order) (ibisorder.Answer, []try) {
	var asked []ibisid.NodeName
	var tries []try
	var last ibisorder.Answer
	arrivals := 0
	hint := ibisid.NodeName("")
	for n := range maxTries {
		if n == 0 && order.Key != ibisorder.NoKey {
			order.PageVersion = f.pageVersion(p.service.Name)
		}
		member, refusal, ok := f.choose(p, order, asked, hint)
		if !ok {
			if n == 0 {
				return refusal, nil
			}
			break
		}
		began := f.clock.Now()
		last = f.attempt(ctx, p, member, order)
		tries = append(tries, try{node: member.Node, reason: last.Reason, outcome: last.Outcome, took: f.clock.Now().Sub(began)})
		if last.Arrived {
			arrivals++
		}
		if last.Outcome == ibisid.OutcomeDone {
			return last, tries
		}
		hint = last.Owner
		if hint != "" {
			order.PageVersion = last.PageVersion
		}
		asked = append(asked, member.Node)
		if order.Key != ibisorder.NoKey && hint == "" {
			break
		}
		if !f.mayTryAgain(ctx, p, order, last, arrivals) {
			break
		}
	}
	if last.Outcome == ibisid.OutcomeNotRun {
		f.mu.Lock()
		last.RetryAfter = f.spread(max(last.RetryAfter, defaultRetry))
		f.mu.Unlock()
	}
	return last, tries
}

// pageVersion returns the version of a service's page.
func (f *Front) pageVersion(service ibisid.ServiceName) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pages[service].version
}

// mayTryAgain reports whether a request may be sent again elsewhere.
func (f *Front) mayTryAgain(ctx context.Context, p plan, order ibisorder.Order, last ibisorder.Answer, arrivals int) bool {
	switch {
	case ctx.Err() != nil || !order.Resendable():
		return false
	case p.deadline.Sub(f.clock.Now()) < retryFloor:
		return false
	case last.Outcome == ibisid.OutcomeNotRun && !last.Arrived:
		// Where gates are full elsewhere will be too: the caller hears so while that is no loss yet.
		return !forLoad(last.Reason) || f.clock.Now().Sub(p.arrived) < p.route.Target/refusalShare
	case last.Outcome == ibisid.OutcomeUnknown && !order.Repeatable:
		return false
	case arrivals >= p.route.MaxAttempts:
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.spend()
}

// forLoad reports whether a gate refused because of the load on it.
func forLoad(r ibisorder.Reason) bool {
	switch r {
	case ibisorder.Reason(ibisadmit.ReasonTarget), ibisorder.Reason(ibisadmit.ReasonQueueFull), ibisorder.Reason(ibisadmit.ReasonDeadline):
		return true
	}
	return false
}

// spread lengthens a time to come back by a random share; f.mu is held.
func (f *Front) spread(d time.Duration) time.Duration {
	return d + time.Duration(f.random.Float64()*retrySpread*float64(d))
}

// choose picks the node for an order's next try.
func (f *Front) choose(p plan, order ibisorder.Order, asked []ibisid.NodeName, hint ibisid.NodeName) (ibisroster.Member, ibisorder.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.service.Sharded && order.Key != ibisorder.NoKey {
		return f.ownerOf(p, order, asked, hint)
	}
	choice := f.choosers[p.service.Name].Choose(ibischoose.Request{
		Class:   order.Class,
		Homes:   p.route.Homes,
		Exclude: asked,
	}, f.clock.Now())
	if choice.Refusal != ibischoose.RefusalNone {
		reason := ibisorder.ReasonBusy
		if choice.Refusal == ibischoose.RefusalHome {
			reason = ibisorder.ReasonNoServer
		}
		return ibisroster.Member{}, ibisorder.NotRun(reason, f.spread(max(choice.RetryAfter, defaultRetry)), nil), false
	}
	member, _ := f.roster.Member(choice.Node)
	return member, ibisorder.Answer{}, true
}

// ownerOf returns the member whose backend server owns the key.
func (f *Front) ownerOf(p plan, order ibisorder.Order, asked []ibisid.NodeName, hint ibisid.NodeName) (ibisroster.Member, ibisorder.Answer, bool) {
	node := hint
	if node == "" {
		r, ok := f.pages[p.service.Name].page.Find(order.Key)
		if !ok {
			return ibisroster.Member{}, ibisorder.NotRun(ibisorder.ReasonNoServer, f.spread(time.Second), nil), false
		}
		node = r.Owner.Node
	}
	member, ok := f.roster.Member(node)
	switch {
	case !ok || f.down.Has(node):
		return member, ibisorder.NotRun(ibisorder.ReasonUnreachable, f.spread(time.Second), nil), false
	case f.out.Has(member.Place.Domain), slices.Contains(asked, node):
		return member, ibisorder.NotRun(ibisorder.ReasonKeyMoving, f.spread(defaultRetry), nil), false
	case len(p.route.Homes) > 0 && !slices.Contains(p.route.Homes, member.Place.Region):
		return member, ibisorder.NotRun(ibisorder.ReasonNoServer, f.spread(time.Second), nil), false
	}
	return member, ibisorder.Answer{}, true
}

// attempt sends an order to one node and tells the chooser how it went. A short answer is read whole, so that one that
// breaks off counts as no answer.
func (f *Front) attempt(ctx context.Context, p plan, member ibisroster.Member, order ibisorder.Order) ibisorder.Answer {
	order.Server = member.Server.Life.ID
	chooser, id, began := f.sent(p, member.Node, order.Class)
	answer := f.peers.Send(ctx, member, order)
	latency := f.clock.Now().Sub(began)
	if answer.Outcome == ibisid.OutcomeDone {
		answer = wholeIfShort(answer)
	}
	done := ibischoose.DoneEvent{
		ID:         id,
		Node:       member.Node,
		Result:     resultOf(ctx, answer),
		Latency:    latency,
		RetryAfter: answer.RetryAfter,
		GateLoad:   max(answer.Load, 0),
	}
	if answer.Outcome != ibisid.OutcomeDone {
		f.done(chooser, done)
		return answer
	}
	answer.Body = &watchedBody{
		ReadCloser: answer.Body,
		end:        sync.OnceFunc(func() { f.done(chooser, done) }),
	}
	return answer
}

func (f *Front) sent(p plan, node ibisid.NodeName, class ibisid.ClassName) (*ibischoose.Chooser, ibischoose.RequestID, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	now := f.clock.Now()
	chooser := f.choosers[p.service.Name]
	chooser.Update(ibischoose.SentEvent{ID: f.nextID, Node: node, Class: class}, now)
	return chooser, f.nextID, now
}

func (f *Front) done(chooser *ibischoose.Chooser, e ibischoose.DoneEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chooser.Update(e, f.clock.Now())
}

func resultOf(ctx context.Context, a ibisorder.Answer) ibischoose.Result {
	switch {
	case ctx.Err() != nil:
		return ibischoose.ResultCancelled
	case a.Outcome == ibisid.OutcomeNotRun:
		return ibischoose.ResultRefused
	case a.Outcome == ibisid.OutcomeUnknown || a.Status >= 500:
		return ibischoose.ResultFailed
	}
	return ibischoose.ResultDone
}

// wholeIfShort reads a short answer to its end.
func wholeIfShort(a ibisorder.Answer) ibisorder.Answer {
	if a.Length > bufferedAnswer {
		return a
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, bufferedAnswer))
	if err != nil {
		_ = a.Body.Close()
		broken := ibisorder.Unknown(ibisorder.ReasonBroken, fmt.Errorf("read the answer: %w", err))
		broken.Load = a.Load
		return broken
	}
	if len(body) < bufferedAnswer {
		_ = a.Body.Close()
		if a.Length < 0 {
			a.Length = int64(len(body))
		}
		a.Body = io.NopCloser(bytes.NewReader(body))
		return a
	}
	a.Body = joinedBody{
		Reader: io.MultiReader(bytes.NewReader(body), a.Body),
		Closer: a.Body,
	}
	return a
}

// joinedBody reads what was read already and then the rest.
type joinedBody struct {
	io.Reader
	io.Closer
}

// watchedBody tells when an answer has ended.
type watchedBody struct {
	io.ReadCloser
	end func()
}

// Close ends the answer.
func (b *watchedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
