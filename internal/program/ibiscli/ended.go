package ibiscli

import (
	"context"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

type endedCommand struct {
	Name        string `arg:"positional,required" placeholder:"NODE" help:"name of the node whose process has ended"`
	Incarnation uint64 `arg:"positional,required" placeholder:"INCARNATION" help:"its incarnation, as ibisridge status --json names it"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (endedCommand) Description() string {
	return "Declares a member dead whose process has ended for ever, so that its slots are taken over without its witnesses. " +
		"Only say so of a process that can't come back: one that still ran would own its keys besides their new owners."
}

func (*endedCommand) examples() string {
	return `  ibisridge ended floor-3 1796331130000000000 --node http://10.0.0.7:8082`
}

func (c *endedCommand) run(ctx context.Context, t Terminal) error {
	err := c.client().DeclareDead(ctx, ibisid.Member{
		Name:        ibisid.NodeName(c.Name),
		Incarnation: ibisid.Incarnation(c.Incarnation),
	})
	if err != nil {
		return operatorError(err)
	}
	_, _ = fmt.Fprintln(t.Out, green(t, "declared dead"))
	return nil
}
