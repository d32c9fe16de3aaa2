package ibisfive

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibistrial"
)

const (
	domainLoad  = 0.7
	spellLength = 500 * time.Millisecond
)

// choicePolicies are the columns of the trials of choice.
var choicePolicies = map[Policy]ibistrial.Policy{
	PolicyOurs:          ibistrial.PolicyHedged,
	PolicyUnhedged:      ibistrial.PolicyChooser,
	PolicyRoundRobin:    ibistrial.PolicyRoundRobin,
	PolicyRandom:        ibistrial.PolicyRandom,
	PolicyLeastReported: ibistrial.PolicyLeastReported,
	PolicyTwoChoices:    ibistrial.PolicyTwoChoices,
}

// choiceJobs returns the trials of one policy under one seed on the service that is not divided by key.
func (d deployment) choiceJobs(policy Policy, seed uint64) []job {
	return []job{
		func() ([]sample, error) { return d.steadyAndStragglers(policy, seed), nil },
		func() ([]sample, error) { return d.deskDomain(policy, seed), nil },
	}
}

func (d deployment) scenario(policy Policy, seed uint64) ibistrial.Scenario {
	s := ibistrial.Base(choicePolicies[policy])
	s.Places = d.deskPlaces()
	s.Seed = d.firstSeed + seed
	return s
}

func (d deployment) deskSample(policy Policy, measure, event, figure string, value float64) sample {
	return sample{
		row: Row{
			Deployment: d.name,
			Measure:    measure,
			Service:    string(d.desk),
			Case:       event,
			Figure:     figure,
		},
		policy: policy,
		value:  value,
	}
}

// steadyAndStragglers measures imbalance without faults, and latencies with one or two servers slow each second.
func (d deployment) steadyAndStragglers(policy Policy, seed uint64) []sample {
	steady := ibistrial.Run(d.scenario(policy, seed))
	slow := d.scenario(policy, seed)
	slow.Spells = spellLength
	slow.Liars = 1
	r := ibistrial.Run(slow)
	const event = caseStragglers
	served := d.deskSample(policy, "tailLatency", event, figureServed, share(r))
	served.leastWorst = true
	return []sample{
		d.deskSample(policy, "imbalance", "steady", "requests, max/mean", steady.Imbalance),
		d.deskSample(policy, "tailLatency", "steady", "p99, ms", millis(steady.P99)),
		d.deskSample(policy, "tailLatency", event, "p99, ms", millis(r.P99)),
		d.deskSample(policy, "tailLatency", event, "p99.9, ms", millis(r.P999)),
		d.deskSample(policy, "tailLatency", event, figureRatio, float64(r.P99)/float64(steady.P99)),
		served,
	}
}

// deskDomain measures service while a failure domain leaves and returns.
func (d deployment) deskDomain(policy Policy, seed uint64) []sample {
	s := d.scenario(policy, seed)
	s.Load = domainLoad
	s.OutDomain = d.domain()
	r := ibistrial.Run(s)
	const event = caseOutAndBack
	served := d.deskSample(policy, "domainMove", event, figureServed, share(r))
	served.leastWorst = true
	return []sample{
		served,
		d.deskSample(policy, "domainMove", event, "p99, ms", millis(r.P99)),
	}
}

func share(r ibistrial.Result) float64 { return float64(r.Done) / float64(r.Requests) }

func millis(d time.Duration) float64 { return d.Seconds() * 1e3 }
