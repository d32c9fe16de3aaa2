package ibisadmission

import (
	"time"

	"go.uber.org/zap"
)

// keptFreeLogInterval is the least time between two log lines on slots that are kept free.
const keptFreeLogInterval = 10 * time.Second

// logKeptFree logs when the gate begins and ceases to keep slots free for urgent classes; g.mu is held.
func (g *Guard) logKeptFree(now time.Time) {
	if now.Sub(g.keptFreeAt) < keptFreeLogInterval {
		return
	}
	slots := g.gate.KeptFree(now)
	if (slots > 0) == g.keptFree {
		return
	}
	g.keptFree, g.keptFreeAt = slots > 0, now
	message := "keeps slots free for urgent classes, whose requests can't wait until longer work ends"
	if slots == 0 {
		message = "keeps no slots free for urgent classes any more"
	}
	g.log.Info(message,
		zap.Int("slots", slots),
		zap.Int("of", g.gate.Limit(now)),
		zap.Int("running", g.gate.Running()),
		zap.Int("waiting", len(g.waiting)))
}
