package ibisexperiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/measure/ibismodel"
)

// Experiment is a model, and the policies and seeds to run it with.
type Experiment struct {
	// Name names the experiment in reports.
	Name string `json:"name"`
	// About says which load pattern it holds.
	About string `json:"about"`
	// Model is the deployment, its load and its faults.
	Model ibismodel.Config `json:"model"`
	// Policies lists the policies to compare; empty for all.
	Policies []ibismodel.Policy `json:"policies,omitempty"`
	// Seeds lists the seeds; empty for 1, 2 and 3.
	Seeds []uint64 `json:"seeds,omitempty"`
}

// Read reads and checks a file; the error names every field that can't be used, and what is allowed.
func Read(file string) (Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment: %w", err)
	}
	e, err := Parse(text)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", file, err)
	}
	return e, nil
}

// Parse reads and checks an experiment.
func Parse(text []byte) (Experiment, error) {
	var e Experiment
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Experiment{}, err
	}
	if len(e.Policies) == 0 {
		e.Policies = ibismodel.Policies()
	}
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1, 2, 3}
	}
	var faults []error
	if e.Name == "" {
		faults = append(faults, errors.New("name: must not be empty"))
	}
	for _, p := range e.Policies {
		if !slices.Contains(ibismodel.Policies(), p) {
			faults = append(faults, fmt.Errorf("policies %q: must be one of %v", p, ibismodel.Policies()))
		}
	}
	return e, errors.Join(append(faults, e.Model.Validate())...)
}

// Row is what a policy reached, as the mean over the seeds.
type Row struct {
	// Policy is the policy.
	Policy ibismodel.Policy
	// Results lists the runs in the order of the seeds.
	Results []ibismodel.Result
}

// Mean returns the mean of a figure over the seeds.
func (r Row) Mean(figure func(ibismodel.Result) float64) float64 {
	sum := 0.0
	for _, result := range r.Results {
		sum += figure(result)
	}
	return sum / float64(len(r.Results))
}

// Run runs every policy with every seed, several at once; it fails where the context ends first.
func (e Experiment) Run(ctx context.Context) ([]Row, error) {
	rows := make([]Row, len(e.Policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, policy := range e.Policies {
		rows[i] = Row{
			Policy:  policy,
			Results: make([]ibismodel.Result, len(e.Seeds)),
		}
		for j, seed := range e.Seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				rows[i].Results[j] = ibismodel.Run(e.Model, policy, seed)
				return nil
			})
		}
	}
	return rows, group.Wait()
}
