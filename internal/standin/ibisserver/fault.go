package ibisserver

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

// Faults are the ways in which a stand-in backend server misbehaves until they are changed.
type Faults struct {
	// Truncate is the number of next answers that end before their length.
	Truncate int `json:"truncate,omitempty"`
	// DropBefore is the number of next requests whose connection is cut before they run.
	DropBefore int `json:"dropBefore,omitempty"`
	// DropAfter is the number of next requests whose connection is cut after they ran.
	DropAfter int `json:"dropAfter,omitempty"`
	// Fail is the number of next requests that are answered with status 500 after they ran.
	Fail int `json:"fail,omitempty"`
	// StaleLoad makes the load report repeat the last one before the fault, with its age hidden.
	StaleLoad bool `json:"staleLoad,omitempty"`
	// FalseHealth makes the health endpoint say the opposite of what it should.
	FalseHealth bool `json:"falseHealth,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleLoad && !s.faults.StaleLoad {
		s.reported = s.load()
	}
	s.faults = faults
}

// take uses up one of a number of faults and reports whether there was one.
func (s *Server) take(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// Straggle makes requests run longer by the factor for the duration.
func (s *Server) Straggle(d time.Duration, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = straggler{
		until:  s.config.Timer.Now().Add(d),
		factor: factor,
	}
}

type straggler struct {
	until  time.Time
	factor float64
}

func (g straggler) stretch(now time.Time, d time.Duration) time.Duration {
	if !now.Before(g.until) {
		return d
	}
	return time.Duration(float64(d) * g.factor)
}

// Freeze holds every request until Thaw, as a paused process would.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw lets held requests go on.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

func (s *Server) waitThawed() {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

func (s *Server) load() ibisbackend.Load {
	now := s.config.Timer.Now()
	return ibisbackend.Load{
		Running:     s.running,
		Queued:      len(s.waiting),
		Connections: s.connections,
		Cold:        s.cold(now) && !s.config.HideCold,
		SampledAt:   now,
	}
}
