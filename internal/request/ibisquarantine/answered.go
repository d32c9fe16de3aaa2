package ibisquarantine

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

const (
	// answeredWindow is how long an answer is remembered at least; it is forgotten after twice as long.
	answeredWindow = 10 * time.Second
	// maxAnswered bounds the answers remembered in one window. What many callers ask for is among the first of each.
	maxAnswered = 8192
)

// answered remembers which requests servers ran to an answer lately.
type answered struct {
	current  ibisset.Set[Fingerprint]
	previous ibisset.Set[Fingerprint]
	// since is when current began.
	since time.Time
}

func (a *answered) add(f Fingerprint, now time.Time) {
	a.rotate(now)
	if len(a.current) < maxAnswered {
		a.current.Add(f)
	}
}

func (a *answered) has(f Fingerprint, now time.Time) bool {
	a.rotate(now)
	return a.current.Has(f) || a.previous.Has(f)
}

// rotate begins a new window if the current one is over.
func (a *answered) rotate(now time.Time) {
	age := now.Sub(a.since)
	if a.current != nil && age < answeredWindow {
		return
	}
	a.previous = a.current
	if age >= 2*answeredWindow {
		a.previous = nil
	}
	a.current = make(ibisset.Set[Fingerprint])
	a.since = now
}
