package ibismatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
)

const (
	runningTimeout = 10 * time.Second
	repeatTimeout  = 20 * time.Second
	repeatPause    = 200 * time.Millisecond
)

// Cell is what one fault at one step led to.
type Cell struct {
	// Fault is the name of the fault.
	Fault string `json:"fault"`
	// Step is when it came about.
	Step Step `json:"step"`
	// First is how the order ended for its caller.
	First ibisid.Outcome `json:"first"`
	// Repeat is how the repeat with the same idempotency key ended.
	Repeat ibisid.Outcome `json:"repeat"`
	// Runs is how often the order ran.
	Runs int `json:"runs"`
	// Broken lists what must always hold and did not.
	Broken []string `json:"broken,omitempty"`
}

func (c *Cell) check(ok bool, format string, args ...any) {
	if !ok {
		c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
	}
}

// runCell runs one order through a system of its own with the fault at the step.
func runCell(ctx context.Context, f fault, step Step) (Cell, error) {
	cell := Cell{
		Fault: f.name,
		Step:  step,
	}
	b, err := openBench(ctx)
	if err != nil {
		return cell, err
	}
	defer b.close()
	id, err := uuid.NewV7()
	if err != nil {
		return cell, err
	}
	key := id.String()
	first := b.orderWithFault(ctx, f, step, key)
	cell.First = first.outcome
	cell.checkFirst(first, b.runs(key))
	if step == StepAnswered {
		f.begin(b.System, b.owner)
	}
	repeat := b.repeat(ctx, f, key)
	cell.Repeat = repeat.outcome
	cell.Runs = b.runs(key)
	cell.checkRepeat(first, repeat)
	return cell, nil
}

func (c *Cell) checkFirst(first answer, runs int) {
	c.check(first.outcome != ibisid.OutcomeNotRun || runs == 0, "answered notRun, and ran %d times", runs)
	c.check(first.outcome != ibisid.OutcomeDone || runs == 1, "answered done, and ran %d times", runs)
	c.check(first.outcome != ibisid.OutcomeDone || first.whole, "an answer that was cut short ended cleanly")
}

func (c *Cell) checkRepeat(first, repeat answer) {
	c.check(c.Runs <= 1, "ran %d times", c.Runs)
	c.check(repeat.outcome != ibisid.OutcomeDone || c.Runs == 1, "the repeat was answered done, and nothing ran")
	c.check(repeat.outcome != ibisid.OutcomeDone || repeat.whole, "the repeat got an answer that was cut short")
	bothDone := first.outcome == ibisid.OutcomeDone && repeat.outcome == ibisid.OutcomeDone
	c.check(!bothDone || first.body == repeat.body, "the repeat got another answer")
}

// orderWithFault sends the order and brings the fault about before or while it runs.
func (b *bench) orderWithFault(ctx context.Context, f fault, step Step, key string) answer {
	if step == StepBefore {
		f.begin(b.System, b.owner)
	}
	if step != StepRunning {
		return b.order(ctx, b.door(), key)
	}
	done := make(chan answer, 1)
	go func() { done <- b.order(ctx, b.door(), key) }()
	b.waitRun(key)
	f.begin(b.System, b.owner)
	return <-done
}

// repeat lifts the fault while the order is sent again until it has a final answer; only "not run" is sent once more.
func (b *bench) repeat(ctx context.Context, f fault, key string) answer {
	lift := time.AfterFunc(time.Second, func() { f.end(b.System, b.owner) })
	defer lift.Stop()
	var last answer
	for end := time.Now().Add(repeatTimeout); time.Now().Before(end); time.Sleep(repeatPause) {
		last = b.order(ctx, b.door(), key)
		if last.outcome != ibisid.OutcomeNotRun {
			break
		}
	}
	return last
}

func (b *bench) waitRun(key string) {
	for end := time.Now().Add(runningTimeout); time.Now().Before(end) && b.runs(key) == 0; {
		time.Sleep(time.Millisecond)
	}
}

// door returns a node other than the owner, so that requests cross two nodes.
func (b *bench) door() *ibisembed.Pair {
	for _, p := range b.Pairs() {
		if p != b.owner {
			return p
		}
	}
	panic("a bench has at least two nodes")
}
