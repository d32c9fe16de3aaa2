package ibisrequestrouter

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

// runSequentially makes the attempts at a request that is not hedged one after the other; it needs no goroutine or channel.
func (l *retryLoop) runSequentially(ctx context.Context, effects []ibisretry.Effect) result {
	var last result
	for {
		switch e := effects[0].(type) {
		case ibisretry.FinishEffect:
			return l.withFinalOutcome(last, e.Outcome)
		case ibisretry.SendEffect:
			l.router.requestMetrics.countAttempt(e)
			last = l.router.attempt(ctx, l.q, l.triedNodes)
			effects = l.policy.update(l.resultEvent(attemptResult{
				attempt: e.Attempt,
				result:  last,
			}))
		case ibisretry.WakeEffect:
			if !l.sleep(ctx, e.At) {
				l.policy.update(ibisretry.CancelEvent{
					ID: l.id,
				})
				return refused(unknown("the caller went away"))
			}
			effects = l.policy.update(ibisretry.WakeEvent{
				ID: l.id,
			})
			if len(effects) == 0 {
				effects = []ibisretry.Effect{e}
			}
		}
	}
}

// sleep waits until the given time; it returns false if the caller disconnects before.
func (l *retryLoop) sleep(ctx context.Context, at time.Time) bool {
	woken := make(chan struct{})
	timer := l.policy.timer.After(at.Sub(l.policy.timer.Now()), func(time.Time) { close(woken) })
	defer timer.Stop()
	select {
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}
