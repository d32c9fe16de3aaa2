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

// WithTerm sets how long a witness waits for a heartbeat before it considers a lease lapsed; the default is 2.4 s.
func WithTerm(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Term = d } }

// WithHeartbeat sets the period of heartbeats; the default is 0.8 s.
func WithHeartbeat(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Heartbeat = d } }

// WithDrift sets the greatest rate error of a clock, as a fraction; the default is 0.01.
func WithDrift(fraction float64) LeaseOption { return func(t *LeaseTerms) { t.Drift = fraction } }

// WithGuard sets the time reserved between a check of the lease and the hand-over; the default is 20 ms.
func WithGuard(d time.Duration) LeaseOption { return func(t *LeaseTerms) { t.Guard = d } }

// WithMovesPerMinute sets the limit of moves per minute that balance loads; the default is 240.
func WithMovesPerMinute(moves float64) CoordinatorOption {
	return ibiscoordinator.WithMovesPerMinute(moves)
}

// WithColdStart sets the time over which the limit of a cold backend server rises to its full value; the default is
// 10 s.
func WithColdStart(d time.Duration) GateOption { return func(c *GateConfig) { c.ColdStart = d } }

// WithStartCold starts the gate with the ramp of a cold backend server; by default the server counts as warm.
func WithStartCold() GateOption { return func(c *GateConfig) { c.StartCold = true } }

// WithAlgorithm selects the algorithm that adapts the concurrency limit; the default is AlgorithmGradient.
func WithAlgorithm(algorithm LimitAlgorithm) GateOption {
	return func(c *GateConfig) { c.Algorithm = algorithm }
}

// WithQueueKept keeps requests queued while the backend server is slow; it is for a server whose keys no other server can
// serve. By default they are refused, so that they are retried elsewhere.
func WithQueueKept() GateOption { return func(c *GateConfig) { c.KeepQueue = true } }

// WithPolicy sets the limits of classes and tenants; by default there are none.
func WithPolicy(policy GatePolicy) GateOption { return func(c *GateConfig) { c.Policy = policy } }

// WithRegionCosts sets the relative cost of a request to each other region; the default is 1 for each.
func WithRegionCosts(costs map[RegionName]int) ChooserOption {
	return func(c *ChooserConfig) { c.RegionCosts = costs }
}

// WithRegionBudget sets the limit of bytes per second exchanged with one other region; by default there is no limit.
func WithRegionBudget(bytesPerSecond float64) ChooserOption {
	return func(c *ChooserConfig) { c.RegionBudget = bytesPerSecond }
}

// WithMinUsableCandidates sets the number of usable candidates below which those of the next tier are added; the default
// is 4. The tiers are the own failure domain, the own region, and the other regions by cost.
func WithMinUsableCandidates(candidates int) ChooserOption {
	return func(c *ChooserConfig) { c.MinUsableCandidates = candidates }
}

// WithStragglersKept keeps stragglers, which are far slower than the other candidates, among the candidates; by default
// they are ejected temporarily.
func WithStragglersKept() ChooserOption { return func(c *ChooserConfig) { c.EjectStragglers = false } }

// WithRetention sets how long an ended request is remembered; the default is 24 hours.
func WithRetention(d time.Duration) OnceOption { return func(c *OnceConfig) { c.Retention = d } }

// WithSkew sets how far the time in a UUID key may be ahead of the node's clock; the default is 2 s.
func WithSkew(d time.Duration) OnceOption { return func(c *OnceConfig) { c.Skew = d } }

// WithNodeSkew sets the greatest difference between two nodes' clocks; the default is 2 s.
func WithNodeSkew(d time.Duration) OnceOption { return func(c *OnceConfig) { c.NodeSkew = d } }

// WithMaxBytes sets the limit of the memory's size in bytes; the default is 16 MiB.
func WithMaxBytes(bytes int) OnceOption { return func(c *OnceConfig) { c.MaxBytes = bytes } }

// WithMaxAnswer sets the limit of the kept headers and body of one answer in bytes; the default is 16 KiB.
func WithMaxAnswer(bytes int) OnceOption { return func(c *OnceConfig) { c.MaxAnswer = bytes } }
