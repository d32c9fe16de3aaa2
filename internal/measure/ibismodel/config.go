package ibismodel

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisduration"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Config is one deployment, its load and what goes wrong.
type Config struct {
	// Fleet says where instances stand.
	Fleet Fleet `json:"fleet"`
	// Services lists the services.
	Services []Service `json:"services"`
	// Classes lists the kinds of requests.
	Classes []Class `json:"classes"`
	// Surges raise or lower the load for a time.
	Surges []Surge `json:"surges,omitempty"`
	// Keys says which keys are busy.
	Keys Keys `json:"keys"`
	// Callers says how callers behave.
	Callers Callers `json:"callers"`
	// Faults is what goes wrong.
	Faults []Fault `json:"faults,omitempty"`
	// Duration is how long callers send requests.
	Duration ibisduration.Duration `json:"duration"`
	// Warmup is how long figures are not counted at the start.
	Warmup ibisduration.Duration `json:"warmup"`
}

// Fleet says where instances stand; those of a service are spread evenly over all failure domains.
type Fleet struct {
	// Regions is the number of regions.
	Regions int `json:"regions"`
	// DomainsPerRegion is the number of failure domains in each.
	DomainsPerRegion int `json:"domainsPerRegion"`
	// DomainDelay is the one-way delay between failure domains of a region.
	DomainDelay ibisduration.Duration `json:"domainDelay"`
	// RegionDelay is the one-way delay between regions.
	RegionDelay ibisduration.Duration `json:"regionDelay"`
	// CallerDelay is the one-way delay between a caller and its node.
	CallerDelay ibisduration.Duration `json:"callerDelay"`
	// MegabitsPerSecond is the rate of an instance's link, for the transfer of answers; zero for no bound.
	MegabitsPerSecond float64 `json:"megabitsPerSecond,omitempty"`
}

// Service is backend servers of one kind, each with a node beside it.
type Service struct {
	// Name is the service.
	Name ibisid.ServiceName `json:"name"`
	// Servers is the number of backend servers.
	Servers int `json:"servers"`
	// Slots is the number of requests that a server runs at once.
	Slots int `json:"slots"`
	// Queue is the number of requests that a server itself lets wait for a slot.
	Queue int `json:"queue"`
	// Keyed says that each key has one owner, which alone runs its requests.
	Keyed bool `json:"keyed,omitempty"`
	// SpeedSpread is the greatest share by which a server is faster or slower than usual.
	SpeedSpread float64 `json:"speedSpread,omitempty"`
	// SlowNearFull is the share by which work takes longer with every slot in use; it grows from half of the slots on.
	SlowNearFull float64 `json:"slowNearFull,omitempty"`
	// NoiseEvery is the mean time between two spells in which neighbours slow a server; zero for none.
	NoiseEvery ibisduration.Duration `json:"noiseEvery,omitzero"`
	// NoiseFor is how long such a spell lasts.
	NoiseFor ibisduration.Duration `json:"noiseFor,omitzero"`
	// NoiseFactor is how much longer work takes that begins in one.
	NoiseFactor float64 `json:"noiseFactor,omitempty"`
	// ColdFor is how long a server is cold after a start, and ColdFactor how much longer its work takes then.
	ColdFor ibisduration.Duration `json:"coldFor,omitzero"`
	// ColdFactor is how much longer the work of a cold server takes.
	ColdFactor float64 `json:"coldFactor,omitempty"`
	// ColdPerSecond is the number of requests in any second that a cold server bears; it crashes at twice that.
	ColdPerSecond int `json:"coldPerSecond,omitempty"`
}

// Class is a kind of request.
type Class struct {
	// Name is the class.
	Name ibisid.ClassName `json:"name"`
	// Service is where it runs.
	Service ibisid.ServiceName `json:"service"`
	// Priority is its rank, 0 for the most urgent.
	Priority int `json:"priority"`
	// PerSecond is the number of requests a second of all callers; zero for calls of other classes.
	PerSecond float64 `json:"perSecond,omitempty"`
	// Work is the mean time at a warm, idle server of usual speed.
	Work ibisduration.Duration `json:"work"`
	// Target is the time from a caller's first attempt in which an answer is worth most.
	Target ibisduration.Duration `json:"target"`
	// Deadline is how long a caller waits in all.
	Deadline ibisduration.Duration `json:"deadline"`
	// Worth is what an answer within the target is worth, and Late what a later one is.
	Worth float64 `json:"worth"`
	// Late is the worth of an answer after the target.
	Late float64 `json:"late"`
	// Retries is how often a caller asks again.
	Retries int `json:"retries"`
	// Repeatable says that running a request twice does no harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// MaxAttempts is the number of backend servers that one attempt of a caller may reach; zero means 2.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// AnswerBytes is the size of an answer.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// Calls is the class of a call that the server makes while it runs a request, and CallShare the share of requests that
	// make one.
	Calls ibisid.ClassName `json:"calls,omitempty"`
	// CallShare is the share of requests that make the call; zero means all.
	CallShare float64 `json:"callShare,omitempty"`
}

// Surge multiplies the load for a time.
type Surge struct {
	// At is when it begins.
	At ibisduration.Duration `json:"at"`
	// For is how long it lasts.
	For ibisduration.Duration `json:"for"`
	// Factor multiplies the rate.
	Factor float64 `json:"factor"`
	// Class is the class concerned, empty for all.
	Class ibisid.ClassName `json:"class,omitempty"`
	// Region is the number of the region whose callers are concerned, counted from 1; zero for all.
	Region int `json:"region,omitempty"`
}

// Keys says which keys are busy.
type Keys struct {
	// HotShare is the share of requests whose keys are hot.
	HotShare float64 `json:"hotShare,omitempty"`
	// HotWidth is the share of all keys that is hot.
	HotWidth float64 `json:"hotWidth,omitempty"`
	// MoveEvery is how often other keys become hot; zero for never.
	MoveEvery ibisduration.Duration `json:"moveEvery,omitzero"`
}

// Callers says how callers behave.
type Callers struct {
	// Impatient is the share of callers that don't heed a time to come back and ask again at once.
	Impatient float64 `json:"impatient,omitempty"`
	// DeadlineSpread is the greatest share by which a caller's deadline is shorter than its class's.
	DeadlineSpread float64 `json:"deadlineSpread,omitempty"`
	// GiveUp is the share of callers that leave after half of their deadline.
	GiveUp float64 `json:"giveUp,omitempty"`
}

// FaultKind is a kind of fault.
type FaultKind string

const (
	// FaultSlow makes servers' work take longer.
	FaultSlow FaultKind = "slow"
	// FaultCrash ends servers; they come back cold.
	FaultCrash FaultKind = "crash"
	// FaultCold turns servers cold.
	FaultCold FaultKind = "cold"
	// FaultGrey makes servers fail a part of their requests.
	FaultGrey FaultKind = "grey"
	// FaultRegion makes a region unreachable, its callers included.
	FaultRegion FaultKind = "region"
	// FaultLying makes servers report that they are idle.
	FaultLying FaultKind = "lying"
)

// Fault is something that goes wrong.
type Fault struct {
	// Kind is what goes wrong.
	Kind FaultKind `json:"kind"`
	// At is when it begins.
	At ibisduration.Duration `json:"at"`
	// For is how long it lasts.
	For ibisduration.Duration `json:"for"`
	// Service is the service concerned, empty for all.
	Service ibisid.ServiceName `json:"service,omitempty"`
	// Share is the share of its servers that is hit.
	Share float64 `json:"share,omitempty"`
	// Factor is how much longer work takes, or the share of requests that fail.
	Factor float64 `json:"factor,omitempty"`
	// Region is the number of the region, counted from 1.
	Region int `json:"region,omitempty"`
}

// Policy is how requests are placed and admitted.
type Policy string

const (
	// PolicyRelay is what the relay does.
	PolicyRelay Policy = "relay"
	// PolicyNoAdmission chooses as the relay does and admits everything.
	PolicyNoAdmission Policy = "noAdmission"
	// PolicyRoundRobin takes servers in turn.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyLeastLoaded takes the server that reported the least load.
	PolicyLeastLoaded Policy = "leastLoaded"
	// PolicyTwoChoices draws two servers and takes the one that has fewer requests of this node.
	PolicyTwoChoices Policy = "twoChoices"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{PolicyRelay, PolicyNoAdmission, PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices}
}
