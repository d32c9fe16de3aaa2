package ibisagenda

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

// Agenda runs functions in order of fake time, and in order of scheduling at equal times.
type Agenda struct {
	fake *ibistimer.Fake
}

// New returns an empty agenda at the time.
func New(now time.Time) *Agenda {
	return &Agenda{
		fake: ibistimer.NewFake(now),
	}
}

// Now returns the fake time.
func (a *Agenda) Now() time.Time { return a.fake.Now() }

// After runs a function later.
func (a *Agenda) After(d time.Duration, run func()) {
	a.fake.After(d, func(time.Time) { run() })
}

// At runs a function at a time.
func (a *Agenda) At(t time.Time, run func()) { a.After(t.Sub(a.Now()), run) }

// RunUntil runs what is due up to the end, and leaves the time there.
func (a *Agenda) RunUntil(end time.Time) { a.fake.Advance(end.Sub(a.Now())) }
