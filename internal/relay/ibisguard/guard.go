package ibisguard

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

const (
	// comingWait is how long a request waits for a key that the own backend server is about to get: a heartbeat and a half.
	comingWait = 1500 * time.Millisecond
	// movingRetry is when to come back for a key that is moving: a release and a heartbeat of the next owner.
	movingRetry = 800 * time.Millisecond
	// coldHeadroom is how much more than it says a cold server gets: half of what the rules allow above that.
	coldHeadroom = 1.25
	// shortestTime is the least time left that is worth a request to a backend server.
	shortestTime = 5 * time.Millisecond
)

// Backend sends one request to the backend server.
type Backend interface {
	// Send sends an order once to the life of the backend server; it returns when the answer's headers are there.
	Send(ctx context.Context, order ibisorder.Order, life ibisroster.Life, left time.Duration) ibisorder.Answer
}

// Ownership says where keys stand; ibiskeep decides it.
type Ownership interface {
	// Stand returns where a key stands and the node that owns it.
	Stand(key int) (ibiskeep.Standing, ibisid.NodeName)
	// PageVersion returns the version of the page that answers are given from.
	PageVersion() uint64
	// Refresh asks for the newest page, since somebody knows of a newer one.
	Refresh()
	// Changed returns a channel that is closed when grants change.
	Changed() <-chan struct{}
	// Ended says that the backend server's port takes no connections.
	Ended(life ibisroster.Life)
}

// Guard admits requests to the backend server of the own instance.
type Guard struct {
	backend   Backend
	ownership Ownership
	clock     ibistimer.Service
	log       *zap.Logger

	mu        sync.Mutex
	server    ibisroster.Server
	rules     *Rules
	coldUntil time.Time
	stopping  bool
	gate      *ibisadmit.Gate
	nextID    ibisadmit.RequestID
	waiting   map[ibisadmit.RequestID]chan verdict
	ticking   bool
	figures   Figures
}

// Figures counts what the guard decided since its start.
type Figures struct {
	// Admitted is the number of requests sent to the backend server.
	Admitted uint64
	// Refused is the number of requests that were not admitted.
	Refused uint64
	// Running is the number of requests at the backend server.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
}

// verdict is what the gate said of a request.
type verdict struct {
	admitted   bool
	reason     ibisadmit.Reason
	retryAfter time.Duration
}

// New returns a guard without a backend server.
func New(backend Backend, ownership Ownership, clock ibistimer.Service, log *zap.Logger) *Guard {
	return &Guard{
		backend:   backend,
		ownership: ownership,
		clock:     clock,
		log:       log,
		waiting:   make(map[ibisadmit.RequestID]chan verdict),
	}
}

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
	g.gate = ibisadmit.New(ibisadmit.Config{
		Slots:       g.server.Slots,
		Connections: max(g.rules.Connections, g.server.Slots),
		Law:         ibisadmit.LawFixed,
		KeepQueue:   g.rules.Sharded,
		Policy:      g.rules.Policy,
	}, now)
}

// applyCold bounds admission while the backend server is cold.
func (g *Guard) applyCold(now time.Time) {
	if g.rules.ColdPerSecond > 0 {
		g.apply(ibisadmit.ColdEvent{
			PerSecond: int(math.Ceil(g.rules.ColdPerSecond * coldHeadroom)),
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
		g.apply(ibisadmit.PolicyEvent{Policy: rules.Policy}, now)
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

// refuseWaiting sends everything back that waits.
func (g *Guard) refuseWaiting(reason ibisadmit.Reason) {
	now := g.clock.Now()
	for id, answer := range g.waiting {
		delete(g.waiting, id)
		g.apply(ibisadmit.CancelEvent{ID: id}, now)
		answer <- verdict{reason: reason}
	}
}

// Stop makes the guard refuse new requests, as the node is about to end.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.refuseWaiting(ibisadmit.ReasonDraining)
}

// Server returns the backend server as it is known.
func (g *Guard) Server() ibisroster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server
}

// Figures returns what the guard decided so far.
func (g *Guard) Figures() Figures {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.figures
	f.Waiting = len(g.waiting)
	if g.gate != nil {
		f.Running = g.gate.Running()
	}
	return f
}

// Send runs an order on the own backend server, or answers why it was not run.
func (g *Guard) Send(ctx context.Context, order ibisorder.Order) ibisorder.Answer {
	if refusal, ok := g.awaitKey(ctx, order); !ok {
		return g.withLoad(refusal)
	}
	id, life, refusal, ok := g.admit(ctx, order)
	if !ok {
		return g.withLoad(refusal)
	}
	if refusal, ok := g.checkKey(order); !ok {
		g.finish(id, ibisadmit.FinishEvent{ID: id})
		return g.withLoad(refusal)
	}
	began := g.clock.Now()
	left := order.Deadline.Sub(began)
	if left < shortestTime {
		g.finish(id, ibisadmit.FinishEvent{ID: id})
		return g.withLoad(ibisorder.NotRun(ibisorder.ReasonDeadline, 0, nil))
	}
	answer := g.backend.Send(ctx, order, life, left)
	latency := g.clock.Now().Sub(began)
	if answer.Outcome != ibisid.OutcomeDone {
		if answer.Reason == ibisorder.ReasonServerEnded {
			g.ownership.Ended(life)
		}
		g.finish(id, ibisadmit.FinishEvent{ID: id, Latency: latency, Failed: answer.Arrived})
		return g.withLoad(answer)
	}
	g.head(id)
	answer.Body = &countedBody{
		from: answer.Body,
		end: sync.OnceFunc(func() {
			g.finish(id, ibisadmit.FinishEvent{ID: id, Latency: latency, Failed: answer.Status >= http.StatusInternalServerError})
		}),
	}
	return g.withLoad(answer)
}

// countedBody frees the slot when the answer has been read to its end or was given up.
type countedBody struct {
	from io.ReadCloser
	end  func()
}

// Read reads the body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close gives the body up.
func (b *countedBody) Close() error {
	b.end()
	return b.from.Close()
}

func (g *Guard) withLoad(a ibisorder.Answer) ibisorder.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate != nil {
		a.Load = g.gate.Load(g.clock.Now())
	}
	return a
}

// checkKey reports whether the backend server holds the order's key now.
func (g *Guard) checkKey(order ibisorder.Order) (ibisorder.Answer, bool) {
	g.mu.Lock()
	sharded := g.rules != nil && g.rules.Sharded
	g.mu.Unlock()
	if !sharded || order.Key == ibisorder.NoKey {
		return ibisorder.Answer{}, true
	}
	standing, owner := g.ownership.Stand(order.Key)
	switch standing {
	case ibiskeep.StandingHeld:
		return ibisorder.Answer{}, true
	case ibiskeep.StandingElsewhere:
		version := g.ownership.PageVersion()
		if order.PageVersion > version {
			g.ownership.Refresh()
			break
		}
		answer := ibisorder.NotRun(ibisorder.ReasonKeyElsewhere, 0, nil)
		answer.Owner = owner
		answer.PageVersion = version
		return answer, false
	case ibiskeep.StandingComing, ibiskeep.StandingNowhere:
	}
	return ibisorder.NotRun(ibisorder.ReasonKeyMoving, movingRetry, nil), false
}

// awaitKey waits a moment for a key that the own backend server is about to get, or that is about to have another owner: a
// refused call costs the work of whoever made it, a wait of some hundred milliseconds does not.
func (g *Guard) awaitKey(ctx context.Context, order ibisorder.Order) (ibisorder.Answer, bool) {
	refusal, ok := g.checkKey(order)
	if ok || refusal.Reason != ibisorder.ReasonKeyMoving {
		return refusal, ok
	}
	limit := min(comingWait, order.Deadline.Sub(g.clock.Now())/2)
	if limit <= 0 {
		return refusal, false
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		changed := g.ownership.Changed()
		if refusal, ok = g.checkKey(order); ok || refusal.Reason != ibisorder.ReasonKeyMoving {
			return refusal, ok
		}
		select {
		case <-changed:
		case <-timeout.C:
			return refusal, false
		case <-ctx.Done():
			return ibisorder.NotRun(ibisorder.ReasonCancelled, 0, ctx.Err()), false
		}
	}
}

// admit waits until the gate gives the order a slot or refuses it.
func (g *Guard) admit(ctx context.Context, order ibisorder.Order) (ibisadmit.RequestID, ibisroster.Life, ibisorder.Answer, bool) {
	g.mu.Lock()
	if refusal, ok := g.precheck(order); !ok {
		g.figures.Refused++
		g.mu.Unlock()
		return 0, ibisroster.Life{}, refusal, false
	}
	now := g.clock.Now()
	g.nextID++
	id := g.nextID
	answer := make(chan verdict, 1)
	g.waiting[id] = answer
	life := g.server.Life
	g.apply(ibisadmit.ArriveEvent{
		ID:       id,
		Class:    order.Class,
		Target:   order.Target,
		Deadline: order.Deadline,
	}, now)
	g.tick()
	g.mu.Unlock()
	select {
	case v := <-answer:
		return id, life, refusalOf(v), v.admitted
	case <-ctx.Done():
		return 0, life, g.cancel(id, answer, ctx.Err()), false
	}
}

// cancel takes back an order whose caller left while it waited.
func (g *Guard) cancel(id ibisadmit.RequestID, answer chan verdict, err error) ibisorder.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		g.apply(ibisadmit.CancelEvent{ID: id}, g.clock.Now())
	} else if v := <-answer; v.admitted {
		g.apply(ibisadmit.FinishEvent{ID: id}, g.clock.Now())
	}
	return ibisorder.NotRun(ibisorder.ReasonCancelled, 0, err)
}

func (g *Guard) precheck(order ibisorder.Order) (ibisorder.Answer, bool) {
	switch {
	case g.rules == nil:
		return ibisorder.NotRun(ibisorder.ReasonNoConfig, 0, nil), false
	case g.gate == nil || g.server.Service != order.Service || order.Server != "" && order.Server != g.server.Life.ID:
		return ibisorder.NotRun(ibisorder.ReasonOtherServer, 0, nil), false
	case g.stopping:
		return ibisorder.NotRun(ibisorder.ReasonStopping, 0, nil), false
	case g.rules.Out:
		return ibisorder.NotRun(ibisorder.Reason(ibisadmit.ReasonDomainOut), 0, nil), false
	}
	return ibisorder.Answer{}, true
}

func refusalOf(v verdict) ibisorder.Answer {
	if v.admitted {
		return ibisorder.Answer{}
	}
	return ibisorder.NotRun(ibisorder.Reason(v.reason), v.retryAfter, nil)
}

func (g *Guard) head(id ibisadmit.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(ibisadmit.HeadEvent{ID: id}, g.clock.Now())
}

func (g *Guard) finish(_ ibisadmit.RequestID, e ibisadmit.FinishEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(e, g.clock.Now())
}

// apply hands an event to the gate and carries its effects out.
func (g *Guard) apply(event ibisadmit.Event, now time.Time) {
	for _, effect := range g.gate.Update(event, now) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			g.figures.Admitted++
			g.tell(e.ID, verdict{admitted: true})
		case ibisadmit.RefuseEffect:
			g.figures.Refused++
			g.tell(e.ID, verdict{reason: e.Reason, retryAfter: e.RetryAfter})
		case ibisadmit.DrainedEffect:
		}
	}
}

func (g *Guard) tell(id ibisadmit.RequestID, v verdict) {
	if answer, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		answer <- v
	}
}

// tick keeps the gate's time going while something waits.
func (g *Guard) tick() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	g.clock.After(ibisadmit.TickPeriod, func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ticking = false
		if g.gate != nil {
			g.apply(ibisadmit.TickEvent{}, now)
		}
		g.tick()
	})
}
