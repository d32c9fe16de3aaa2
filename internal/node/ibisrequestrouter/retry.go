package ibisrequestrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

// retryPolicies holds one retry policy for each service.
type retryPolicies struct {
	timer ibistimer.Service

	mu        sync.Mutex
	random    *rand.Rand
	byService map[ibisid.ServiceName]*retryPolicy
}

// retryPolicy decides on retries and hedges for the requests of one service. It serializes the events of its core.
type retryPolicy struct {
	timer ibistimer.Service

	mu     sync.Mutex
	core   *ibisretry.Policy
	nextID ibisretry.RequestID
}

func newRetryPolicies(timer ibistimer.Service, random *rand.Rand) *retryPolicies {
	return &retryPolicies{
		timer:     timer,
		random:    random,
		byService: make(map[ibisid.ServiceName]*retryPolicy),
	}
}

func (p *retryPolicies) of(service ibisid.ServiceName) *retryPolicy {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byService[service]
	if !ok {
		found = &retryPolicy{
			timer: p.timer,
			core:  ibisretry.New(ibisretry.Config{}, rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))),
		}
		p.byService[service] = found
	}
	return found
}

func (p *retryPolicy) start(event ibisretry.StartEvent) (ibisretry.RequestID, []ibisretry.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	event.ID = p.nextID
	return event.ID, p.core.Update(event, p.timer.Now())
}

func (p *retryPolicy) update(event ibisretry.Event) []ibisretry.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Update(event, p.timer.Now())
}

// retryLoop makes the attempts at one request that the retry policy asks for. The channels and maps are set only for
// requests that may be hedged.
type retryLoop struct {
	router     *Router
	policy     *retryPolicy
	id         ibisretry.RequestID
	q          *request
	triedNodes *triedNodes
	ended      chan attemptResult
	wakeups    chan struct{}
	cancels    map[ibisretry.Attempt]context.CancelFunc
	results    map[ibisretry.Attempt]result
	inFlight   int
}

// attemptResult is an attempt that has ended, with its result.
type attemptResult struct {
	attempt ibisretry.Attempt
	result  result
}

// runWithRetries makes attempts at a request until the retry policy finishes it, and returns the final result.
func (rt *Router) runWithRetries(ctx context.Context, q *request) result {
	hedge := q.document.Class(q.match.Route.Class).Hedge && !q.needsOwner() && q.body.buffered()
	l := &retryLoop{
		router:     rt,
		policy:     rt.retryPolicies.of(q.match.Route.Service),
		q:          q,
		triedNodes: &triedNodes{},
	}
	id, effects := l.policy.start(ibisretry.StartEvent{
		Class:      q.match.Route.Class,
		Idempotent: !q.match.Route.NonIdempotent,
		Hedge:      hedge,
		Deadline:   q.deadline,
	})
	l.id = id
	if !hedge {
		return l.runSequentially(ctx, effects)
	}
	l.ended = make(chan attemptResult, 1)
	l.wakeups = make(chan struct{}, 1)
	l.cancels = make(map[ibisretry.Attempt]context.CancelFunc)
	l.results = make(map[ibisretry.Attempt]result)
	return l.runHedged(ctx, effects)
}

func (l *retryLoop) runHedged(ctx context.Context, effects []ibisretry.Effect) result {
	for {
		if final, ok := l.apply(ctx, effects); ok {
			l.cancelRemaining()
			return final
		}
		select {
		case a := <-l.ended:
			effects = l.handleResult(a)
		case <-l.wakeups:
			effects = l.policy.update(ibisretry.WakeEvent{
				ID: l.id,
			})
		case <-ctx.Done():
			return l.abandon()
		}
	}
}

// apply executes the effects of the retry policy and returns the final result, if there is one.
func (l *retryLoop) apply(ctx context.Context, effects []ibisretry.Effect) (result, bool) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisretry.SendEffect:
			l.router.requestMetrics.countAttempt(e)
			l.send(ctx, e.Attempt)
		case ibisretry.CancelEffect:
			l.cancels[e.Attempt]()
		case ibisretry.WakeEffect:
			l.wakeAt(e.At)
		case ibisretry.FinishEffect:
			final := l.results[e.Attempt]
			delete(l.results, e.Attempt)
			delete(l.cancels, e.Attempt)
			return l.withFinalOutcome(final, e.Outcome), true
		}
	}
	return result{}, false
}

// withFinalOutcome sets the outcome of a refusal to that of the whole request, which is unknown if an earlier attempt may
// have run.
func (l *retryLoop) withFinalOutcome(r result, outcome ibisid.Outcome) result {
	if r.refusal != nil && r.outcome != outcome {
		changed := *r.refusal
		changed.Outcome = outcome
		r.refusal = &changed
		r.outcome = outcome
	}
	return r
}

func (l *retryLoop) send(ctx context.Context, attempt ibisretry.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	l.cancels[attempt] = cancel
	l.inFlight++
	go func() {
		l.ended <- attemptResult{
			attempt: attempt,
			result:  l.router.attempt(ctx, l.q, l.triedNodes),
		}
	}()
}

func (l *retryLoop) wakeAt(at time.Time) {
	l.policy.timer.After(at.Sub(l.policy.timer.Now()), func(time.Time) {
		select {
		case l.wakeups <- struct{}{}:
		default:
		}
	})
}

// handleResult stores the result of an attempt and reports it to the retry policy.
func (l *retryLoop) handleResult(a attemptResult) []ibisretry.Effect {
	l.inFlight--
	l.results[a.attempt] = a.result
	return l.policy.update(l.resultEvent(a))
}

// resultEvent returns the event that reports an attempt to the retry policy. The attempt is final if the body can't be
// sent again or the refusal is permanent.
func (l *retryLoop) resultEvent(a attemptResult) ibisretry.AttemptEndEvent {
	return ibisretry.AttemptEndEvent{
		ID:      l.id,
		Attempt: a.attempt,
		Outcome: a.result.outcome,
		Latency: a.result.latency,
		Final:   !l.q.body.resendable() || a.result.permanent(),
	}
}

// abandon cancels the request after its caller has disconnected.
func (l *retryLoop) abandon() result {
	l.policy.update(ibisretry.CancelEvent{
		ID: l.id,
	})
	l.cancelRemaining()
	return refused(unknown("the caller went away"))
}

// cancelRemaining discards the results that are not returned, cancels the attempts in flight and discards their results
// when they end.
func (l *retryLoop) cancelRemaining() {
	for _, unused := range l.results {
		unused.discard()
	}
	if l.inFlight == 0 {
		return
	}
	for _, cancel := range l.cancels {
		cancel()
	}
	go func() {
		for range l.inFlight {
			a := <-l.ended
			a.result.discard()
			l.policy.update(l.resultEvent(a))
		}
		l.policy.update(ibisretry.CancelEvent{
			ID: l.id,
		})
	}()
}
