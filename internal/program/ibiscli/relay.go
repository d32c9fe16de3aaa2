package ibiscli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
	"github.com/ibisridge/ibisridge/platform"
)

type relayCommand struct {
	Settings string `arg:"--settings,env:IBISRIDGE_SETTINGS" placeholder:"FILE" help:"settings in JSON"`
	Check    bool   `arg:"--check" help:"check the settings, print them as they are in force, and end"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Description returns what the command is for, for its help.
func (relayCommand) Description() string {
	return "Runs the node beside a backend server of the users' platform. SIGTERM stops it as planned, SIGHUP reads the settings anew."
}

func (*relayCommand) examples() string {
	return `  ibisridge relay --settings settings.json
  ibisridge relay --settings settings.json --check`
}

func (c *relayCommand) run(ctx context.Context, t Terminal) error {
	load := func() (platform.Settings, error) { return platform.ReadSettings(t.path(c.Settings)) }
	settings, err := load()
	if err != nil {
		return usageError("%w", err)
	}
	if c.Check {
		return writeJSON(t.Out, settings)
	}
	out := ibislog.NewDropping(t.Out)
	defer func() { _ = out.Close() }()
	log, err := ibislog.New(out, c.LogLevel)
	if err != nil {
		return usageError("%w", err)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	reload := make(chan struct{})
	go func() {
		for {
			select {
			case <-hup:
			case <-ctx.Done():
				return
			}
			select {
			case reload <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	return platform.NewNode(work, settings, ibistimer.New(), log).Run(ctx, reload, load)
}
