package ibisdispatch

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

const (
	// refusalLinesPerSecond and refusalLineBurst bound the log lines about refused requests of accounts, for each reason.
	refusalLinesPerSecond = 2
	refusalLineBurst      = 10
)

// refusalLog bounds the log lines about refused requests of accounts: callers decide how many of them there are.
type refusalLog struct {
	mu       sync.Mutex
	byReason map[ibismessage.Reason]*reasonLog
}

// reasonLog bounds the log lines with one reason.
type reasonLog struct {
	limiter *rate.Limiter
	// suppressed is the number of requests without a line since the last line.
	suppressed int
}

// allow reports whether a line about a request that is refused for the reason may be written now, and the number of requests that
// had none since the last one.
func (l *refusalLog) allow(reason ibismessage.Reason, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.byReason[reason]
	if entry == nil {
		if l.byReason == nil {
			l.byReason = make(map[ibismessage.Reason]*reasonLog)
		}
		entry = &reasonLog{
			limiter: rate.NewLimiter(refusalLinesPerSecond, refusalLineBurst),
		}
		l.byReason[reason] = entry
	}
	if !entry.limiter.AllowN(now, 1) {
		entry.suppressed++
		return 0, false
	}
	suppressed, entry.suppressed = entry.suppressed, 0
	return suppressed, true
}

// record counts a finished request with its answer.
func (d *Dispatcher) record(request Request, p plan, answer ibismessage.Answer) {
	d.meter.RecordRequest(p.route.Name, answer, d.clock.Now().Sub(request.Arrived))
	if p.account != nil {
		d.meter.RecordAccount(p.account.Name, answer)
	}
}

// recordRefusal counts and logs a request that is refused because of its account; the plan has the route then.
func (d *Dispatcher) recordRefusal(request Request, p plan, answer ibismessage.Answer, fields ...zap.Field) {
	if p.route == nil {
		return
	}
	d.record(request, p, answer)
	suppressed, ok := d.refusalLog.allow(answer.Reason, d.clock.Now())
	if !ok {
		return
	}
	account := ""
	if p.account != nil {
		account = string(p.account.Name)
	}
	d.log.Info("request refused", append([]zap.Field{
		zap.String("reason", string(answer.Reason)),
		zap.String("account", account),
		zap.String("request", request.ID),
		zap.String("class", string(p.route.Name)),
		zap.Uint64("config", uint64(d.inForce.Load().Version())),
		zap.String("outcome", string(answer.Outcome)),
		zap.Duration("held", d.clock.Now().Sub(request.Arrived)),
		zap.Duration("retryAfter", answer.RetryAfter),
		zap.Int("suppressed", suppressed),
		zap.Error(answer.Err),
	}, fields...)...)
}

// recordQuotaRefusal counts and logs a request for which its account has no token.
func (d *Dispatcher) recordQuotaRefusal(request Request, p plan, refusal quotaRefusal) {
	d.recordRefusal(request, p, refusal.answer,
		zap.Float64("rate", p.account.Rate),
		zap.Float64("burst", p.account.Burst),
		zap.Float64("lent", refusal.cause.Lent),
		zap.Duration("lentAge", refusal.cause.LentAge))
}
