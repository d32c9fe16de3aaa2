package ibisrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
	"github.com/ibisridge/ibisridge/platform"
)

// ErrSettings means that settings or flags are invalid.
var ErrSettings = errors.New("settings")

// Arguments holds the command-line flags of a relay's node.
type Arguments struct {
	Settings string `arg:"--settings,env:IBISRIDGE_SETTINGS" placeholder:"FILE" help:"settings in JSON"`
	Check    bool   `arg:"--check" help:"check the settings, print them as they are in force, and end"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Relay runs a node until the context ends and then shuts it down gracefully; it reads the settings again at each value of
// reloads. With Check it only prints the settings. It fails with ErrSettings if settings or flags are invalid.
func Relay(ctx context.Context, reloads <-chan os.Signal, a Arguments, out io.Writer) error {
	load := func() (platform.Settings, error) { return platform.ReadSettings(a.Settings) }
	settings, err := load()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if a.Check {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(settings)
	}
	output := ibislog.NewDroppingWriter(out)
	defer func() { _ = output.Close() }()
	log, err := ibislog.New(output, a.LogLevel)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	return platform.NewNode(workCtx, settings, ibistimer.New(), log).Run(ctx, reloads, load)
}
