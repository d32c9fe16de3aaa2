package ibisfive

import (
	"cmp"
	"slices"
)

// Policy names a column of the table.
type Policy string

const (
	// PolicyOurs is the project's choice with hedges, or its placement.
	PolicyOurs Policy = "ours"
	// PolicyUnhedged is the project's choice without hedges, as for non-idempotent requests.
	PolicyUnhedged Policy = "oursUnhedged"
	// PolicyRoundRobin takes the servers in turn.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyRandom takes any server.
	PolicyRandom Policy = "random"
	// PolicyLeastReported takes the server that reports the least load.
	PolicyLeastReported Policy = "leastReported"
	// PolicyTwoChoices takes the one of two random servers with fewer own requests under way.
	PolicyTwoChoices Policy = "twoChoices"
	// PolicyRing is a consistent hashing ring.
	PolicyRing Policy = "ring"
	// PolicyRendezvous is rendezvous hashing without bounds.
	PolicyRendezvous Policy = "rendezvous"
)

// Policies lists the columns in order.
var Policies = []Policy{
	PolicyOurs, PolicyUnhedged, PolicyRoundRobin, PolicyRandom, PolicyLeastReported, PolicyTwoChoices, PolicyRing, PolicyRendezvous,
}

// Measures lists the five measures in order.
var Measures = []string{"imbalance", "churn", "unavailable", "domainMove", "tailLatency"}

// Value is a figure over the seeds.
type Value struct {
	// Mean is the mean over the seeds.
	Mean float64 `json:"mean"`
	// Worst is the greatest, or for shares served the least, of any seed.
	Worst float64 `json:"worst"`
}

// Row is one figure of one case, by policy.
type Row struct {
	// Deployment is the name of the deployment.
	Deployment string `json:"deployment"`
	// Measure is one of Measures.
	Measure string `json:"measure"`
	// Service is the service that was measured.
	Service string `json:"service"`
	// Case is what happened.
	Case string `json:"case"`
	// Figure names the figure with its unit.
	Figure string `json:"figure"`
	// Values are the figures by policy.
	Values map[Policy]Value `json:"values"`
	// Target is the stated bound on the project's own policy, zero where none is.
	Target float64 `json:"target,omitempty"`
	// Missed reports that the worst seed of the project's own policy was above the target.
	Missed bool `json:"missed,omitempty"`
}

// sample is one figure of one policy under one seed.
type sample struct {
	row        Row
	policy     Policy
	value      float64
	leastWorst bool
}

// collect gathers samples into rows, in the order of the samples.
func collect(samples []sample) []Row {
	type key struct{ deployment, measure, service, event, figure string }
	at := map[key]int{}
	counts := map[key]map[Policy]int{}
	var rows []Row
	for _, s := range samples {
		k := key{
			deployment: s.row.Deployment,
			measure:    s.row.Measure,
			service:    s.row.Service,
			event:      s.row.Case,
			figure:     s.row.Figure,
		}
		if _, ok := at[k]; !ok {
			at[k] = len(rows)
			counts[k] = map[Policy]int{}
			s.row.Values = map[Policy]Value{}
			rows = append(rows, s.row)
		}
		values := rows[at[k]].Values
		counts[k][s.policy]++
		values[s.policy] = s.add(values[s.policy], counts[k][s.policy])
	}
	for i := range rows {
		rows[i].aim()
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Compare(slices.Index(Measures, a.Measure), slices.Index(Measures, b.Measure))
	})
	return rows
}

// add returns the value with this sample as the n-th.
func (s sample) add(v Value, n int) Value {
	if n == 1 {
		return Value{
			Mean:  s.value,
			Worst: s.value,
		}
	}
	v.Mean += (s.value - v.Mean) / float64(n)
	if s.leastWorst {
		v.Worst = min(v.Worst, s.value)
	} else {
		v.Worst = max(v.Worst, s.value)
	}
	return v
}
