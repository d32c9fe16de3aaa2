package ibiscli

import (
	"context"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/measure/ibisexperiment"
)

type experimentCommand struct {
	File  string `arg:"positional,required" placeholder:"FILE" help:"experiment in JSON"`
	Out   string `arg:"--out" placeholder:"DIR" help:"where a report with plots is written; none by default"`
	Seeds int    `arg:"--seeds" help:"run seeds 1 to this number instead of those of the file"`
	JSON  bool   `arg:"--json" help:"write all figures as JSON"`
}

// Description returns what the command is for, for its help.
func (experimentCommand) Description() string {
	return "Runs a model of callers, nodes and backend servers on fake time, with the real decisions, under several policies side by side."
}

func (*experimentCommand) examples() string {
	return `  ibisridge experiment experiments/burst.json
  ibisridge experiment experiments/cold-return.json --seeds 10 --out /tmp/cold-return`
}

func (c *experimentCommand) run(ctx context.Context, t Terminal) error {
	if c.Seeds < 0 {
		return usageError("--seeds: %d must be 1 or more", c.Seeds)
	}
	e, err := ibisexperiment.Read(t.path(c.File))
	if err != nil {
		return usageError("%w", err)
	}
	if c.Seeds > 0 {
		e.Seeds = nil
		for seed := range uint64(c.Seeds) {
			e.Seeds = append(e.Seeds, seed+1)
		}
	}
	rows, err := e.Run(ctx)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := e.Write(t.path(c.Out), rows); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeJSON(t.Out, rows)
	}
	whole := table{
		header: ibisexperiment.Header(),
	}
	classes := table{
		header: ibisexperiment.ClassHeader(),
	}
	for _, r := range rows {
		whole.add(r.Cells()...)
		for _, cells := range r.ClassCells() {
			classes.add(cells...)
		}
	}
	_, _ = fmt.Fprintf(t.Out, "%s: %s\n\n", bold(t, e.Name), e.About)
	whole.write(t)
	_, _ = fmt.Fprintln(t.Out)
	classes.write(t)
	return nil
}
