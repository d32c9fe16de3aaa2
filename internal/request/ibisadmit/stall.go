package ibisadmit

import "time"

const (
	stallRatio       = 2.5 // multiple of the usual latency
	stallShare       = 0.5 // share of the running requests
	stallMinRequests = 2
)

func (g *Gate) recordHead(e HeadReceivedEvent) {
	if r, ok := g.running[e.ID]; ok {
		r.headReceived = true
		g.running[e.ID] = r
	}
}

// checkStall starts a probe when at least two requests, and at least half of the running ones, have waited for the head of
// their answer far longer than usual. The age of running requests shows a slow server long before the first slow answer ends.
func (g *Gate) checkStall(now time.Time) {
	if g.limit.algorithm == AlgorithmFixed || g.limit.probe != nil || g.limit.ramping(now) {
		return
	}
	stalled := 0
	for _, r := range g.running {
		usual := g.limit.stallLatency(r.queue.name)
		if !r.headReceived && usual > 0 && float64(now.Sub(r.admittedAt)) > stallRatio*float64(usual) {
			stalled++
		}
	}
	if stalled < stallMinRequests || float64(stalled) < stallShare*float64(len(g.running)) {
		return
	}
	g.limit.startProbe(now)
	g.limit.probe.byReport = g.limit.young()
	g.handleSlowServer(now)
}

// handleSlowServer refuses all waiting requests at once, so that they can run elsewhere. With Config.KeepQueue it only refuses
// those that can no longer meet their deadline.
func (g *Gate) handleSlowServer(now time.Time) {
	if g.config.KeepQueue {
		g.shed(now)
		return
	}
	for _, w := range g.removeAll(func(waitingRequest, int) bool { return true }) {
		g.refuse(w.id, ReasonSlow, slowRetryAfter)
	}
}

// slowAndBusy reports whether new requests are refused because the server is slow and the limit is reached; never with
// Config.KeepQueue.
func (g *Gate) slowAndBusy(now time.Time) bool {
	return g.limit.probe != nil && !g.config.KeepQueue && len(g.running) >= g.limit.bound(now)
}
