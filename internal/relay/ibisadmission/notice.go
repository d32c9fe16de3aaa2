package ibisadmission

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// applyNotice applies what an incarnation of the backend server said about itself in an answer; an absent notice changes nothing.
func (g *Guard) applyNotice(incarnation ibisroster.ServerIncarnation, said ibisset.Option[ibismessage.ServerNotice]) {
	notice, ok := said.Get()
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation != g.server.Incarnation || notice == g.notice {
		return
	}
	before := g.notice
	g.notice = notice
	g.logRateLimit(before, notice)
	g.applyRateLimit(g.clock.Now())
}

// applyRateLimit applies the rate limit that the backend server names to the gate; g.mu is held.
func (g *Guard) applyRateLimit(now time.Time) {
	perSecond, limited := g.notice.RateLimit.Get()
	if g.gate != nil {
		g.apply(ibisadmit.RateLimitEvent{
			Limited:   limited,
			PerSecond: perSecond,
		}, now)
	}
}

// logRateLimit logs when the backend server begins and ceases to name a rate limit, with the number of requests admitted until then.
func (g *Guard) logRateLimit(before, after ibismessage.ServerNotice) {
	_, limited := before.RateLimit.Get()
	perSecond, limits := after.RateLimit.Get()
	if limited == limits {
		return
	}
	message := "backend server names a rate limit"
	if limited {
		message = "backend server names no rate limit any more"
	}
	g.log.Info(message,
		zap.String("server", g.server.Incarnation.ID),
		zap.Float64("perSecond", perSecond),
		zap.Uint64("admitted", g.stats.Admitted),
		zap.Uint64("refused", g.stats.Refused))
}
