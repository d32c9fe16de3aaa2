package ibisquota

import (
	"math"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// borrower is the state of an account with recent requests that a lender elsewhere is asked for.
type borrower struct {
	// loans lists the tokens that may be used, first to expire first.
	loans []loan
	// waiting lists the requests that wait, and asked means that an ask is on its way or about to be sent.
	waiting []WaiterID
	asked   bool
	// demand is the average demand in requests per second at demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is until when requests are refused without asking, and retryAt the time of the next token.
	refusedUntil time.Time
	retryAt      time.Time
	// lent is the number of tokens of the latest loan, which arrived at lentAt.
	lent   int
	lentAt time.Time
}

// loan is a number of tokens that expire together.
type loan struct {
	count int
	until time.Time
}

// Take decides on a request of an account. If its verdict is VerdictWait, an effect of a later call decides.
func (q *Quota) Take(name ibisid.TenantName, now time.Time) (Decision, []Effect) {
	q.advance(now)
	a := q.accounts[name]
	if a == nil {
		return Decision{
			Verdict:    VerdictUnavailable,
			RetryAfter: unavailableRetry,
		}, nil
	}
	s := &q.slots[a.slot]
	if a.borrower != nil && a.borrower.hasLoan(now) {
		b := a.borrower
		b.count(now)
		token := b.takeLoan(a)
		if b.shouldAskAhead() {
			q.ask(a, now)
		}
		return run(token), q.takeEffects()
	}
	if s.share > 0 {
		q.settleSlot(s, now)
		q.settle(a)
		if a.whole() > 0 {
			a.level--
			return run(Token{
				account: name,
				until:   now.Add(q.loanTerm),
			}), nil
		}
	}
	if s.lender == q.config.Node || s.lender == "" {
		if s.share == 0 {
			return q.unavailable(a, now), nil
		}
		return q.limited(a, q.promise(a, 1, now), now), nil
	}
	b := a.borrower
	if b == nil {
		b = &borrower{}
		a.borrower = b
		q.active = append(q.active, a)
	}
	b.count(now)
	if now.Before(b.refusedUntil) {
		retryAfter := b.retryAt.Sub(now)
		b.retryAt = b.retryAt.Add(time.Duration(float64(time.Second) / a.Rate))
		return q.limited(a, min(max(1, retryAfter), q.config.Window), now), nil
	}
	q.nextWaiter++
	id := q.nextWaiter
	b.waiting = append(b.waiting, id)
	if !b.asked {
		q.ask(a, now)
	}
	return Decision{
		Verdict: VerdictWait,
		Waiter:  id,
	}, q.takeEffects()
}

// Abandon ends the wait of a request without a decision and returns the refusal.
func (q *Quota) Abandon(name ibisid.TenantName, id WaiterID, now time.Time) Decision {
	a := q.accounts[name]
	if a == nil {
		return Decision{
			Verdict:    VerdictUnavailable,
			RetryAfter: unavailableRetry,
		}
	}
	if b := a.borrower; b != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(w WaiterID) bool { return w == id })
	}
	return q.unavailable(a, now)
}

// Return gives back the token of a request that was certainly not run. A token that has expired is lost.
func (q *Quota) Return(token Token, now time.Time) {
	q.advance(now)
	a := q.accounts[token.account]
	if a == nil || !now.Before(token.until) {
		return
	}
	if token.lent {
		if a.borrower != nil {
			a.borrower.addLoan(loan{
				count: 1,
				until: token.until,
			})
		}
		return
	}
	q.settleSlot(&q.slots[a.slot], now)
	a.level++
	q.settle(a)
}

// ask queues an ask for the account and sends it unless too many messages are on their way to the lender.
func (q *Quota) ask(a *account, now time.Time) {
	a.borrower.asked = true
	lender := q.slots[a.slot].lender
	p := q.peer(lender)
	p.asking = append(p.asking, a)
	if p.inFlight < maxInFlight {
		q.flushPeer(lender, now)
	}
}

// ask returns the ask for an account, and false if it has none any more.
func (a *account) ask() (Ask, bool) {
	if a.borrower == nil {
		return Ask{}, false
	}
	ask := Ask{
		Account: a.Name,
		Need:    len(a.borrower.waiting),
		Ahead:   a.borrower.ahead(),
	}
	if ask.Need+ask.Ahead == 0 {
		a.borrower.asked = false
		return Ask{}, false
	}
	return ask, true
}

// lend applies the answer to an ask that was sent at the time given, from which the loan term is counted.
func (q *Quota) lend(a *account, ask Ask, grant Grant, sent, now time.Time) {
	b := a.borrower
	b.asked = false
	if until := sent.Add(q.loanTerm); grant.Count > 0 && now.Before(until) {
		b.addLoan(loan{
			count: grant.Count,
			until: until,
		})
		b.lent, b.lentAt = grant.Count, now
	}
	for len(b.waiting) > 0 && b.hasLoan(now) {
		q.effects = append(q.effects, Effect{
			Waiter:   b.waiting[0],
			Decision: run(b.takeLoan(a)),
		})
		b.waiting = b.waiting[1:]
	}
	switch {
	case len(b.waiting) == 0:
	case grant.Count >= ask.Need:
		q.ask(a, now)
	case grant.RetryNs <= 0:
		q.refuseWaiting(b, q.unavailable(a, now))
	default:
		b.retryAt = now.Add(grant.RetryNs)
		b.refusedUntil = now.Add(min(grant.RetryNs, maxLocalRefusal))
		q.refuseWaiting(b, q.limited(a, grant.RetryNs, now))
	}
}

// refuseWaiting ends the wait of all requests with a refusal.
func (q *Quota) refuseWaiting(b *borrower, refusal Decision) {
	for _, id := range b.waiting {
		q.effects = append(q.effects, Effect{
			Waiter:   id,
			Decision: refusal,
		})
	}
	b.waiting = nil
}

func run(token Token) Decision {
	return Decision{
		Verdict: VerdictRun,
		Token:   token,
	}
}

func (q *Quota) limited(a *account, retryAfter time.Duration, now time.Time) Decision {
	d := Decision{
		Verdict:    VerdictLimit,
		RetryAfter: retryAfter,
		Lender:     q.slots[a.slot].lender,
		Share:      q.slots[a.slot].share,
	}
	if b := a.borrower; b != nil && b.lent > 0 {
		d.Lent, d.LentAge = b.lent, now.Sub(b.lentAt)
	}
	return d
}

func (q *Quota) unavailable(a *account, now time.Time) Decision {
	refusal := q.limited(a, unavailableRetry, now)
	refusal.Verdict = VerdictUnavailable
	return refusal
}

// count adds a request to the demand.
func (b *borrower) count(now time.Time) {
	b.demand = b.demandNow(now) + 1/demandTime.Seconds()
	b.demandAt = now
}

func (b *borrower) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.demandAt).Seconds())/demandTime.Seconds())
}

// ahead returns the number of tokens to ask for ahead.
func (b *borrower) ahead() int {
	if b.demand < minAheadDemand {
		return 0
	}
	return max(1, int(min(b.demand*aheadTime.Seconds(), maxAhead)))
}

// shouldAskAhead reports whether the tokens are about to run out.
func (b *borrower) shouldAskAhead() bool {
	if b.asked || b.ahead() == 0 {
		return false
	}
	left := 0
	for _, l := range b.loans {
		left += l.count
	}
	return float64(left) < b.demand*refillTime.Seconds()
}

// hasLoan reports whether there is a token; it drops those that have expired.
func (b *borrower) hasLoan(now time.Time) bool {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return !now.Before(l.until) })
	return len(b.loans) > 0
}

// takeLoan takes the token that expires first.
func (b *borrower) takeLoan(a *account) Token {
	first := &b.loans[0]
	token := Token{
		account: a.Name,
		until:   first.until,
		lent:    true,
	}
	first.count--
	if first.count == 0 {
		b.loans = slices.Delete(b.loans, 0, 1)
	}
	return token
}

// addLoan adds tokens in the order of their expiry.
func (b *borrower) addLoan(l loan) {
	at, _ := slices.BinarySearchFunc(b.loans, l.until, func(l loan, until time.Time) int { return l.until.Compare(until) })
	b.loans = slices.Insert(b.loans, at, l)
}
