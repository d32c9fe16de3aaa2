package ibisretry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	extraFraction  = 0.10
	hedgeFraction  = 0.05
	budgetBurst    = 10
	defaultTries   = 4
	firstBackoff   = 10 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	hedgeQuantile  = 0.98
	hedgeSamples   = 100
)

// Config bounds the extra attempts.
type Config struct {
	// MaxTries is the number of attempts of one request, hedges included; zero means 4.
	MaxTries int
	// HedgeQuantile is the fraction of answers before which no hedge is sent; zero means 0.95.
	HedgeQuantile float64
}

// Policy decides retries and hedges for the requests of one service at one node.
type Policy struct {
	config    Config
	random    *rand.Rand
	requests  map[RequestID]*request
	latencies map[ibisid.ClassName]*ibislatency.Histogram
	extra     budget
	hedges    budget
	counts    Counts
}

// Counts is what a policy has done so far.
type Counts struct {
	// Requests is the number of requests started.
	Requests int
	// Attempts is the number of attempts sent.
	Attempts int
	// Hedges is the number of attempts that were hedges.
	Hedges int
}

type request struct {
	start    StartEvent
	attempts Attempt
	live     []Attempt
	hedgeAt  time.Time
	retryAt  time.Time
	maybeRan bool
}

// New returns a policy whose budget for retries starts full and whose budget for hedges starts empty.
func New(config Config, random *rand.Rand) *Policy {
	if config.MaxTries <= 0 {
		config.MaxTries = defaultTries
	}
	if config.HedgeQuantile <= 0 {
		config.HedgeQuantile = hedgeQuantile
	}
	return &Policy{
		config:    config,
		random:    random,
		requests:  make(map[RequestID]*request),
		latencies: make(map[ibisid.ClassName]*ibislatency.Histogram),
		extra: budget{
			fraction: extraFraction,
			burst:    budgetBurst,
			tokens:   budgetBurst,
		},
		hedges: budget{
			fraction: hedgeFraction,
			burst:    budgetBurst,
		},
	}
}

// Counts returns what the policy has done so far.
func (p *Policy) Counts() Counts { return p.counts }

// Update takes one event in and returns what follows from it, in order.
func (p *Policy) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case StartEvent:
		return p.start(e, now)
	case AnswerEvent:
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
	r.live = append(r.live, r.attempts)
	p.counts.Attempts++
	return SendEffect{
		ID:      r.start.ID,
		Attempt: r.attempts,
		Hedge:   hedge,
	}
}

// hedgeDelay returns how long the first attempt has before a hedge, zero where none is allowed.
func (p *Policy) hedgeDelay(e StartEvent) time.Duration {
	q := p.latencies[e.Class]
	if !e.Hedge || !e.Idempotent || q == nil || q.Count() < hedgeSamples {
		return 0
	}
	return q.Quantile(p.config.HedgeQuantile)
}

func (p *Policy) answer(e AnswerEvent, now time.Time) []Effect {
	r := p.requests[e.ID]
	if r == nil || !slices.Contains(r.live, e.Attempt) {
		return nil
	}
	r.live = slices.DeleteFunc(r.live, func(a Attempt) bool { return a == e.Attempt })
	if e.Outcome == ibisid.OutcomeUnknown {
		r.maybeRan = true
	}
	if e.Outcome == ibisid.OutcomeDone {
		p.succeed(r, e)
		return p.end(r, e.Attempt, e.Outcome)
	}
	again := !e.Final && p.repeatable(r, e.Outcome)
	if again && len(r.live) > 0 {
		return nil
	}
	if again && p.schedule(r, now) {
		return wakeAt(r, r.retryAt)
	}
	return p.end(r, e.Attempt, r.outcome(e.Outcome))
}

// outcome keeps a request from being called "not run" after one of its attempts may have run.
func (r *request) outcome(last ibisid.Outcome) ibisid.Outcome {
	if last == ibisid.OutcomeNotRun && r.maybeRan {
		return ibisid.OutcomeUnknown
	}
	return last
}

func (p *Policy) succeed(r *request, e AnswerEvent) {
	p.extra.deposit()
	p.hedges.deposit()
	q := p.latencies[r.start.Class]
	if q == nil {
		q = &ibislatency.Histogram{}
		p.latencies[r.start.Class] = q
	}
	q.Add(e.Latency)
}

// repeatable reports whether an outcome allows another attempt: never where the request may have run and is not idempotent.
func (p *Policy) repeatable(r *request, outcome ibisid.Outcome) bool {
	if outcome == ibisid.OutcomeNotRun {
		return true
	}
	return outcome == ibisid.OutcomeUnknown && r.start.Idempotent
}

// schedule takes a token for a retry and sets its time; it reports false where budget, tries or deadline forbid it.
func (p *Policy) schedule(r *request, now time.Time) bool {
	if int(r.attempts) >= p.config.MaxTries || p.extra.empty() {
		return false
	}
	ceiling := min(longestBackoff, firstBackoff<<min(int(r.attempts)-1, 10))
	at := now.Add(ceiling/2 + time.Duration(p.random.Int64N(int64(ceiling/2)+1)))
	if !at.Before(r.start.Deadline) {
		return false
	}
	p.extra.take()
	r.retryAt = at
	r.hedgeAt = time.Time{}
	return true
}

// wake does what was to be done at this time. A timer that follows a clock of another rate may fire a moment early; the
// request would wait for ever if it were not woken again.
func (p *Policy) wake(e WakeEvent, now time.Time) []Effect {
	r := p.requests[e.ID]
	switch {
	case r == nil:
		return nil
	case !r.retryAt.IsZero():
		if now.Before(r.retryAt) {
			return wakeAt(r, r.retryAt)
		}
		r.retryAt = time.Time{}
		return []Effect{p.send(r, false)}
	case r.hedgeAt.IsZero() || len(r.live) != 1:
		return nil
	case now.Before(r.hedgeAt):
		return wakeAt(r, r.hedgeAt)
	}
	r.hedgeAt = time.Time{}
	return p.hedge(r)
}

func wakeAt(r *request, at time.Time) []Effect {
	return []Effect{WakeEffect{
		ID: r.start.ID,
		At: at,
	}}
}

func (p *Policy) hedge(r *request) []Effect {
	if p.hedges.empty() || p.extra.empty() || int(r.attempts) >= p.config.MaxTries {
		return nil
	}
	p.hedges.take()
	p.extra.take()
	p.counts.Hedges++
	return []Effect{p.send(r, true)}
}

func (p *Policy) cancel(e CancelEvent) []Effect {
	r := p.requests[e.ID]
	if r == nil {
		return nil
	}
	if !r.start.Idempotent && len(r.live) > 0 {
		return nil
	}
	delete(p.requests, e.ID)
	return p.cancelLive(r)
}

func (p *Policy) end(r *request, attempt Attempt, outcome ibisid.Outcome) []Effect {
	delete(p.requests, r.start.ID)
	effects := []Effect{FinishEffect{
		ID:      r.start.ID,
		Attempt: attempt,
		Outcome: outcome,
	}}
	return append(effects, p.cancelLive(r)...)
}

func (p *Policy) cancelLive(r *request) []Effect {
	var effects []Effect
	for _, a := range r.live {
		effects = append(effects, CancelEffect{
			ID:      r.start.ID,
			Attempt: a,
		})
	}
	return effects
}
