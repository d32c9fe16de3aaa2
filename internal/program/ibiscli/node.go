package ibiscli

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
	"github.com/ibisridge/ibisridge/internal/node/ibisnode"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/program/ibisrun"
	"github.com/ibisridge/ibisridge/platform"
)

type nodeCommand struct {
	Settings string `arg:"--settings,env:IBISRIDGE_SETTINGS" placeholder:"FILE" help:"settings in JSON"`
	Check    bool   `arg:"--check" help:"check the settings, print them as they are in force, and end"`
	ibissettings.Override
}

// Description returns what the command is for, for its help.
func (nodeCommand) Description() string {
	return "Runs the node beside a backend server. A flag goes before the environment, and both before the settings file."
}

func (*nodeCommand) handlesHangup() {}

func (*nodeCommand) examples() string {
	return `  ibisridge node --settings node.json
  ibisridge node --settings node.json --check
  IBISRIDGE_LOG_LEVEL=debug ibisridge node --settings node.json --name node-7 --domain espoo-b`
}

func (c *nodeCommand) load(t Terminal) (ibissettings.Settings, error) {
	settings := ibissettings.Default()
	if c.Settings != "" {
		read, err := ibissettings.ReadFile(t.path(c.Settings))
		if err != nil {
			return settings, usageError("%w", err)
		}
		settings = read
	}
	settings = c.Apply(settings)
	if err := settings.Validate(); err != nil {
		return settings, usageError("settings are not valid:\n%w", err)
	}
	return settings, nil
}

func (c *nodeCommand) run(ctx context.Context, t Terminal) error {
	hangups := ibisrun.Hangups()
	settings, err := c.load(t)
	if err != nil {
		return err
	}
	if c.Check {
		return writeJSON(t.Out, settings)
	}
	log, err := ibislog.New(t.Err, settings.LogLevel)
	if err != nil {
		return usageError("%w", err)
	}
	store := platform.NewTable(settings.Platform, settings.Limits.PlatformTimeout.Duration)
	node, err := ibisnode.New(settings, store, store, ibistimer.New(), log)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.Out, "node %s: callers on %s, operators on %s, backend server announces to http://%s\n",
		settings.Name, node.CallerAddress(), node.OperatorAddress(), node.BackendAddress())
	go logHangups(hangups, log)
	return node.Run(ctx)
}

// logHangups logs at each SIGHUP that the settings of a running node do not change.
func logHangups(hangups <-chan os.Signal, log *zap.Logger) {
	for range hangups {
		log.Warn("SIGHUP is ignored; settings are read at the start only")
	}
}
