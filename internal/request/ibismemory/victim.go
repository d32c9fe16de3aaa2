package ibismemory

import (
	"cmp"
	"slices"
	"time"
)

// State is what a connection waits for.
type State int

const (
	// StateUnused means that no byte of a request has arrived yet.
	StateUnused State = iota
	// StateIdle means that the last request was answered and none has begun.
	StateIdle
	// StateReceiving means that the client sends a request, its head or its body.
	StateReceiving
	// StateRunning means that the client waits for an answer.
	StateRunning
	// StateSending means that the client is to read an answer.
	StateSending
)

const (
	// minWait is how long a connection waits before it may be closed for another one: an ordinary request on it arrives or is
	// read within a few round trips between regions.
	minWait = 300 * time.Millisecond
	// minIdle is how long a connection that has served requests is idle before it may be closed for another one.
	minIdle = time.Second
	// idleWeight is the weight of an idle connection that has served requests: its client may be about to send the next one.
	idleWeight = 1.0 / 16
	// freeShare is the share of the connections that is closed at once, so that a crowd does not cost a scan for each of its own.
	freeShare = 1.0 / 32
)

// Candidate is an open connection that may be closed for another one.
type Candidate struct {
	// State is what it waits for.
	State State
	// Held is the number of bytes that it holds.
	Held int64
	// Moved is the number of bytes that it has transferred since it entered the state.
	Moved int64
	// Waited is how long it has been in the state.
	Waited time.Duration
}

// score returns how much is gained by closing the connection, zero if it must not be closed.
func (c Candidate) score() float64 {
	weight := 1.0
	least := minWait
	switch c.State {
	case StateRunning:
		return 0
	case StateIdle:
		weight, least = idleWeight, minIdle
	case StateUnused, StateReceiving, StateSending:
	}
	if c.Waited < least {
		return 0
	}
	// A KiB transferred halves the score, so that a steady sender outlives one that stops.
	return weight * float64(c.Held) * c.Waited.Seconds() / (1 + float64(c.Moved)/1024)
}

// RankVictims returns the indices of the candidates that may be closed, so that one more connection or more bytes can be held: first
// those that hold the most for the longest and transfer the least.
func RankVictims(candidates []Candidate) []int {
	scores := make([]float64, len(candidates))
	var out []int
	for i, c := range candidates {
		if scores[i] = c.score(); scores[i] > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}

// IsEnoughFreed reports whether enough connections of the given number of candidates are closed and enough bytes are free for the
// bytes that are to be held.
func IsEnoughFreed(closed, candidates int, freed, bytes int64) bool {
	return closed >= 1+int(freeShare*float64(candidates)) && freed >= bytes
}
