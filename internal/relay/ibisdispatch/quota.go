package ibisdispatch

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

// Quota enforces the rate limits of accounts across all nodes. It is safe for concurrent use.
type Quota interface {
	// Take takes a token for one request of an account. If there is one, ok is true, and release returns the token; it is called
	// only if the request was not run. Otherwise the refusal says why.
	Take(ctx context.Context, account *ibisroute.Account) (release func(), refusal Refusal, ok bool)
}

// Refusal is why a quota has no token for a request.
type Refusal struct {
	// Limit reports that the account's limit is reached; otherwise the tokens can't be had for now.
	Limit bool
	// RetryAfter is the time after which a token is available.
	RetryAfter time.Duration
	// Lent is the number of tokens that the node was last lent for the account, for the log.
	Lent float64
	// LentAge is the time since then, zero if the node was lent none.
	LentAge time.Duration
}

// SetQuota sets what enforces the accounts' rate limits; without it none is enforced.
func (d *Dispatcher) SetQuota(quota Quota) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quota = quota
}

// quotaWaitDivisor bounds the wait for a token to a part of the request's target: most requests then still run in time.
const quotaWaitDivisor = 4

// quotaRefusal is the answer to a request for which there is no token, with what the quota says about it.
type quotaRefusal struct {
	answer ibismessage.Answer
	cause  Refusal
}

// takeToken takes a token for a request of an account, if it has a rate limit. The returned function returns it.
func (d *Dispatcher) takeToken(ctx context.Context, account *ibisroute.Account, target time.Duration) (func(), quotaRefusal, bool) {
	noRelease := func() {}
	if account == nil || account.Rate <= 0 {
		return noRelease, quotaRefusal{}, true
	}
	d.mu.Lock()
	quota := d.quota
	d.mu.Unlock()
	if quota == nil {
		return noRelease, quotaRefusal{}, true
	}
	if target > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, target/quotaWaitDivisor)
		defer cancel()
	}
	release, refusal, ok := quota.Take(ctx, account)
	if ok {
		return release, quotaRefusal{}, true
	}
	answer := ibismessage.NotRun(ibismessage.ReasonQuota, refusal.RetryAfter, nil)
	if !refusal.Limit {
		answer = ibismessage.NotRun(ibismessage.ReasonQuotaUnknown, d.retryAfter(max(refusal.RetryAfter, ibisretrypolicy.DefaultRetryAfter)), nil)
	}
	return nil, quotaRefusal{
		answer: answer,
		cause:  refusal,
	}, false
}
