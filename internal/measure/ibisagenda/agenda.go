package ibisagenda

import (
	"container/heap"
	"time"
)

// Agenda runs functions in order of fake time, and in order of scheduling at equal times.
type Agenda struct {
	now   time.Time
	seq   uint64
	items schedule
}

// New returns an empty agenda at the time.
func New(now time.Time) *Agenda {
	return &Agenda{
		now: now,
	}
}

// Now returns the fake time.
func (a *Agenda) Now() time.Time { return a.now }

// After runs a function later.
func (a *Agenda) After(d time.Duration, run func()) { a.At(a.now.Add(d), run) }

// At runs a function at a time.
func (a *Agenda) At(t time.Time, run func()) {
	a.seq++
	heap.Push(&a.items, scheduled{
		at:  t,
		seq: a.seq,
		run: run,
	})
}

// RunUntil runs what is due up to the end.
func (a *Agenda) RunUntil(end time.Time) {
	for len(a.items) > 0 && !a.items[0].at.After(end) {
		next := heap.Pop(&a.items).(scheduled)
		a.now = next.at
		next.run()
	}
}

type scheduled struct {
	at  time.Time
	seq uint64
	run func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].seq < s[j].seq
	}
	return s[i].at.Before(s[j].at)
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
