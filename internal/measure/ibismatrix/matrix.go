package ibismatrix

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"
)

// parallelCells is the number of systems that run at once.
const parallelCells = 9

// Run runs the named faults, all where none is named, at every step and returns the cells in the order of the table; it
// fails on an unknown name and where a system does not start.
func Run(ctx context.Context, names ...string) ([]Cell, error) {
	chosen, err := choose(names)
	if err != nil {
		return nil, err
	}
	steps := Steps()
	cells := make([]Cell, len(chosen)*len(steps))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCells)
	for i, f := range chosen {
		for j, step := range steps {
			group.Go(func() error {
				cell, err := runCell(ctx, f, step)
				cells[i*len(steps)+j] = cell
				return err
			})
		}
	}
	return cells, group.Wait()
}

func choose(names []string) ([]fault, error) {
	all := faults()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []fault
	for _, name := range names {
		i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("fault %q: must be one of %v", name, Faults())
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}
