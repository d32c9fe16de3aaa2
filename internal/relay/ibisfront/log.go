package ibisfront

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
)

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
