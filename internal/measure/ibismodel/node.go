package ibismodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// node is an instance: the door that takes callers' requests, the gate and the backend server.
type node struct {
	name       ibisid.NodeName
	place      ibisid.Place
	region     int
	service    *service
	server     *server
	gate       *ibisadmit.Gate
	calls      *ibiscalls.Tracker
	waiting    map[ibisadmit.RequestID]*attempt
	choosers   map[ibisid.ServiceName]*ibisbalancer.Chooser
	sent       map[ibisid.NodeName]int
	turn       int
	budget     *ibisretrypolicy.Budget
	callerAges *ibisretrypolicy.CallerAges
	random     *rand.Rand
	reachable  bool
	// listed says that other nodes know the server as one that takes work.
	listed bool
}

// service is the nodes of one service, and who owns which keys.
type service struct {
	config  *Service
	nodes   []*node
	policy  ibisadmit.Policy
	stripes []*node
}

// stripesPerOwner is how many spans of keys one owner has, as the relay divides them at first.
const stripesPerOwner = 8

// keySpace is the number of keys.
const keySpace = 1 << 16

// divide gives every span of keys to the next listed node after its first owner.
func (s *service) divide() {
	if !s.config.Keyed {
		return
	}
	if s.stripes == nil {
		s.stripes = make([]*node, stripesPerOwner*len(s.nodes))
	}
	for i := range s.stripes {
		for j := range s.nodes {
			if n := s.nodes[(i+j)%len(s.nodes)]; n.listed {
				s.stripes[i] = n
				break
			}
		}
	}
}

func (s *service) owner(key int) *node { return s.stripes[key*len(s.stripes)/keySpace] }

// renew gives the node a new gate, as for a new incarnation of its server.
func (n *node) renew(policy Policy, now time.Time) {
	if policy != PolicyRelay {
		return
	}
	n.gate = ibisadmit.New(ibisadmission.GateConfig(n.service.config.Slots, 0, n.service.config.Keyed, n.service.policy), now)
	n.waiting = make(map[ibisadmit.RequestID]*attempt)
	n.calls = ibiscalls.New(now)
}

// tellCold tells the gate that its server is cold.
func (n *node) tellCold(now time.Time) {
	if n.gate != nil && n.server.config.ColdPerSecond > 0 {
		n.gate.Update(ibisadmit.ColdEvent{
			RequestsPerSecond: ibisadmission.ColdRate(float64(n.server.config.ColdPerSecond)),
			Duration:          n.server.coldTo.Sub(now),
		}, now)
	}
}

// list gives every chooser of the node its candidates.
func (n *node) list(services []*service, now time.Time) {
	for _, s := range services {
		chooser := n.choosers[s.config.Name]
		if chooser == nil {
			chooser = ibisbalancer.New(ibisdispatch.ChooserConfig(n.place), n.random)
			n.choosers[s.config.Name] = chooser
		}
		var candidates []ibisbalancer.Candidate
		for _, other := range s.nodes {
			if other.listed {
				candidates = append(candidates, ibisdispatch.Candidate(other.name, other.place, s.config.Slots))
			}
		}
		chooser.Update(ibisbalancer.CandidatesEvent{
			Candidates: ibisbalancer.SelectSubset(n.name, n.place, candidates),
		}, now)
	}
}

// pick chooses where a request goes next by the policy; nil where nobody takes it, with a time to come back.
func (w *world) pick(r *request) (*node, time.Duration) {
	n, s := r.origin, w.services[r.class.Service]
	if s.config.Keyed {
		owner := s.owner(r.key)
		if owner == nil || !owner.listed || slices.Contains(r.tried, owner.name) {
			return nil, ibisretrypolicy.DefaultRetryAfter
		}
		return owner, 0
	}
	switch w.policy {
	case PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices:
		return n.pickBaseline(w.policy, s, r.tried), ibisretrypolicy.DefaultRetryAfter
	case PolicyRelay, PolicyNoAdmission:
	}
	choice := n.choosers[s.config.Name].Choose(ibisbalancer.Request{
		Class:   r.class.Name,
		Exclude: r.tried,
	}, w.Now())
	if choice.Refusal != ibisbalancer.RefusalNone {
		return nil, max(choice.RetryAfter, ibisretrypolicy.DefaultRetryAfter)
	}
	return w.byName[choice.Node], 0
}

func (n *node) pickBaseline(policy Policy, s *service, tried []ibisid.NodeName) *node {
	var usable []*node
	for _, other := range s.nodes {
		if other.listed && !slices.Contains(tried, other.name) {
			usable = append(usable, other)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	n.turn++
	switch policy {
	case PolicyLeastLoaded:
		// Ties go to the next in turn, as all reports of idle servers are alike.
		first := n.turn % len(usable)
		best := usable[first]
		for i := range usable {
			if other := usable[(first+i)%len(usable)]; other.server.reported < best.server.reported {
				best = other
			}
		}
		return best
	case PolicyTwoChoices:
		a, b := usable[n.random.IntN(len(usable))], usable[n.random.IntN(len(usable))]
		if n.sent[b.name] < n.sent[a.name] {
			return b
		}
		return a
	case PolicyRoundRobin, PolicyRelay, PolicyNoAdmission:
	}
	return usable[n.turn%len(usable)]
}
