package ibisadmit

import (
	"slices"
	"time"
)

const (
	// resetMemory is how long after a reset runs that were cut off count as still holding a slot.
	resetMemory = time.Minute
	// resetStep is the time after which one more slot is used again after a reset.
	resetStep = 100 * time.Millisecond
	// maxCutOff bounds the runs that were cut off and are remembered.
	maxCutOff = 1024
)

// serverResets holds what is learnt from a backend server that resets connections when it is full. Such a server goes on with runs that
// the node has cut off, so more run there than the gate admitted.
type serverResets struct {
	lastAt time.Time
	// bound is the number of slots that may be used right after the last reset.
	bound int
	// cutOff lists until when the server is expected to work on the runs that were cut off.
	cutOff []time.Time
}

// known reports whether the server has reset a connection lately because it was full.
func (r *serverResets) known(now time.Time) bool {
	return !r.lastAt.IsZero() && now.Sub(r.lastAt) < resetMemory
}

// working returns the number of runs that were cut off and that the server is expected to work on still.
func (r *serverResets) working(now time.Time) int {
	r.cutOff = slices.DeleteFunc(r.cutOff, func(until time.Time) bool { return !until.After(now) })
	return len(r.cutOff)
}

// recordCutOff remembers a run that was cut off: it holds its slot for its class's typical time, or for half of it if it has run for longer.
func (g *Gate) recordCutOff(r runningRequest, now time.Time) {
	typical := g.MeanSlotTime(r.queue.name)
	left := max(typical-now.Sub(r.admittedAt), typical/2)
	g.resets.working(now)
	if len(g.resets.cutOff) < maxCutOff {
		g.resets.cutOff = append(g.resets.cutOff, now.Add(left))
	}
}

// IsFull reports whether as many requests run as there are slots, those included that were cut off and that the server still works on.
func (g *Gate) IsFull(now time.Time) bool {
	return len(g.running)+g.resets.working(now) >= g.limit.bound(now)
}

// recordReset lowers the number of slots in use by one below what ran when the server reset a connection because it was full.
func (g *Gate) recordReset(now time.Time) {
	g.resets.bound = max(1, min(len(g.running), g.slotLimit(now))-1)
	g.resets.lastAt = now
}

// slotLimit returns the number of requests that the gate may run: the limit less what a server that resets connections still works on.
func (g *Gate) slotLimit(now time.Time) int {
	limit := g.limit.bound(now)
	if !g.resets.known(now) {
		return limit
	}
	regained := int(now.Sub(g.resets.lastAt) / resetStep)
	return max(1, min(limit-g.resets.working(now), g.resets.bound+regained))
}
