package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// TickPeriod is the longest time that an owner may leave between two TickEvents.
	TickPeriod = 20 * time.Millisecond

	defaultColdStart   = 10 * time.Second
	defaultQueueLength = 32
)

// LimitAlgorithm names the algorithm that adapts the concurrency limit to latency.
type LimitAlgorithm string

const (
	// AlgorithmGradient scales the limit by the ratio of tolerated to observed latency.
	AlgorithmGradient LimitAlgorithm = "gradient"
	// AlgorithmAIMD adds one slot per round, a round being as many finished requests as the limit. While latency is above
	// twice the usual one, it multiplies the limit by 0.9 instead, at most once per TickPeriod.
	AlgorithmAIMD LimitAlgorithm = "aimd"
	// AlgorithmFixed keeps the limit at Config.Slots.
	AlgorithmFixed LimitAlgorithm = "fixed"
)

// Config describes the backend server of a gate and how the gate treats it.
type Config struct {
	// Slots is the number of requests that the server can run at once.
	Slots int
	// Connections is the number of connections that the server accepts at once.
	Connections int
	// ColdStart is the time over which the limit of a cold server ramps up to Slots; zero means 10 seconds.
	ColdStart time.Duration
	// StartCold makes the gate start with a ramp, for a server that is cold when the gate is created.
	StartCold bool
	// EarlierAdmissionsUntil is the latest time at which an earlier gate of the server may have admitted requests, zero if there was no
	// such gate. Since their number is unknown, a cold server gets no requests for a second from then on.
	EarlierAdmissionsUntil time.Time
	// Algorithm selects the algorithm that adapts the limit; empty means AlgorithmGradient.
	Algorithm LimitAlgorithm
	// KeepQueue keeps requests in the queue while the server is slow, for a server whose keys no other server can serve.
	KeepQueue bool
	// Policy is the part of the operators' document that applies to the gate.
	Policy Policy
}

// Policy lists the classes and tenants that the operators' document names.
type Policy struct {
	// Classes lists the request classes.
	Classes map[ibisid.ClassName]ClassPolicy
	// Tenants lists the tenants.
	Tenants map[ibisid.TenantName]TenantPolicy
}

// ClassPolicy bounds one request class.
type ClassPolicy struct {
	// Priority orders the queues; the queue with the greater priority is served first.
	Priority int
	// Share is the largest fraction of the limit that the class may use; zero means 1.
	Share float64
	// QueueLength is the number of requests that may wait in each of the class's two queues; zero means 32.
	QueueLength int
}

// TenantPolicy bounds one tenant.
type TenantPolicy struct {
	// Weight is the tenant's weight in fair queueing; zero means 1.
	Weight int
	// Rate is the number of requests per second that the tenant may send; zero means no limit.
	Rate float64
}

func (c ClassPolicy) queueLength() int {
	if c.QueueLength <= 0 {
		return defaultQueueLength
	}
	return c.QueueLength
}

func (t TenantPolicy) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return float64(t.Weight)
}
