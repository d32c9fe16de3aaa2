package ibiscli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/node/ibislog"
)

const devStartTimeout = 30 * time.Second

type devCommand struct {
	Once     bool   `arg:"--once" help:"run a short self-check over real sockets and end"`
	LogLevel string `arg:"--log-level" default:"warn" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

// Description returns what the command is for, for its help.
func (devCommand) Description() string {
	return "Runs two whole systems in one process: for each sample document a platform stand-in, six nodes in six failure " +
		"domains and a backend server beside each."
}

func (*devCommand) examples() string {
	return `  ibisridge dev
  ibisridge dev --once`
}

func (c *devCommand) run(ctx context.Context, t Terminal) error {
	logs := t.Err
	if c.Once && c.LogLevel == "warn" {
		logs = io.Discard
	}
	log, err := ibislog.New(logs, c.LogLevel)
	if err != nil {
		return usageError("%w", err)
	}
	systems, err := startAll(ctx, deployments(), log)
	defer closeAll(systems)
	if err != nil {
		return err
	}
	if c.Once {
		return checkAll(ctx, t, systems)
	}
	for _, s := range systems {
		s.describe(t)
	}
	_, _ = fmt.Fprintln(t.Out, "\nrunning until interrupted")
	<-ctx.Done()
	return nil
}

// startAll starts the deployments side by side and returns those that run, also where one fails.
func startAll(ctx context.Context, all []deployment, log *zap.Logger) ([]*devSystem, error) {
	systems := make([]*devSystem, len(all))
	var group errgroup.Group
	for i, d := range all {
		group.Go(func() error {
			s, err := startDeployment(ctx, d, log)
			systems[i] = s
			if err != nil {
				return fmt.Errorf("%s: %w", d.name, err)
			}
			return nil
		})
	}
	err := group.Wait()
	return slices.DeleteFunc(systems, func(s *devSystem) bool { return s == nil }), err
}

func closeAll(systems []*devSystem) {
	for _, s := range systems {
		_ = s.close()
	}
}

func checkAll(ctx context.Context, t Terminal, systems []*devSystem) error {
	var errs []error
	for _, s := range systems {
		if err := s.check(ctx, t); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.deployment.name, err))
		}
	}
	return errors.Join(errs...)
}
