package ibisridge

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

type (
	// Gate decides which requests one backend server runs.
	Gate = ibisadmit.Gate
	// GateConfig is the configuration of a gate.
	GateConfig = ibisadmit.Config
	// GatePolicy holds the class and tenant policies of the operators' document.
	GatePolicy = ibisadmit.Policy
	// ClassPolicy sets the limits of one request class.
	ClassPolicy = ibisadmit.ClassPolicy
	// TenantPolicy sets the limits of one tenant.
	TenantPolicy = ibisadmit.TenantPolicy
	// GateRequestID identifies a request within one gate.
	GateRequestID = ibisadmit.RequestID
	// LimitAlgorithm is the algorithm that adapts the concurrency limit.
	LimitAlgorithm = ibisadmit.LimitAlgorithm
	// GateReason is the cause of a refusal.
	GateReason = ibisadmit.Reason
	// GateTypicalLatency is what a gate has learnt of the time to the head of one class's answers.
	GateTypicalLatency = ibisadmit.TypicalLatency
	// GateReport is the typical latency of a class as another gate of the service reports it.
	GateReport = ibisadmit.Report
)

const (
	// GateTickPeriod is the longest permitted time between two GateTickEvents.
	GateTickPeriod = ibisadmit.TickPeriod
	// AlgorithmGradient scales the limit by the ratio of tolerated to observed latency.
	AlgorithmGradient = ibisadmit.AlgorithmGradient
	// AlgorithmAIMD raises the limit by one after as many finished requests as the limit, and reduces it by a fraction while
	// latency is above twice the usual one.
	AlgorithmAIMD = ibisadmit.AlgorithmAIMD
	// AlgorithmFixed keeps the limit at the number of requests that the backend server can run at once.
	AlgorithmFixed = ibisadmit.AlgorithmFixed
	// GateReasonRate means that the tenant is above its rate.
	GateReasonRate = ibisadmit.ReasonRate
	// GateReasonQueueFull means that the queue is full and the tenant holds its share of it.
	GateReasonQueueFull = ibisadmit.ReasonQueueFull
	// GateReasonDeadline means that the request could not finish before its deadline.
	GateReasonDeadline = ibisadmit.ReasonDeadline
	// GateReasonSlow means that the backend server answers far slower than usual and others may be faster.
	GateReasonSlow = ibisadmit.ReasonSlow
	// GateReasonDraining means that the backend server is being drained.
	GateReasonDraining = ibisadmit.ReasonDraining
	// GateReasonDomainOut means that operators took the failure domain out of service.
	GateReasonDomainOut = ibisadmit.ReasonDomainOut
)

// NewGate returns the gate of a backend server that accepts the given numbers of concurrent requests and connections. The
// slots of a gate count concurrent requests; they are not the slots to which keys hash.
func NewGate(slots, connections int, now time.Time, options ...GateOption) *Gate {
	config := GateConfig{
		Slots:       slots,
		Connections: connections,
	}
	for _, option := range options {
		option(&config)
	}
	return ibisadmit.New(config, now)
}
