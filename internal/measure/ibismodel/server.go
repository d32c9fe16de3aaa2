package ibismodel

import (
	"math/rand/v2"
	"time"
)

const (
	// coldCrash times the stated rate is what a cold server crashes at.
	coldCrash = 2
	// coldAllowed times the stated rate, and coldSlack more, may reach a cold server in any second.
	coldAllowed = 1.5
	coldSlack   = 5
	// crashTime is how long a server that crashed when cold is down.
	crashTime = 2 * time.Second
	// fixedWork is the share of a request's mean work that is the same each time; the rest is exponential.
	fixedWork = 0.6
	// nearFullFrom is the share of busy slots from which work gets slower.
	nearFullFrom = 0.5
)

// server is a backend server.
type server struct {
	node      *node
	config    *Service
	random    *rand.Rand
	up        bool
	speed     float64
	slow      float64
	grey      float64
	lying     bool
	noisyTo   time.Time
	coldTo    time.Time
	recent    []time.Time
	running   map[*attempt]struct{}
	queue     []*attempt
	served    int
	reported  float64
	rejected  int
	coldOver  int
	coldFalls int
}

func newServer(n *node, config *Service, random *rand.Rand) *server {
	return &server{
		node:    n,
		config:  config,
		random:  random,
		up:      true,
		speed:   1 + config.SpeedSpread*(2*random.Float64()-1),
		slow:    1,
		running: make(map[*attempt]struct{}),
	}
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldTo) }

// load is what the server reports of itself.
func (s *server) load() float64 {
	if s.lying {
		return 0
	}
	return float64(len(s.running)+len(s.queue)) / float64(s.config.Slots)
}

// arrive notes an arrival and reports whether the server bears it: a cold one crashes far above its rate.
func (s *server) arrive(now time.Time) bool {
	n := 0
	for n < len(s.recent) && now.Sub(s.recent[n]) >= time.Second {
		n++
	}
	s.recent = append(s.recent[n:], now)
	if !s.cold(now) {
		return true
	}
	if float64(len(s.recent)) > coldAllowed*float64(s.config.ColdPerSecond)+coldSlack {
		s.coldOver++
	}
	if len(s.recent) > coldCrash*s.config.ColdPerSecond+coldSlack {
		s.coldFalls++
		return false
	}
	return true
}

// span draws how long a piece of work takes that begins now.
func (s *server) span(work time.Duration, now time.Time) time.Duration {
	span := float64(work) * (fixedWork + (1-fixedWork)*s.random.ExpFloat64()) / s.speed * s.slow
	busy := float64(len(s.running)) / float64(s.config.Slots)
	span *= 1 + s.config.SlowNearFull*max(0, busy-nearFullFrom)/(1-nearFullFrom)
	if now.Before(s.noisyTo) {
		span *= s.config.NoiseFactor
	}
	if s.cold(now) {
		span *= s.config.ColdFactor
	}
	return time.Duration(span)
}
