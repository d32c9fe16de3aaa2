package ibisfive

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Seeds is the number of seeds of each figure by default.
const Seeds = 3

// Table is the table of the five measures.
type Table struct {
	// Seeds is the number of seeds of each figure.
	Seeds int `json:"seeds"`
	// Rows are the figures in order of measure.
	Rows []Row `json:"rows"`
}

// job is one run under one seed.
type job func() ([]sample, error)

// Run measures both deployments under that many seeds; it fails where a fleet does not come to rest.
func Run(ctx context.Context, seeds int) (Table, error) {
	jobs := allJobs(seeds)
	results := make([][]sample, len(jobs))
	group, running := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for i, run := range jobs {
		group.Go(func() (err error) {
			if running.Err() == nil {
				results[i], err = run()
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Table{}, err
	}
	var samples []sample
	for _, r := range results {
		samples = append(samples, r...)
	}
	return Table{
		Seeds: seeds,
		Rows:  collect(samples),
	}, ctx.Err()
}

func allJobs(seeds int) []job {
	var jobs []job
	for _, d := range deployments() {
		for seed := range uint64(seeds) {
			for _, policy := range Policies {
				if _, ok := choicePolicies[policy]; ok {
					jobs = append(jobs, d.choiceJobs(policy, seed)...)
				}
			}
			jobs = append(jobs, d.ownershipJobs(seed)...)
		}
	}
	return jobs
}

// Print writes the table, each figure as its mean over the seeds, with the worst in brackets where that differs.
func (t Table) Print(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"measure", "deployment", "service", "case", "figure", "target"}
	for _, p := range Policies {
		header = append(header, string(p))
	}
	fmt.Fprintln(tab, strings.Join(header, "\t"))
	for _, row := range t.Rows {
		cells := []string{row.Measure, row.Deployment, row.Service, row.Case, row.Figure, row.target()}
		for _, p := range Policies {
			cells = append(cells, row.cell(p))
		}
		fmt.Fprintln(tab, strings.Join(cells, "\t"))
	}
	return tab.Flush()
}

func (r Row) target() string {
	switch {
	case r.Target == 0:
		return "-"
	case r.Missed:
		return "MISSED " + format(r.Target)
	}
	return "met " + format(r.Target)
}

func (r Row) cell(p Policy) string {
	v, ok := r.Values[p]
	if !ok {
		return "-"
	}
	mean, worst := format(v.Mean), format(v.Worst)
	if mean == worst {
		return mean
	}
	return mean + " (" + worst + ")"
}

func format(v float64) string {
	if v >= 10 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

// JSON writes the table as JSON.
func (t Table) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}
