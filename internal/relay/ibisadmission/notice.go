package ibisadmission

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// hear applies what the backend server said about itself in an answer; an absent notice changes nothing.
func (g *Guard) hear(said ibisset.Option[ibismessage.ServerNotice]) {
	if notice, ok := said.Get(); ok {
		g.applyNotice(notice, false)
	}
}

// hearSender applies what the sender of an order last heard from the backend server, as long as no answer has arrived from it since
// the node started.
func (g *Guard) hearSender(notice ibismessage.ServerNotice) {
	if !notice.IsEmpty() {
		g.applyNotice(notice, true)
	}
}

// applyNotice applies what the present incarnation of the backend server said about itself, with onlyFirst only if nothing was heard
// from it before.
func (g *Guard) applyNotice(notice ibismessage.ServerNotice, onlyFirst bool) {
	g.mu.Lock()
	before, heard := g.notice.Get()
	if notice.Server != g.server.Incarnation || heard && onlyFirst {
		g.mu.Unlock()
		return
	}
	// An answer that was sent before the server began to leave may arrive later.
	notice.Leaving = notice.Leaving || before.Leaving
	g.notice = ibisset.Some(notice)
	if notice.RateLimit != before.RateLimit {
		g.logRateLimit(before, notice)
		g.applyRateLimit(g.clock.Now())
	}
	beginsToLeave := notice.Leaving && !before.Leaving
	if beginsToLeave {
		g.server.State = ibisroster.StateDraining
		g.drain()
	}
	g.mu.Unlock()
	if beginsToLeave {
		g.ownership.ReportServerLeaving(notice.Server)
	}
}

// drain ends admission to the present incarnation of the backend server; g.mu is held.
func (g *Guard) drain() {
	if g.gate != nil {
		g.apply(ibisadmit.DrainEvent{}, g.clock.Now())
	}
}

// applyRateLimit applies the rate limit that the backend server names to the gate; g.mu is held.
func (g *Guard) applyRateLimit(now time.Time) {
	perSecond, limited := g.notice.Or(ibismessage.ServerNotice{}).RateLimit.Get()
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
