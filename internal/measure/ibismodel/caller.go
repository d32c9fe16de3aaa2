package ibismodel

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// impatience is how soon a caller asks again that doesn't heed the time to come back.
	impatience = 20 * time.Millisecond
	// retryPause is how soon a caller asks again after a failure.
	retryPause = 50 * time.Millisecond
	// heededShare is the share of the time left up to which callers heed a time to come back.
	heededShare = 3
)

// caller is one caller's request with all its attempts.
type caller struct {
	world     *world
	class     *Class
	key       int
	node      *node
	first     time.Time
	deadline  time.Time
	attempts  int
	impatient bool
	current   *request
	over      bool
}

// issue begins a caller's request.
func (w *world) issue(class *Class, n *node) {
	c := &caller{
		world:     w,
		class:     class,
		key:       w.drawKey(),
		node:      n,
		first:     w.Now(),
		deadline:  w.Now().Add(w.drawPatience(class)),
		impatient: w.habits.Float64() < w.config.Callers.Impatient,
	}
	w.tally.owe(class, c.first)
	leaves := c.deadline
	if w.habits.Float64() < w.config.Callers.GiveUp {
		leaves = c.first.Add(c.deadline.Sub(c.first) / 2)
	}
	c.try()
	w.At(leaves, func() {
		if c.over {
			return
		}
		c.over = true
		if c.current != nil {
			w.leave(c.current)
		}
		w.tally.lost(c, endHeld)
	})
}

// drawPatience draws how long a caller waits in all.
func (w *world) drawPatience(class *Class) time.Duration {
	return time.Duration(float64(class.Deadline.Duration) * (1 - w.config.Callers.DeadlineSpread*w.habits.Float64()))
}

// try sends the caller's next attempt.
func (c *caller) try() {
	w := c.world
	c.attempts++
	w.After(w.config.Fleet.CallerDelay.Duration, func() {
		callerTimeout := c.deadline.Sub(w.Now())
		if c.over || callerTimeout <= 0 || !c.node.reachable {
			return
		}
		var r *request
		r = w.newRequest(c.class, c.key, c.node, callerTimeout, func(end ending) {
			w.After(w.config.Fleet.CallerDelay.Duration, func() {
				if !c.over && c.current == r {
					c.answered(end)
				}
			})
		})
		c.current = r
		w.enter(r)
	})
}

// answered takes an answer in: the caller is served, asks again, or ends without.
func (c *caller) answered(end ending) {
	w := c.world
	if end.outcome == ibisid.OutcomeDone && !end.failed {
		c.over = true
		w.tally.served(c, w.Now())
		return
	}
	left := c.deadline.Sub(w.Now())
	refused := end.outcome == ibisid.OutcomeNotRun
	if refused {
		w.tally.refusedAfter(c.class, w.Now().Sub(c.current.arrived))
	}
	if c.attempts > c.class.Retries || !refused && !c.class.Repeatable {
		c.over = true
		if refused {
			w.tally.lost(c, endRefused)
		} else {
			w.tally.lost(c, endFailed)
		}
		return
	}
	pause := retryPause
	switch {
	case refused && c.impatient:
		pause = impatience
	case refused:
		pause = min(end.retryAfter, left/heededShare)
	}
	w.After(pause, func() {
		if !c.over {
			c.try()
		}
	})
}
