package ibistrial

import (
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

// picker chooses a server for an attempt.
type picker interface {
	pick(exclude []ibisid.NodeName, now time.Time) (ibisid.NodeName, bool)
	update(event ibisbalancer.Event, now time.Time)
}

// door is a node as its callers see it.
type door struct {
	place    ibisid.Place
	picker   picker
	policy   *ibisretry.Policy
	requests map[ibisretry.RequestID]*request
}

type request struct {
	begun    time.Time
	deadline time.Time
	tried    []ibisid.NodeName
	attempts map[ibisretry.Attempt]*attempt
}

type attempt struct {
	door     *door
	request  ibisretry.RequestID
	number   ibisretry.Attempt
	id       uint64
	server   *server
	sent     time.Time
	ended    bool
	gateLoad float64
}

// chooserPicker is the project's chooser.
type chooserPicker struct {
	*ibisbalancer.Chooser
}

func (p chooserPicker) pick(exclude []ibisid.NodeName, now time.Time) (ibisid.NodeName, bool) {
	choice := p.Choose(ibisbalancer.Request{
		Class:   className,
		Exclude: exclude,
	}, now)
	return choice.Node, choice.Refusal == ibisbalancer.RefusalNone
}

func (p chooserPicker) update(event ibisbalancer.Event, now time.Time) { p.Update(event, now) }

// plainPicker is one of the usual policies without memory of latencies.
type plainPicker struct {
	policy      Policy
	random      *rand.Rand
	nodes       []ibisid.NodeName
	next        int
	outstanding map[ibisid.NodeName]int
	loads       map[ibisid.NodeName]float64
}

func (p *plainPicker) pick(_ []ibisid.NodeName, _ time.Time) (ibisid.NodeName, bool) {
	if len(p.nodes) == 0 {
		return "", false
	}
	switch p.policy {
	case PolicyRoundRobin:
		p.next++
		return p.nodes[p.next%len(p.nodes)], true
	case PolicyLeastReported:
		return p.leastReported(), true
	case PolicyTwoChoices:
		a, b := p.any(), p.any()
		if p.outstanding[b] < p.outstanding[a] {
			return b, true
		}
		return a, true
	default:
		return p.any(), true
	}
}

func (p *plainPicker) any() ibisid.NodeName { return p.nodes[p.random.IntN(len(p.nodes))] }

func (p *plainPicker) leastReported() ibisid.NodeName {
	start := p.random.IntN(len(p.nodes))
	best := p.nodes[start]
	for i := range p.nodes {
		node := p.nodes[(start+i)%len(p.nodes)]
		if p.loads[node] < p.loads[best] {
			best = node
		}
	}
	return best
}

func (p *plainPicker) update(event ibisbalancer.Event, _ time.Time) {
	switch e := event.(type) {
	case ibisbalancer.CandidatesEvent:
		p.nodes = nil
		for _, c := range e.Candidates {
			p.nodes = append(p.nodes, c.Node)
		}
	case ibisbalancer.AttemptSentEvent:
		p.outstanding[e.Node]++
	case ibisbalancer.AttemptEndEvent:
		p.outstanding[e.Node]--
	case ibisbalancer.LoadReportEvent:
		p.loads[e.Node] = e.Load
	}
}

func newPicker(s Scenario, own ibisid.Place, random *rand.Rand) picker {
	if s.Policy == PolicyChooser || s.Policy == PolicyHedged {
		return chooserPicker{
			Chooser: ibisbalancer.New(ibisbalancer.Config{
				Own:             own,
				EjectStragglers: true,
			}, random),
		}
	}
	return &plainPicker{
		policy:      s.Policy,
		random:      random,
		outstanding: make(map[ibisid.NodeName]int),
		loads:       make(map[ibisid.NodeName]float64),
	}
}
