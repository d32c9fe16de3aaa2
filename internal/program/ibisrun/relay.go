package ibisrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
	"github.com/ibisridge/ibisridge/platform"
)

// ErrSettings reports settings or flags that can't be used.
var ErrSettings = errors.New("settings")

// Arguments is the flags of a relay's node.
type Arguments struct {
	Settings string `arg:"--settings,env:IBISRIDGE_SETTINGS" placeholder:"FILE" help:"settings in JSON"`
	Check    bool   `arg:"--check" help:"check the settings, print them as they are in force, and end"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Relay runs a node until the context ends, and then stops it as planned; SIGHUP reads the settings anew. It fails with
// ErrSettings where the settings can't be used.
func Relay(ctx context.Context, a Arguments, out io.Writer) error {
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
	lines := ibislog.NewDropping(out)
	defer func() { _ = lines.Close() }()
	log, err := ibislog.New(lines, a.LogLevel)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	return platform.NewNode(work, settings, ibistimer.New(), log).Run(ctx, reloads(ctx), load)
}

// reloads returns a channel that gets a value at each SIGHUP until the context ends.
func reloads(ctx context.Context) <-chan struct{} {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		defer signal.Stop(hup)
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
	return reload
}
