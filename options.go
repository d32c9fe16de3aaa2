package ibisridge

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
)

type (
	// LeaseOption changes the terms of NewLeaseTerms.
	LeaseOption func(*LeaseTerms)
	// CoordinatorOption changes the coordinator of NewCoordinator.
	CoordinatorOption = ibiscoordinator.Option
	// GateOption changes the gate of NewGate.
	GateOption func(*GateConfig)
	// ChooserOption changes the chooser of NewChooser.
	ChooserOption func(*ChooserConfig)
	// OnceOption changes the memory of NewOnceMemory.
	OnceOption func(*OnceConfig)
)

// WithTerm sets how long a silent holder is left alone; the default is 2.4 s.
func WithTerm(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Term = d } }

// WithHeartbeat sets the period of heartbeats; the default is 0.8 s.
func WithHeartbeat(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Heartbeat = d } }

// WithDrift sets the greatest error of a clock's rate, as a fraction; the default is 0.01.
func WithDrift(fraction float64) LeaseOption { return func(t *LeaseTerms) { t.Drift = fraction } }

// WithGuard sets the time kept free between a check of the lease and the hand-over; the default is 20 ms.
func WithGuard(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Guard = d } }

// WithMovesPerMinute bounds the moves that balance loads; the default is 240.
func WithMovesPerMinute(moves float64) CoordinatorOption {
	return ibiscoordinator.WithMovesPerMinute(moves)
}

// WithColdStart sets how long a cold backend server takes to its full limit; the default is 10 s.
func WithColdStart(d time.Duration) GateOption { return func(c *GateConfig) { c.ColdStart = d } }

// WithStartCold starts the gate with the ramp of a cold backend server; the default is a warm one.
func WithStartCold() GateOption { return func(c *GateConfig) { c.StartCold = true } }

// WithAlgorithm selects the algorithm that adapts the concurrency limit; the default is AlgorithmGradient.
func WithAlgorithm(algorithm LimitAlgorithm) GateOption {
	return func(c *GateConfig) { c.Algorithm = algorithm }
}

// WithQueueKept keeps requests queued while the backend server is slow; the default refuses them, so that they are retried elsewhere.
func WithQueueKept() GateOption { return func(c *GateConfig) { c.KeepQueue = true } }

// WithPolicy sets the classes and tenants that the gate knows; the default knows none.
func WithPolicy(policy GatePolicy) GateOption { return func(c *GateConfig) { c.Policy = policy } }

// WithRegionCosts sets what a request to each other region costs; the default is 1 for each.
func WithRegionCosts(costs map[RegionName]int) ChooserOption {
	return func(c *ChooserConfig) { c.RegionCosts = costs }
}

// WithRegionBudget bounds the bytes a second that go to one other region; the default has no bound.
func WithRegionBudget(bytesPerSecond float64) ChooserOption {
	return func(c *ChooserConfig) { c.RegionBudget = bytesPerSecond }
}

// WithMinUsableCandidates sets the number of usable candidates below which the next tier is added; the default is 4.
func WithMinUsableCandidates(candidates int) ChooserOption {
	return func(c *ChooserConfig) { c.MinUsableCandidates = candidates }
}

// WithStragglersKept keeps stragglers among the candidates; by default they are ejected temporarily.
func WithStragglersKept() ChooserOption { return func(c *ChooserConfig) { c.EjectStragglers = false } }

// WithRetention sets how long an ended request is remembered; the default is 24 hours.
func WithRetention(d time.Duration) OnceOption { return func(c *OnceConfig) { c.Retention = d } }

// WithSkew sets how far a key's time may lie ahead of the clock; the default is 2 s.
func WithSkew(d time.Duration) OnceOption { return func(c *OnceConfig) { c.Skew = d } }

// WithNodeSkew sets the greatest difference between two members' clocks; the default is 2 s.
func WithNodeSkew(d time.Duration) OnceOption { return func(c *OnceConfig) { c.NodeSkew = d } }

// WithMaxBytes bounds the memory in bytes; the default is 16 MiB.
func WithMaxBytes(bytes int) OnceOption { return func(c *OnceConfig) { c.MaxBytes = bytes } }

// WithMaxAnswer bounds what is kept of one answer in bytes; the default is 16 KiB.
func WithMaxAnswer(bytes int) OnceOption { return func(c *OnceConfig) { c.MaxAnswer = bytes } }
