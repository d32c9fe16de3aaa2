package ibiscli

import (
	"context"
	"errors"

	"github.com/ibisridge/ibisridge/internal/program/ibisrun"
)

type relayCommand struct {
	ibisrun.Arguments
}

// Description returns what the command is for, for its help.
func (relayCommand) Description() string {
	return "Runs the node beside a backend server of the users' platform. SIGTERM stops it as planned, SIGHUP reads the settings anew."
}

func (*relayCommand) handlesHangup() {}

func (*relayCommand) examples() string {
	return `  ibisridge relay --settings settings.json
  ibisridge relay --settings settings.json --check`
}

func (c *relayCommand) run(ctx context.Context, t Terminal) error {
	hangups := ibisrun.Hangups()
	arguments := c.Arguments
	arguments.Settings = t.path(arguments.Settings)
	err := ibisrun.Relay(ctx, hangups, arguments, t.Out)
	if errors.Is(err, ibisrun.ErrSettings) {
		return usageError("%w", err)
	}
	return err
}
