package ibistimer

import (
	"container/heap"
	"sync"
	"time"
)

// Fake is a Service whose time changes only when a test calls Advance.
type Fake struct {
	mu    sync.Mutex
	now   time.Time
	seq   uint64
	queue fakeQueue
}

// NewFake returns a Fake that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After calls g once when the fake time has advanced by the delay.
func (f *Fake) After(delay time.Duration, g func(time.Time)) Subscription {
	return f.subscribe(delay, 0, g)
}

// Every calls g each time the fake time has advanced by the period.
func (f *Fake) Every(period time.Duration, g func(time.Time)) Subscription {
	return f.subscribe(period, period, g)
}

// Advance moves the time forward and calls the subscribers that become due, ordered by time and then by subscription.
func (f *Fake) Advance(d time.Duration) {
	end := f.Now().Add(d)
	for {
		s, at, ok := f.popDue(end)
		if !ok {
			return
		}
		s.call(at)
	}
}

func (f *Fake) subscribe(delay, period time.Duration, g func(time.Time)) Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fakeSubscription{
		owner:  f,
		at:     f.now.Add(delay),
		period: period,
		call:   g,
	}
	f.push(s)
	return s
}

func (f *Fake) push(s *fakeSubscription) {
	f.seq++
	s.seq = f.seq
	heap.Push(&f.queue, s)
}

func (f *Fake) popDue(end time.Time) (*fakeSubscription, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		s := heap.Pop(&f.queue).(*fakeSubscription)
		if s.stopped {
			continue
		}
		at := s.at
		f.now = at
		if s.period > 0 {
			s.at = at.Add(s.period)
			f.push(s)
		}
		return s, at, true
	}
	f.now = end
	return nil, end, false
}

type fakeSubscription struct {
	owner   *Fake
	at      time.Time
	period  time.Duration
	seq     uint64
	stopped bool
	call    func(time.Time)
}

func (s *fakeSubscription) Stop() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.stopped = true
}

type fakeQueue []*fakeSubscription

func (q fakeQueue) Len() int { return len(q) }

func (q fakeQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q fakeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *fakeQueue) Push(x any) { *q = append(*q, x.(*fakeSubscription)) }

func (q *fakeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
