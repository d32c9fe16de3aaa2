package ibisadmission

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// resetLogInterval is the least time between two log lines on resets by a full backend server.
const resetLogInterval = 10 * time.Second

// judgeReset returns the reason of an order whose connection the backend server reset: ReasonServerReset if all slots were in use, runs
// that were cut off included, and ReasonConnectionFailed otherwise.
func (g *Guard) judgeReset(incarnation ibisroster.ServerIncarnation) ibismessage.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.gate == nil || g.server.Incarnation != incarnation || !g.gate.IsFull(now) {
		return ibismessage.ReasonConnectionFailed
	}
	g.stats.Resets++
	running := g.gate.Running()
	g.apply(ibisadmit.ResetEvent{}, now)
	if now.Sub(g.resetLoggedAt) >= resetLogInterval {
		g.resetLoggedAt = now
		g.log.Warn("backend server resets connections when full; admitting less",
			zap.String("server", incarnation.ID),
			zap.Int("running", running),
			zap.Int("slots", g.server.Slots),
			zap.Uint64("resets", g.stats.Resets))
	}
	return ibismessage.ReasonServerReset
}
