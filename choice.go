package ibisridge

import (
	"math/rand/v2"

	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

type (
	// Chooser picks candidates for the requests of one service at one node.
	Chooser = ibisbalancer.Chooser
	// ChooserConfig is what a chooser knows of its own node.
	ChooserConfig = ibisbalancer.Config
	// ChoiceCandidate is a backend server that the chooser may pick.
	ChoiceCandidate = ibisbalancer.Candidate
	// ChoiceRequest is what the chooser needs to know of a request.
	ChoiceRequest = ibisbalancer.Request
	// ChoiceRequestID numbers one attempt at one chooser.
	ChoiceRequestID = ibisbalancer.RequestID
	// Choice is a picked candidate or a refusal, which is always "not run".
	Choice = ibisbalancer.Choice
	// ChoiceRefusal says why no candidate was picked.
	ChoiceRefusal = ibisbalancer.Refusal
	// ChoiceResult is how an attempt ended.
	ChoiceResult = ibisbalancer.Result
	// HomeAnswer says whether a node may serve a tenant's requests.
	HomeAnswer = ibisbalancer.HomeAnswer
	// RegionBytes is the number of bytes exchanged with another region.
	RegionBytes = ibisbalancer.RegionBytes
)

const (
	// MaxPeers is the number of candidates that a node keeps for one service.
	MaxPeers = ibisbalancer.MaxPeers
	// ChoiceMade means that a candidate was picked.
	ChoiceMade = ibisbalancer.RefusalNone
	// ChoiceRefusedHome means that no candidate stands in a home region.
	ChoiceRefusedHome = ibisbalancer.RefusalHome
	// ChoiceRefusedBusy means that each candidate is saturated, backs off or is set aside.
	ChoiceRefusedBusy = ibisbalancer.RefusalBusy
	// ChoiceRefusedBudget means that only other regions have room and the budget of bytes to them is spent.
	ChoiceRefusedBudget = ibisbalancer.RefusalBudget
	// ChoiceResultDone means that the server answered.
	ChoiceResultDone = ibisbalancer.ResultDone
	// ChoiceResultRefused means that the gate answered "not run".
	ChoiceResultRefused = ibisbalancer.ResultRefused
	// ChoiceResultFailed means that the connection broke or the server failed.
	ChoiceResultFailed = ibisbalancer.ResultFailed
	// ChoiceResultCancelled means that the caller took the attempt back; its age still counts as latency seen.
	ChoiceResultCancelled = ibisbalancer.ResultCancelled
)

// NewChooser returns a chooser at the place, without candidates; it draws from the given source only.
func NewChooser(own Place, random *rand.Rand, options ...ChooserOption) *Chooser {
	return ibisbalancer.New(chooserConfig(own, options), random)
}

// ChoosePeers returns at most limit candidates that a member at the place should keep, most of them near.
func ChoosePeers(own Place, self NodeName, all []ChoiceCandidate, limit int, options ...ChooserOption) []ChoiceCandidate {
	return ibisbalancer.Peers(chooserConfig(own, options), self, all, limit)
}

// CheckHome decides whether a member at the place may serve a tenant with the home regions.
func CheckHome(own Place, homes []RegionName, options ...ChooserOption) HomeAnswer {
	return ibisbalancer.CheckHome(chooserConfig(own, options), homes)
}

func chooserConfig(own Place, options []ChooserOption) ChooserConfig {
	config := ChooserConfig{
		Own:   own,
		Aside: true,
	}
	for _, option := range options {
		option(&config)
	}
	return config
}
