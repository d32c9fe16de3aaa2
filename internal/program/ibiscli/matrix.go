package ibiscli

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/measure/ibiscell"
	"github.com/ibisridge/ibisridge/internal/measure/ibismatrix"
)

type matrixCommand struct {
	Flows    []string `arg:"--flow,separate" placeholder:"FLOW" help:"flow to run; may be repeated [default: all]"`
	Faults   []string `arg:"--fault,separate" placeholder:"FAULT" help:"fault to run; may be repeated [default: all]"`
	Pairs    int      `arg:"--pairs" default:"100" help:"number of pairs of faults that are drawn"`
	AllPairs bool     `arg:"--all-pairs" help:"run every pair of faults, which takes an hour or so"`
	Seed     uint64   `arg:"--seed" help:"draws the pairs and all chances within the cells"`
	Sockets  bool     `arg:"--sockets" help:"run the second part in place of the first: few faults, real sockets and real time"`
	JSON     bool     `arg:"--json" help:"write the cells as JSON"`
}

// Description returns what the command is for, for its help.
func (matrixCommand) Description() string {
	return "Brings every fault about at every step of every flow, on fake time in one process, and checks what must always hold. " +
		"The flows are: " + strings.Join(ibiscell.Flows(), ", ") + ". The faults are: " + strings.Join(ibiscell.Faults(), ", ") +
		". With --sockets the faults are: " + strings.Join(ibismatrix.Faults(), ", ") + "."
}

func (*matrixCommand) examples() string {
	return `  ibisridge matrix
  ibisridge matrix --flow takeOver --fault freeze --pairs 0 --json
  ibisridge matrix --sockets --fault serverFrozen --fault platformDown`
}

var errBroken = errors.New("something that must always hold did not")

func (c *matrixCommand) run(ctx context.Context, t Terminal) error {
	if c.Sockets {
		return c.runSockets(ctx, t)
	}
	selection := ibiscell.Selection{
		Flows:  c.Flows,
		Faults: c.Faults,
		Pairs:  c.Pairs,
		Seed:   c.Seed,
	}
	if c.AllPairs {
		selection.Pairs = -1
	}
	cells, err := ibiscell.Run(selection)
	if err != nil {
		return usageError("%s", err)
	}
	if c.JSON {
		err = writeJSON(t.Out, cells)
	} else {
		writeGrid(t, cells)
	}
	if err != nil {
		return err
	}
	red := 0
	for _, cell := range cells {
		if cell.Verdict == ibiscell.Red {
			red++
		}
	}
	if red > 0 {
		return fmt.Errorf("%w: %d red cells", errBroken, red)
	}
	return nil
}

// mark is a cell as it stands in the grid.
var mark = map[ibiscell.Verdict]string{
	ibiscell.OK:     "ok",
	ibiscell.Red:    "RED",
	ibiscell.NotRun: "-",
}

// writeGrid prints single faults as a grid, then the pairs by their count, then every cell that is not ok, then the counts.
func writeGrid(t Terminal, cells []ibiscell.Cell) {
	grid := table{
		header: []string{"FLOW", "STEP"},
	}
	rows := make(map[string]map[string]string)
	var order [][]string
	columns := make(map[string]bool)
	counts := make(map[ibiscell.Verdict]int)
	pairs := make(map[ibiscell.Verdict]int)
	for _, cell := range cells {
		counts[cell.Verdict]++
		if len(cell.Faults) > 1 {
			pairs[cell.Verdict]++
			continue
		}
		id := cell.Flow + "\x00" + cell.Step
		if rows[id] == nil {
			rows[id] = make(map[string]string)
			order = append(order, []string{cell.Flow, cell.Step})
		}
		rows[id][cell.Faults[0]] = mark[cell.Verdict]
		columns[cell.Faults[0]] = true
	}
	var faults []string
	for _, fault := range ibiscell.Faults() {
		if columns[fault] {
			faults = append(faults, fault)
		}
	}
	grid.header = append(grid.header, faults...)
	for _, names := range order {
		line := slices.Clone(names)
		for _, fault := range faults {
			line = append(line, orDash(rows[names[0]+"\x00"+names[1]][fault]))
		}
		grid.add(line...)
	}
	grid.write(t)
	writeNotOK(t, cells)
	_, _ = fmt.Fprintf(t.Out, "\n%d cells: %d ok, %d red, %d not run; of these %d pairs of faults: %d ok, %d red, %d not run\n",
		len(cells), counts[ibiscell.OK], counts[ibiscell.Red], counts[ibiscell.NotRun],
		pairs[ibiscell.OK]+pairs[ibiscell.Red]+pairs[ibiscell.NotRun], pairs[ibiscell.OK], pairs[ibiscell.Red], pairs[ibiscell.NotRun])
}

func writeNotOK(t Terminal, cells []ibiscell.Cell) {
	for _, cell := range cells {
		name := fmt.Sprintf("%s / %s / %s (seed %d)", cell.Flow, cell.Step, strings.Join(cell.Faults, " + "), cell.Seed)
		switch cell.Verdict {
		case ibiscell.Red:
			_, _ = fmt.Fprintf(t.Out, "\nred: %s\n", name)
			for _, b := range cell.Broken {
				_, _ = fmt.Fprintf(t.Out, "  %s after %s: %s\n", b.Promise, b.After, b.What)
			}
		case ibiscell.NotRun:
			_, _ = fmt.Fprintf(t.Out, "\nnot run: %s: %s\n", name, cell.Reason)
		case ibiscell.OK:
		}
	}
}

// runSockets runs the second part.
func (c *matrixCommand) runSockets(ctx context.Context, t Terminal) error {
	for _, name := range c.Faults {
		if !slices.Contains(ibismatrix.Faults(), name) {
			return usageError("--fault: %q must be one of %v", name, ibismatrix.Faults())
		}
	}
	cells, err := ibismatrix.Run(ctx, c.Faults...)
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeJSON(t.Out, cells)
	} else {
		writeCells(t, cells)
	}
	if err != nil {
		return err
	}
	for _, cell := range cells {
		if len(cell.Broken) > 0 {
			return fmt.Errorf("%w: %s at step %s", errBroken, cell.Fault, cell.Step)
		}
	}
	return nil
}

func writeCells(t Terminal, cells []ibismatrix.Cell) {
	list := table{
		header: []string{"FAULT", "STEP", "FIRST", "REPEAT", "RUNS", "BROKEN"},
	}
	for _, cell := range cells {
		list.add(cell.Fault, string(cell.Step), string(cell.First), string(cell.Repeat), strconv.Itoa(cell.Runs),
			orDash(strings.Join(cell.Broken, "; ")))
	}
	list.write(t)
}
