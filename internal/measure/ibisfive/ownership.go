package ibisfive

import (
	"errors"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisfleet"
	"github.com/ibisridge/ibisridge/internal/measure/ibisplacement"
)

const (
	settleLimit = time.Minute
	// restTime lets the moves after the start end before a fault.
	restTime = 10 * time.Second
	// faultTime is how long slots are watched after a fault.
	faultTime = 20 * time.Second
	// domainTime is how long a failure domain stays out, and is watched after its return.
	domainTime = time.Minute
	// returnTime is how long a returned domain's slots may go on moving after that.
	returnTime = 3 * time.Minute
	// documentDelay bounds the time until a change of the document is in force at a node.
	documentDelay = 2 * time.Second
	// firstMember keeps the members of one seed apart from those of another.
	firstMember = 1000
)

var errNotSettled = errors.New("slots without an owner before the fault")

// fault is something that befalls a fleet.
type fault struct {
	name   string
	checks bool
	strike func(f *ibisfleet.Fleet, d deployment)
}

func faults() []fault {
	kill := func(f *ibisfleet.Fleet, d deployment) { f.Kill(d.keyedNode(0)) }
	return []fault{
		{
			name:   caseNodeLost,
			checks: true,
			strike: kill,
		},
		{
			name:   caseUnchecked,
			strike: kill,
		},
		{
			name:   caseDomainLost,
			checks: true,
			strike: func(f *ibisfleet.Fleet, d deployment) { f.KillDomain(d.domain()) },
		},
		{
			name:   casePlannedStop,
			checks: true,
			strike: func(f *ibisfleet.Fleet, d deployment) { f.StartLeaving(d.keyedNode(0)) },
		},
	}
}

// ownershipJobs returns the runs under one seed on the service that is divided by key.
func (d deployment) ownershipJobs(seed uint64) []job {
	jobs := []job{
		func() ([]sample, error) { return d.placement(seed) },
		func() ([]sample, error) { return d.keyedDomain(seed) },
	}
	for _, f := range faults() {
		jobs = append(jobs, func() ([]sample, error) { return d.unavailable(f, seed) })
	}
	return jobs
}

func (d deployment) keyedSample(policy Policy, measure, event, figure string, value float64) sample {
	s := d.deskSample(policy, measure, event, figure, value)
	s.row.Service = string(d.keyed)
	return s
}

// placement measures imbalance and churn of the slots with members named by the seed.
func (d deployment) placement(seed uint64) ([]sample, error) {
	slots := uint32(1024)
	domains := len(d.places)
	first := int(d.firstSeed+seed) * firstMember
	all := ibisplacement.Members(first, first+keyedServers, domains)
	space := ibisid.SlotSpace{Service: d.keyed}
	results := map[Policy]ibisplacement.Result{
		PolicyOurs:       ibisplacement.Measure(space, slots, all, domains),
		PolicyRing:       ibisplacement.Baseline(ibisplacement.Ring).Measure(slots, all),
		PolicyRendezvous: ibisplacement.Baseline(ibisplacement.Rendezvous).Measure(slots, all),
	}
	var samples []sample
	for _, policy := range Policies {
		r, ok := results[policy]
		if !ok {
			continue
		}
		samples = append(samples,
			d.keyedSample(policy, "imbalance", caseReassigned, figureSlots, r.Worst),
			d.keyedSample(policy, "churn", "loss", "fair shares moved", r.LeaveChurn),
			d.keyedSample(policy, "churn", "join", "fair shares moved", r.JoinChurn),
		)
	}
	return samples, nil
}

// settled returns a fleet of the whole deployment at rest.
func (d deployment) settled(checks bool, seed uint64) (*ibisfleet.Fleet, error) {
	sections, err := d.sections()
	if err != nil {
		return nil, err
	}
	f, err := ibisfleet.New(d.firstSeed+seed, sections, d.servers(checks))
	if err != nil {
		return nil, err
	}
	if !f.Settle(d.keyed, settleLimit) {
		f.Close()
		return nil, errNotSettled
	}
	f.Run(restTime)
	return f, nil
}

// unavailable measures how long slots are not served after a fault.
func (d deployment) unavailable(fault fault, seed uint64) ([]sample, error) {
	f, err := d.settled(fault.checks, seed)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	fault.strike(f, d)
	o := f.Watch(d.keyed, "", faultTime)
	return []sample{
		d.keyedSample(PolicyOurs, "unavailable", fault.name, "p50, s", o.P50().Seconds()),
		d.keyedSample(PolicyOurs, "unavailable", fault.name, figureMax, o.Max().Seconds()),
		d.keyedSample(PolicyOurs, "unavailable", fault.name, "unserved after 20 s", float64(o.Unserved)),
	}, nil
}

// keyedDomain measures the keyed service while operators take a failure domain out and bring it back.
func (d deployment) keyedDomain(seed uint64) ([]sample, error) {
	f, err := d.settled(true, seed)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	before := f.Owned(d.keyed)[0]
	if err := f.SetDomain(d.domain(), true, documentDelay); err != nil {
		return nil, err
	}
	out := f.Watch(d.keyed, d.domain(), domainTime)
	if err := f.SetDomain(d.domain(), false, documentDelay); err != nil {
		return nil, err
	}
	back := f.Watch(d.keyed, "", domainTime)
	const event = caseOutAndBack
	served := d.keyedSample(PolicyOurs, "domainMove", event, figureServed, (out.Served+back.Served)/2)
	served.leastWorst = true
	soon := d.returned(f, before)
	f.Run(returnTime)
	return []sample{
		served,
		d.keyedSample(PolicyOurs, "domainMove", event, figureHeld, max(out.Max(), back.Max()).Seconds()),
		d.keyedSample(PolicyOurs, "domainMove", event, figureLastWork, out.LastWork.Seconds()),
		d.keyedSample(PolicyOurs, "domainMove", event, "slots had again after 1 min, share", soon),
		d.keyedSample(PolicyOurs, "domainMove", event, "slots had again after 4 min, share", d.returned(f, before)),
	}, nil
}

// returned returns how many slots the node in the returned domain owns again, as a share of those it owned before.
func (d deployment) returned(f *ibisfleet.Fleet, before int) float64 {
	return float64(f.Owned(d.keyed)[0]) / float64(before)
}
