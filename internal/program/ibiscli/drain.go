package ibiscli

import (
	"context"
	"fmt"
	"time"
)

type drainCommand struct {
	Wait time.Duration `arg:"--wait" default:"30s" help:"how long the hand-over may take"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (drainCommand) Description() string {
	return "Lets a node hand over its slots and finish its work; it takes no new work until it is restarted."
}

func (*drainCommand) examples() string {
	return `  ibisridge drain --node http://10.0.0.7:8082
  ibisridge drain --node http://10.0.0.7:8082 --wait 2m`
}

func (c *drainCommand) run(ctx context.Context, t Terminal) error {
	c.Timeout += c.Wait
	if err := c.client().Drain(ctx); err != nil {
		return operatorError(err)
	}
	_, _ = fmt.Fprintln(t.Out, green(t, "drained"))
	return nil
}
