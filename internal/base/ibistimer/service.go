package ibistimer

import (
	"sync"
	"time"
)

// Service is a clock with timers.
type Service interface {
	// Now returns a time that never steps back or stops; it may differ from the wall clock after the wall clock was set.
	Now() time.Time
	// After calls f once after the delay.
	After(delay time.Duration, f func(now time.Time)) Subscription
	// Every calls f after each period until the subscription is stopped.
	Every(period time.Duration, f func(now time.Time)) Subscription
}

// Subscription is a registered timer that can be stopped.
type Subscription interface {
	// Stop prevents further calls; a call that has already started may still be running when Stop returns.
	Stop()
}

// Clock is the Service that uses the machine's clock.
//
// Its time also advances while the machine is suspended, unlike the monotonic readings of package time: a lease must
// expire while its holder is suspended.
type Clock struct{}

// New returns a Service that uses the machine's clock.
func New() Clock { return Clock{} }

var (
	wallAtStart = time.Now().Round(0)
	bootAtStart = sinceBoot()
)

// Now returns the wall-clock time at the start of the process plus the time elapsed since.
func (Clock) Now() time.Time { return wallAtStart.Add(sinceBoot() - bootAtStart) }

// After calls f on its own goroutine after the delay.
func (c Clock) After(delay time.Duration, f func(time.Time)) Subscription {
	t := time.AfterFunc(delay, func() { f(c.Now()) })
	return stopFunc(func() { t.Stop() })
}

// Every calls f on one goroutine after each period; periods that end while f runs are skipped.
func (c Clock) Every(period time.Duration, f func(time.Time)) Subscription {
	done := make(chan struct{})
	go c.repeat(period, f, done)
	return stopFunc(sync.OnceFunc(func() { close(done) }))
}

func (c Clock) repeat(period time.Duration, f func(time.Time), done <-chan struct{}) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			f(c.Now())
		}
	}
}

type stopFunc func()

func (f stopFunc) Stop() { f() }
