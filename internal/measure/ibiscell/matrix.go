package ibiscell

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Selection says which cells are run.
type Selection struct {
	// Flows names the flows; none stands for all.
	Flows []string
	// Faults names the faults; none stands for all.
	Faults []string
	// Pairs is how many pairs of faults are drawn for the whole matrix; a negative number stands for every pair.
	Pairs int
	// Seed draws the pairs and moves the seeds of all cells.
	Seed uint64
	// Every runs only each n-th cell; zero and one run all.
	Every int
}

const pairDelay = 300 * time.Millisecond

// Run runs the cells of the selection and returns them in the order of the table; it fails on an unknown name.
func Run(s Selection) ([]Cell, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	plans := s.plans()
	cells := make([]Cell, len(plans))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, p := range plans {
		group.Go(func() error {
			cells[i] = p.run()
			return nil
		})
	}
	return cells, group.Wait()
}

func (s Selection) validate() error {
	for _, name := range s.Flows {
		if !slices.Contains(Flows(), name) {
			return fmt.Errorf("flow %q: must be one of %v", name, Flows())
		}
	}
	for _, name := range s.Faults {
		if !slices.Contains(Faults(), name) {
			return fmt.Errorf("fault %q: must be one of %v", name, Faults())
		}
	}
	return nil
}

// plans lists the single faults of the selection and then its pairs.
func (s Selection) plans() []plan {
	var singles, pairs []plan
	for _, f := range flows() {
		if len(s.Flows) > 0 && !slices.Contains(s.Flows, f.name) {
			continue
		}
		for _, st := range f.steps {
			for _, first := range faults() {
				if len(s.Faults) > 0 && !slices.Contains(s.Faults, first.name) {
					continue
				}
				singles = append(singles, s.plan(f, st, first))
				for _, second := range faults() {
					pairs = append(pairs, s.plan(f, st, first, second))
				}
			}
		}
	}
	return append(s.thin(singles), s.draw(pairs)...)
}

func (s Selection) plan(f flow, st step, list ...fault) plan {
	names := []string{f.name, st.name}
	for _, x := range list {
		names = append(names, x.name)
	}
	return plan{
		flow:   f,
		step:   st,
		faults: list,
		delay:  pairDelay,
		seed:   seedOf(s.Seed, names...),
	}
}

func (s Selection) thin(plans []plan) []plan {
	if s.Every <= 1 {
		return plans
	}
	var kept []plan
	for i := int(s.Seed) % s.Every; i < len(plans); i += s.Every {
		kept = append(kept, plans[i])
	}
	return kept
}

// draw takes the asked number of pairs, the same ones for the same seed.
func (s Selection) draw(pairs []plan) []plan {
	if s.Pairs < 0 || s.Pairs >= len(pairs) {
		return pairs
	}
	random := rand.New(rand.NewPCG(s.Seed, 11))
	random.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	return pairs[:s.Pairs]
}

// Flows lists the names of all flows, in the order of the table.
func Flows() []string {
	var names []string
	for _, f := range flows() {
		names = append(names, f.name)
	}
	return names
}
