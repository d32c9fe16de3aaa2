package ibisdoor

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

// runSequentially makes the attempts at a request that is not hedged one after the other; it needs no goroutine or channel.
func (p *retryLoop) runSequentially(ctx context.Context, effects []ibisretry.Effect) result {
	var last result
	for {
		switch e := effects[0].(type) {
		case ibisretry.FinishEffect:
			return p.withFinalOutcome(last, e.Outcome)
		case ibisretry.SendEffect:
			p.door.requestMetrics.countAttempt(e)
			last = p.door.attempt(ctx, p.q, p.triedNodes)
			effects = p.policy.update(p.resultEvent(attemptResult{
				attempt: e.Attempt,
				result:  last,
			}))
		case ibisretry.WakeEffect:
			if !p.sleep(ctx, e.At) {
				p.policy.update(ibisretry.CancelEvent{
					ID: p.id,
				})
				return refused(unknown("the caller went away"))
			}
			effects = p.policy.update(ibisretry.WakeEvent{
				ID: p.id,
			})
			if len(effects) == 0 {
				effects = []ibisretry.Effect{e}
			}
		}
	}
}

// sleep waits until the given time; it returns false if the caller disconnects before.
func (p *retryLoop) sleep(ctx context.Context, at time.Time) bool {
	woken := make(chan struct{})
	timer := p.policy.timer.After(at.Sub(p.policy.timer.Now()), func(time.Time) { close(woken) })
	defer timer.Stop()
	select {
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}
