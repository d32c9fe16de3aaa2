package ibiscli

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

type docUndoCommand struct {
	Revision uint64        `arg:"positional,required" placeholder:"REVISION" help:"revision whose change is taken back"`
	Wait     time.Duration `arg:"--wait" default:"10s" help:"how long to wait until the undo is in force everywhere"`
	JSON     bool          `arg:"--json" help:"write the result as JSON"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (docUndoCommand) Description() string {
	return "Takes back the change of one revision by a new revision; sections that were changed since are a conflict."
}

func (*docUndoCommand) examples() string {
	return `  ibisridge doc undo 42
  ibisridge doc undo 42 --wait 30s --json`
}

func (c *docUndoCommand) run(ctx context.Context, t Terminal) error {
	c.Timeout += c.Wait
	result, err := sendUndo(ctx, c.client(), ibisoperator.Undo{
		Revision:   ibisid.Revision(c.Revision),
		WaitMillis: c.Wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return writeResult(t, result, c.JSON)
}
