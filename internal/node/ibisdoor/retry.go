package ibisdoor

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
	door       *Door
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
func (d *Door) runWithRetries(ctx context.Context, q *request) result {
	hedge := q.document.Class(q.match.Route.Class).Hedge && !q.needsOwner() && q.body.buffered()
	p := &retryLoop{
		door:       d,
		policy:     d.retryPolicies.of(q.match.Route.Service),
		q:          q,
		triedNodes: &triedNodes{},
	}
	id, effects := p.policy.start(ibisretry.StartEvent{
		Class:      q.match.Route.Class,
		Idempotent: !q.match.Route.NonIdempotent,
		Hedge:      hedge,
		Deadline:   q.deadline,
	})
	p.id = id
	if !hedge {
		return p.runSequentially(ctx, effects)
	}
	p.ended = make(chan attemptResult, 1)
	p.wakeups = make(chan struct{}, 1)
	p.cancels = make(map[ibisretry.Attempt]context.CancelFunc)
	p.results = make(map[ibisretry.Attempt]result)
	return p.runHedged(ctx, effects)
}

func (p *retryLoop) runHedged(ctx context.Context, effects []ibisretry.Effect) result {
	for {
		if final, ok := p.apply(ctx, effects); ok {
			p.cancelRemaining()
			return final
		}
		select {
		case a := <-p.ended:
			effects = p.handleResult(a)
		case <-p.wakeups:
			effects = p.policy.update(ibisretry.WakeEvent{
				ID: p.id,
			})
		case <-ctx.Done():
			return p.abandon()
		}
	}
}

// apply executes the effects of the retry policy and returns the final result, if there is one.
func (p *retryLoop) apply(ctx context.Context, effects []ibisretry.Effect) (result, bool) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisretry.SendEffect:
			p.door.requestMetrics.countAttempt(e)
			p.send(ctx, e.Attempt)
		case ibisretry.CancelEffect:
			p.cancels[e.Attempt]()
		case ibisretry.WakeEffect:
			p.wakeAt(e.At)
		case ibisretry.FinishEffect:
			final := p.results[e.Attempt]
			delete(p.results, e.Attempt)
			delete(p.cancels, e.Attempt)
			return p.withFinalOutcome(final, e.Outcome), true
		}
	}
	return result{}, false
}

// withFinalOutcome sets the outcome of a refusal to that of the whole request, which is unknown if an earlier attempt may
// have run.
func (p *retryLoop) withFinalOutcome(r result, outcome ibisid.Outcome) result {
	if r.refusal != nil && r.outcome != outcome {
		changed := *r.refusal
		changed.Outcome = outcome
		r.refusal = &changed
		r.outcome = outcome
	}
	return r
}

func (p *retryLoop) send(ctx context.Context, attempt ibisretry.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	p.cancels[attempt] = cancel
	p.inFlight++
	go func() {
		p.ended <- attemptResult{
			attempt: attempt,
			result:  p.door.attempt(ctx, p.q, p.triedNodes),
		}
	}()
}

func (p *retryLoop) wakeAt(at time.Time) {
	p.policy.timer.After(at.Sub(p.policy.timer.Now()), func(time.Time) {
		select {
		case p.wakeups <- struct{}{}:
		default:
		}
	})
}

// handleResult stores the result of an attempt and reports it to the retry policy.
func (p *retryLoop) handleResult(a attemptResult) []ibisretry.Effect {
	p.inFlight--
	p.results[a.attempt] = a.result
	return p.policy.update(p.resultEvent(a))
}

// resultEvent returns the event that reports an attempt to the retry policy. The attempt is final if the body can't be
// sent again or the refusal is permanent.
func (p *retryLoop) resultEvent(a attemptResult) ibisretry.AttemptEndEvent {
	return ibisretry.AttemptEndEvent{
		ID:      p.id,
		Attempt: a.attempt,
		Outcome: a.result.outcome,
		Latency: a.result.latency,
		Final:   !p.q.body.resendable() || a.result.permanent(),
	}
}

// abandon cancels the request after its caller has disconnected.
func (p *retryLoop) abandon() result {
	p.policy.update(ibisretry.CancelEvent{
		ID: p.id,
	})
	p.cancelRemaining()
	return refused(unknown("the caller disconnected; the request may have run"))
}

// cancelRemaining discards the results that are not returned, cancels the attempts in flight and discards their results
// when they end.
func (p *retryLoop) cancelRemaining() {
	for _, unused := range p.results {
		unused.discard()
	}
	if p.inFlight == 0 {
		return
	}
	for _, cancel := range p.cancels {
		cancel()
	}
	go func() {
		for range p.inFlight {
			a := <-p.ended
			a.result.discard()
			p.policy.update(p.resultEvent(a))
		}
		p.policy.update(ibisretry.CancelEvent{
			ID: p.id,
		})
	}()
}
