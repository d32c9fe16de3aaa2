package ibisridge

import (
	"math/rand/v2"

	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

type (
	// Chooser picks candidates for the requests of one service at one node.
	Chooser = ibisbalancer.Chooser
	// ChooserConfig is the configuration of a chooser.
	ChooserConfig = ibisbalancer.Config
	// ChoiceCandidate is a backend server that the chooser may pick.
	ChoiceCandidate = ibisbalancer.Candidate
	// ChoiceRequest holds the properties of a request that a choice depends on.
	ChoiceRequest = ibisbalancer.Request
	// ChoiceAttemptID identifies an attempt within one chooser.
	ChoiceAttemptID = ibisbalancer.AttemptID
	// Choice is a picked candidate or a refusal, which is always "not run".
	Choice = ibisbalancer.Choice
	// ChoiceRefusal is the reason that no candidate was picked.
	ChoiceRefusal = ibisbalancer.Refusal
	// ChoiceResult is the result of an attempt.
	ChoiceResult = ibisbalancer.Result
	// HomeDecision reports whether a node may serve a tenant's requests.
	HomeDecision = ibisbalancer.HomeDecision
	// RegionBytes is the number of bytes exchanged with another region.
	RegionBytes = ibisbalancer.RegionBytes
)

const (
	// MaxPeers is the maximum number of candidates that a node keeps for one service.
	MaxPeers = ibisbalancer.MaxPeers
	// ChoiceMade means that a candidate was picked.
	ChoiceMade = ibisbalancer.RefusalNone
	// ChoiceRefusedHome means that no candidate is in a home region of the tenant.
	ChoiceRefusedHome = ibisbalancer.RefusalHome
	// ChoiceRefusedBusy means that every candidate is saturated, in back-off or ejected.
	ChoiceRefusedBusy = ibisbalancer.RefusalBusy
	// ChoiceRefusedBudget means that only other regions have free capacity and the byte budget for them is used up.
	ChoiceRefusedBudget = ibisbalancer.RefusalBudget
	// ChoiceResultDone means that the server answered.
	ChoiceResultDone = ibisbalancer.ResultDone
	// ChoiceResultRefused means that the gate answered "not run".
	ChoiceResultRefused = ibisbalancer.ResultRefused
	// ChoiceResultFailed means that the connection broke or the server failed.
	ChoiceResultFailed = ibisbalancer.ResultFailed
	// ChoiceResultCancelled means that the attempt was cancelled; its age still counts as observed latency.
	ChoiceResultCancelled = ibisbalancer.ResultCancelled
)

// NewChooser returns a chooser without candidates for a node at the given place; random is its only source of
// randomness.
func NewChooser(own Place, random *rand.Rand, options ...ChooserOption) *Chooser {
	return ibisbalancer.New(chooserConfig(own, options), random)
}

// SelectPeers returns at most limit candidates that a node at the given place should keep, most of them near.
func SelectPeers(
	own Place,
	self NodeName,
	all []ChoiceCandidate,
	limit int,
	options ...ChooserOption,
) []ChoiceCandidate {
	return ibisbalancer.SelectPeers(chooserConfig(own, options), self, all, limit)
}

// CheckHome decides whether a node at the given place may serve a tenant with the given home regions.
func CheckHome(own Place, homes []RegionName, options ...ChooserOption) HomeDecision {
	return ibisbalancer.CheckHome(chooserConfig(own, options), homes)
}

func chooserConfig(own Place, options []ChooserOption) ChooserConfig {
	config := ChooserConfig{
		Own:             own,
		EjectStragglers: true,
	}
	for _, option := range options {
		option(&config)
	}
	return config
}
