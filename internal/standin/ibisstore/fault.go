package ibisstore

import (
	"context"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Fault is a way in which the platform misbehaves.
type Fault string

const (
	// FaultDown refuses every operation.
	FaultDown Fault = "down"
	// FaultSlow delays every operation.
	FaultSlow Fault = "slow"
	// FaultRateLimit refuses operations above a rate.
	FaultRateLimit Fault = "rateLimit"
	// FaultLoseAnswer carries out a write and loses its answer; reads are not changed.
	FaultLoseAnswer Fault = "loseAnswer"
)

// FaultRule asks for a fault.
type FaultRule struct {
	// Fault is the kind of fault.
	Fault Fault
	// Count is the number of operations that the rule changes; zero means until it is cleared.
	Count int
	// Delay is the delay of FaultSlow.
	Delay time.Duration
	// Rate is the number of operations a second that FaultRateLimit lets through.
	Rate float64
}

var (
	errDown  = fmt.Errorf("%w: stand-in is down", ibisplatform.ErrUnavailable)
	errRate  = fmt.Errorf("%w: stand-in limits the rate", ibisplatform.ErrUnavailable)
	errLost  = fmt.Errorf("%w: answer lost", ibisplatform.ErrUnavailable)
	errDelay = fmt.Errorf("%w: caller gave up on a slow stand-in", ibisplatform.ErrUnavailable)
)

// Inject adds a fault rule, in place of an earlier one for the same fault.
func (s *Store) Inject(rule FaultRule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(rule.Fault)
	s.faults = append(s.faults, rule)
}

// Clear ends every fault.
func (s *Store) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Faults returns the rules in force.
func (s *Store) Faults() []FaultRule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]FaultRule(nil), s.faults...)
}

// begin applies the faults to one operation and reports whether its answer is to be lost.
func (s *Store) begin(ctx context.Context, write bool) (bool, error) {
	plan := s.plan(write)
	if plan.delay > 0 {
		if err := s.wait(ctx, plan.delay); err != nil {
			return false, err
		}
	}
	if ctx.Err() != nil {
		return false, errDelay
	}
	return plan.lose, plan.refusal
}

// faultPlan is what the rules in force do to one operation.
type faultPlan struct {
	delay   time.Duration
	lose    bool
	refusal error
}

func (s *Store) plan(write bool) faultPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(write)
	var plan faultPlan
	changed := false
	for i := 0; i < len(s.faults); i++ {
		if !s.applyRule(s.faults[i], write, &plan) {
			continue
		}
		changed = true
		if s.spend(i) {
			i--
		}
	}
	if changed {
		s.counts.Faults++
	}
	return plan
}

func (s *Store) count(write bool) {
	if write {
		s.counts.Writes++
		return
	}
	s.counts.Reads++
}

func (s *Store) applyRule(rule FaultRule, write bool, plan *faultPlan) bool {
	switch rule.Fault {
	case FaultDown:
		plan.refusal = errDown
	case FaultSlow:
		plan.delay = rule.Delay
	case FaultRateLimit:
		if s.pace.allow(s.timer.Now(), rule.Rate) {
			return false
		}
		plan.refusal = errRate
	case FaultLoseAnswer:
		if !write {
			return false
		}
		plan.lose = true
	}
	return true
}

// spend counts one use of a rule and reports whether that removed it.
func (s *Store) spend(i int) bool {
	if s.faults[i].Count == 0 {
		return false
	}
	s.faults[i].Count--
	if s.faults[i].Count > 0 {
		return false
	}
	s.faults = append(s.faults[:i], s.faults[i+1:]...)
	return true
}

func (s *Store) remove(fault Fault) {
	for i, rule := range s.faults {
		if rule.Fault == fault {
			s.faults = append(s.faults[:i], s.faults[i+1:]...)
			return
		}
	}
}

func (s *Store) wait(ctx context.Context, delay time.Duration) error {
	done := make(chan struct{})
	subscription := s.timer.After(delay, func(time.Time) { close(done) })
	defer subscription.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errDelay
	}
}

// pace is a token bucket of one second's burst.
type pace struct {
	tokens float64
	last   time.Time
}

func (p *pace) allow(now time.Time, rate float64) bool {
	if p.last.IsZero() {
		p.tokens = rate
	} else {
		p.tokens = min(rate, p.tokens+now.Sub(p.last).Seconds()*rate)
	}
	p.last = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
