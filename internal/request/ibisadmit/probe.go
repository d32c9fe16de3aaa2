package ibisadmit

import "time"

const (
	probeSamplesPerSlot = 2 // samples per slot of the level
	probeGrowth         = 2 // factor from one level to the next
)

// probe distinguishes a cold server from a straggler, a server that is temporarily slow at any load. Its level is the limit
// that it sets, at first one request. A server that is slow at level 1 is a straggler and stays there until it is fast again.
// A server that is fast at 1 but slow at a higher level twice in a row is cold, and its limit ramps up; a single time may be
// the next slow period of a straggler. The level doubles, so that a straggler regains its slots after a few answers.
type probe struct {
	startedAt  time.Time
	levelStart time.Time
	level      int
	samples    int
	ratioSum   float64
	// byReport reports that the probe was started by a latency that other gates reported. A server that is slow at level 1 then ramps
	// up: it may be cold or slower than theirs, and would stay at level 1 for ever in the latter case.
	byReport bool
	// slowAboveOne reports whether the server was slow above level 1 since it was last slow at level 1.
	slowAboveOne bool
}

func (l *limiter) startProbe(now time.Time) {
	l.probe = &probe{
		startedAt:  now,
		levelStart: now,
		level:      1,
	}
	l.resetSignals(now)
}

// addProbeSample records the latency ratio of a request that was admitted at the probe's current level. Once the level has
// enough samples, it ends the probe or changes the level.
func (l *limiter) addProbeSample(ratio float64, admitted, now time.Time) {
	p := l.probe
	if admitted.Before(p.levelStart) {
		return
	}
	p.samples++
	p.ratioSum += ratio
	if p.samples < probeSamplesPerSlot*p.level {
		return
	}
	slow := p.ratioSum > latencyTolerance*float64(p.samples)
	switch {
	case slow && p.level == 1 && p.byReport:
		l.resetBaselineAndRamp(p.startedAt)
	case slow && p.level > 1 && p.slowAboveOne:
		l.startRamp(l.coldStart, p.startedAt)
	case slow:
		p.slowAboveOne = p.level > 1
		p.setLevel(1, now)
	case p.level*probeGrowth >= l.slots:
		l.probe = nil
		l.limit = float64(l.slots)
	default:
		p.setLevel(p.level*probeGrowth, now)
	}
}

func (p *probe) setLevel(level int, now time.Time) {
	p.level = level
	p.levelStart = now
	p.samples = 0
	p.ratioSum = 0
}
