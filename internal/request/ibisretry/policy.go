package ibisretry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	retryTokensPerSuccess = 0.10
	hedgeTokensPerSuccess = 0.05
	budgetBurst           = 10 // tokens
	defaultMaxAttempts    = 4
	firstBackoff          = 10 * time.Millisecond
	maxBackoff            = 500 * time.Millisecond
	defaultHedgeQuantile  = 0.98
	minHedgeSamples       = 100 // weight of latency samples below which no hedge is sent
)

// Config bounds the extra attempts.
type Config struct {
	// MaxAttempts is the largest number of attempts of one request, hedges included; zero means 4.
	MaxAttempts int
	// HedgeQuantile is the quantile of the class's latencies after which a hedge is sent; zero means 0.98.
	HedgeQuantile float64
}

// Policy decides on retries and hedges for the requests of one service at one node. It is not safe for concurrent use.
type Policy struct {
	config      Config
	random      *rand.Rand
	requests    map[RequestID]*request
	latencies   map[ibisid.ClassName]*ibislatency.Histogram
	retryBudget budget
	hedgeBudget budget
	counts      Counts
}

// Counts holds the totals of a policy since its creation.
type Counts struct {
	// Requests is the number of requests started.
	Requests int
	// Attempts is the number of attempts sent, first attempts and hedges included.
	Attempts int
	// Hedges is the number of attempts that were hedges.
	Hedges int
}

type request struct {
	start    StartEvent
	attempts Attempt
	inFlight []Attempt
	hedgeAt  time.Time
	retryAt  time.Time
	maybeRan bool
}

// New returns a policy without requests. Its retry budget starts full, and its hedge budget starts empty. The random source
// spreads the backoff times.
func New(config Config, random *rand.Rand) *Policy {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.HedgeQuantile <= 0 {
		config.HedgeQuantile = defaultHedgeQuantile
	}
	return &Policy{
		config:    config,
		random:    random,
		requests:  make(map[RequestID]*request),
		latencies: make(map[ibisid.ClassName]*ibislatency.Histogram),
		retryBudget: budget{
			perSuccess: retryTokensPerSuccess,
			burst:      budgetBurst,
			tokens:     budgetBurst,
		},
		hedgeBudget: budget{
			perSuccess: hedgeTokensPerSuccess,
			burst:      budgetBurst,
		},
	}
}

// Counts returns the totals of the policy.
func (p *Policy) Counts() Counts { return p.counts }

// Update applies one event and returns the resulting effects in order.
func (p *Policy) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case StartEvent:
		return p.start(e, now)
	case AttemptEndEvent:
		return p.answer(e, now)
	case WakeEvent:
		return p.wake(e, now)
	case CancelEvent:
		return p.cancel(e)
	}
	return nil
}

func (p *Policy) start(e StartEvent, now time.Time) []Effect {
	r := &request{
		start: e,
	}
	p.requests[e.ID] = r
	p.counts.Requests++
	effects := []Effect{p.send(r, false)}
	delay := p.hedgeDelay(e)
	if delay == 0 || !now.Add(delay).Before(e.Deadline) {
		return effects
	}
	r.hedgeAt = now.Add(delay)
	return append(effects, WakeEffect{
		ID: e.ID,
		At: r.hedgeAt,
	})
}

func (p *Policy) send(r *request, hedge bool) Effect {
	r.attempts++
	r.inFlight = append(r.inFlight, r.attempts)
	p.counts.Attempts++
	return SendEffect{
		ID:      r.start.ID,
		Attempt: r.attempts,
		Hedge:   hedge,
	}
}

// hedgeDelay returns the time between the first attempt and its hedge; zero means that no hedge may be sent.
func (p *Policy) hedgeDelay(e StartEvent) time.Duration {
	histogram := p.latencies[e.Class]
	if !e.Hedge || !e.Idempotent || histogram == nil || histogram.Count() < minHedgeSamples {
		return 0
	}
	return histogram.Quantile(p.config.HedgeQuantile)
}

func (p *Policy) answer(e AttemptEndEvent, now time.Time) []Effect {
	r := p.requests[e.ID]
	if r == nil || !slices.Contains(r.inFlight, e.Attempt) {
		return nil
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a Attempt) bool { return a == e.Attempt })
	if e.Outcome == ibisid.OutcomeUnknown {
		r.maybeRan = true
	}
	if e.Outcome == ibisid.OutcomeDone {
		p.recordSuccess(r, e)
		return p.finish(r, e.Attempt, e.Outcome)
	}
	mayRetry := !e.Final && p.retryable(r, e.Outcome)
	if mayRetry && len(r.inFlight) > 0 {
		return nil
	}
	if mayRetry && p.scheduleRetry(r, now) {
		return wakeEffects(r, r.retryAt)
	}
	return p.finish(r, e.Attempt, r.outcome(e.Outcome))
}

// outcome returns the outcome of the request after its last attempt. It is never "not run" if an earlier attempt may have run.
func (r *request) outcome(last ibisid.Outcome) ibisid.Outcome {
	if last == ibisid.OutcomeNotRun && r.maybeRan {
		return ibisid.OutcomeUnknown
	}
	return last
}

func (p *Policy) recordSuccess(r *request, e AttemptEndEvent) {
	p.retryBudget.deposit()
	p.hedgeBudget.deposit()
	histogram := p.latencies[r.start.Class]
	if histogram == nil {
		histogram = &ibislatency.Histogram{}
		p.latencies[r.start.Class] = histogram
	}
	histogram.Add(e.Latency)
}

// retryable reports whether an outcome allows another attempt: either the request did not run, or its outcome is unknown and
// it is idempotent. A request that may have run and is not idempotent is never repeated.
func (p *Policy) retryable(r *request, outcome ibisid.Outcome) bool {
	if outcome == ibisid.OutcomeNotRun {
		return true
	}
	return outcome == ibisid.OutcomeUnknown && r.start.Idempotent
}

// scheduleRetry takes a token from the retry budget and sets the time of the retry. It reports false if the budget, the number
// of attempts or the deadline forbids a retry.
func (p *Policy) scheduleRetry(r *request, now time.Time) bool {
	if int(r.attempts) >= p.config.MaxAttempts || p.retryBudget.empty() {
		return false
	}
	ceiling := min(maxBackoff, firstBackoff<<min(int(r.attempts)-1, 10))
	at := now.Add(ceiling/2 + time.Duration(p.random.Int64N(int64(ceiling/2)+1)))
	if !at.Before(r.start.Deadline) {
		return false
	}
	p.retryBudget.withdraw()
	r.retryAt = at
	r.hedgeAt = time.Time{}
	return true
}

// wake sends the retry or the hedge that is due. A timer that follows a clock of another rate may fire slightly early; an early
// WakeEvent yields another WakeEffect, since the request would otherwise wait forever.
func (p *Policy) wake(e WakeEvent, now time.Time) []Effect {
	r := p.requests[e.ID]
	switch {
	case r == nil:
		return nil
	case !r.retryAt.IsZero():
		if now.Before(r.retryAt) {
			return wakeEffects(r, r.retryAt)
		}
		r.retryAt = time.Time{}
		return []Effect{p.send(r, false)}
	case r.hedgeAt.IsZero() || len(r.inFlight) != 1:
		return nil
	case now.Before(r.hedgeAt):
		return wakeEffects(r, r.hedgeAt)
	}
	r.hedgeAt = time.Time{}
	return p.sendHedge(r)
}

func wakeEffects(r *request, at time.Time) []Effect {
	return []Effect{WakeEffect{
		ID: r.start.ID,
		At: at,
	}}
}

func (p *Policy) sendHedge(r *request) []Effect {
	if p.hedgeBudget.empty() || p.retryBudget.empty() || int(r.attempts) >= p.config.MaxAttempts {
		return nil
	}
	p.hedgeBudget.withdraw()
	p.retryBudget.withdraw()
	p.counts.Hedges++
	return []Effect{p.send(r, true)}
}

func (p *Policy) cancel(e CancelEvent) []Effect {
	r := p.requests[e.ID]
	if r == nil {
		return nil
	}
	if !r.start.Idempotent && len(r.inFlight) > 0 {
		return nil
	}
	delete(p.requests, e.ID)
	return p.cancelInFlight(r)
}

func (p *Policy) finish(r *request, attempt Attempt, outcome ibisid.Outcome) []Effect {
	delete(p.requests, r.start.ID)
	effects := []Effect{FinishEffect{
		ID:      r.start.ID,
		Attempt: attempt,
		Outcome: outcome,
	}}
	return append(effects, p.cancelInFlight(r)...)
}

func (p *Policy) cancelInFlight(r *request) []Effect {
	var effects []Effect
	for _, a := range r.inFlight {
		effects = append(effects, CancelEffect{
			ID:      r.start.ID,
			Attempt: a,
		})
	}
	return effects
}
