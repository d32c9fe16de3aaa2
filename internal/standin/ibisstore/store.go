package ibisstore

import (
	"sync"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

var (
	_ ibisplatform.Table       = (*Store)(nil)
	_ ibisplatform.ObjectStore = (*Store)(nil)
)

// Store holds the rows and objects of one stand-in platform.
type Store struct {
	timer ibistimer.Service

	mu       sync.Mutex
	sequence ibisplatform.Version
	rows     map[string]ibisplatform.Row
	objects  map[string][]byte
	faults   []FaultRule
	pace     pace
	counts   Counts
}

// Counts is the number of operations that a store has answered since it was made.
type Counts struct {
	// Reads counts row reads, scans, object reads and listings.
	Reads uint64 `json:"reads"`
	// Writes counts commits and object writes.
	Writes uint64 `json:"writes"`
	// Faults counts operations that a fault rule changed.
	Faults uint64 `json:"faults"`
}

// Option changes how a store is made.
type Option func(*Store)

// WithTimer sets the timer service; the default follows the machine's clock.
func WithTimer(timer ibistimer.Service) Option { return func(s *Store) { s.timer = timer } }

// New returns an empty store without faults.
func New(options ...Option) *Store {
	s := &Store{
		timer:   ibistimer.New(),
		rows:    make(map[string]ibisplatform.Row),
		objects: make(map[string][]byte),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Counts returns the number of operations so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
