package ibisserver

import (
	"context"
	"time"
)

// waiter is a request that waits for a slot; ready is closed when it has one.
type waiter struct {
	ready chan struct{}
}

// TurnCold puts the server into a cold start as if it had lost its caches, without a word to its node.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFrom = s.config.Timer.Now()
	s.coldUntil = s.coldFrom.Add(s.config.ColdStart)
}

func (s *Server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// bearable returns the number of requests that the server bears at once: in a cold start it grows evenly to the slots.
func (s *Server) bearable(now time.Time) int {
	if !s.cold(now) {
		return s.config.Slots
	}
	share := float64(now.Sub(s.coldFrom)) / float64(s.config.ColdStart)
	grown := int(share * float64(s.config.Slots-s.config.ColdSlots))
	return min(s.config.Slots, s.config.ColdSlots+grown)
}

// acquire takes a slot, waiting for one within the queue's length; it reports whether the server shed the request.
func (s *Server) acquire(ctx context.Context) (shed bool, err error) {
	s.mu.Lock()
	if s.running < s.config.Slots {
		s.occupy()
		s.mu.Unlock()
		return false, nil
	}
	if len(s.waiting) >= s.config.QueueLength {
		s.counts.Shed++
		s.mu.Unlock()
		return true, nil
	}
	w := &waiter{
		ready: make(chan struct{}),
	}
	s.waiting = append(s.waiting, w)
	s.counts.Queued++
	s.mu.Unlock()
	select {
	case <-w.ready:
		return false, nil
	case <-ctx.Done():
		s.abandon(w)
		return false, ctx.Err()
	}
}

func (s *Server) occupy() {
	s.running++
	s.counts.Peak = max(s.counts.Peak, s.running)
	if s.running > s.bearable(s.config.Timer.Now()) {
		s.counts.Overloaded++
	}
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.waiting) == 0 {
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.occupy()
	close(next.ready)
}

// abandon takes a request out of the queue, or gives back the slot that it was given meanwhile.
func (s *Server) abandon(w *waiter) {
	s.mu.Lock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// overloadFactor is how much longer a request runs on a server that bears fewer than it runs.
const overloadFactor = 10

// serviceTime returns how long the next request runs.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Timer.Now()
	d := s.slow.stretch(now, s.config.ServiceTime)
	if s.running > s.bearable(now) {
		d *= overloadFactor
	}
	return d
}
