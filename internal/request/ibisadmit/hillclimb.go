package ibisadmit

import "time"

const (
	climbSamplesPerSlot = 8    // samples per slot of the limit in one window
	climbKeepRatio      = 0.97 // throughput ratio at which a lower limit is kept
	climbGainRatio      = 1.03 // throughput ratio at which a higher limit is kept
	climbPauseWindows   = 10   // windows without a trial after a rejected one
)

// hillClimb searches for the limit with the greatest throughput by trying steps of one slot while the server is saturated.
// It serves backend servers that handle fewer requests than they announced from the start: their baseline holds no lower
// latency, so a latency ratio shows nothing. By Little's law the throughput at a limit is the limit divided by the mean
// latency; a window is the period that measures it at one limit. A lower limit is kept if it preserves the throughput
// within 3 %, a higher one if it gains at least 3 %. After a rejected step the search changes direction and pauses for ten
// windows.
type hillClimb struct {
	limit          int
	trialStep      int
	windowStart    time.Time
	samples        int
	ratioSum       float64
	bestThroughput float64
	pauseWindows   int
	upward         bool
}

// bound returns the limit that the current window measures.
func (c *hillClimb) bound() int { return c.limit + c.trialStep }

// addSample records the latency ratio of a request that ended while the server was saturated. Requests admitted before the
// current window are ignored, as they ran under another limit.
func (c *hillClimb) addSample(ratio float64, admitted time.Time, slots int, now time.Time) {
	if admitted.Before(c.windowStart) {
		return
	}
	c.samples++
	c.ratioSum += ratio
	if c.samples < climbSamplesPerSlot*c.bound() {
		return
	}
	throughput := float64(c.bound()) * float64(c.samples) / max(c.ratioSum, 0.001)
	c.endWindow(throughput, slots)
	c.samples = 0
	c.ratioSum = 0
	c.windowStart = now
}

// endWindow keeps or reverts the trial step by the throughput of the finished window and chooses the next step.
func (c *hillClimb) endWindow(throughput float64, slots int) {
	switch {
	case c.trialStep != 0 && c.acceptsTrial(throughput):
		c.limit += c.trialStep
		c.bestThroughput = throughput
	case c.trialStep != 0:
		c.trialStep = 0
		c.upward = !c.upward
		c.pauseWindows = climbPauseWindows
		return
	default:
		c.bestThroughput = throughput
	}
	if c.pauseWindows > 0 {
		c.pauseWindows--
		return
	}
	c.trialStep = c.nextTrialStep(slots)
}

func (c *hillClimb) acceptsTrial(throughput float64) bool {
	if c.trialStep < 0 {
		return throughput >= climbKeepRatio*c.bestThroughput
	}
	return throughput >= climbGainRatio*c.bestThroughput
}

func (c *hillClimb) nextTrialStep(slots int) int {
	if c.upward && c.limit < slots {
		return 1
	}
	if c.limit > 1 {
		return -1
	}
	return 0
}

// resetWindow drops the samples of the current window. It is called when a ramp or a probe takes control of the limit.
func (c *hillClimb) resetWindow(now time.Time) {
	c.samples = 0
	c.ratioSum = 0
	c.windowStart = now
}
