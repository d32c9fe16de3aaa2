package ibiscli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibissoak"
)

type soakCommand struct {
	Seed  uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds int           `arg:"--seeds" default:"1" help:"how many seeds, counted up"`
	Nodes int           `arg:"--nodes" default:"8" help:"instances, at least 4"`
	For   time.Duration `arg:"--for" default:"20s" help:"how long faults are injected"`
	// ServerFaults adds the faults of ibissoak.Config.ServerFaults.
	ServerFaults bool `arg:"--server-faults" help:"backend servers also name rate limits, say that they leave in their answers alone, and end under requests; a seed then draws other faults"`
	// ForeignHeartbeats adds the heartbeats of ibissoak.Config.ForeignHeartbeats.
	ForeignHeartbeats bool `arg:"--foreign-heartbeats" help:"another writer sends heartbeats for the addresses of the backend servers"`
	// Accounts gives the configuration accounts with changing keys.
	Accounts bool   `arg:"--accounts" help:"the configuration has accounts whose keys are replaced with each change; all output is searched for keys"`
	Dir      string `arg:"--dir" placeholder:"DIR" help:"where settings and logs of the nodes are kept; a new temporary directory by default"`
}

// Description returns what the command is for, for its help.
func (soakCommand) Description() string {
	return "Runs nodes as processes of their own, with stand-ins of the store and of backend servers, injects faults from outside " +
		"and checks what callers and backend servers see. It uses addresses 127.0.77.1 and up."
}

func (*soakCommand) examples() string {
	return `  ibisridge soak --seed 1 --seeds 50
  ibisridge soak --seed 17 --dir /tmp/soak`
}

func (c *soakCommand) run(ctx context.Context, t Terminal) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	dir := t.path(c.Dir)
	if c.Dir == "" {
		if dir, err = os.MkdirTemp("", "ibisridge-soak-"); err != nil {
			return err
		}
	}
	red := 0
	for seed := c.Seed; seed < c.Seed+uint64(max(c.Seeds, 1)); seed++ {
		place := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		result, err := ibissoak.Run(ctx, ibissoak.Config{
			Program:           program,
			Seed:              seed,
			Nodes:             c.Nodes,
			Faulty:            c.For,
			ServerFaults:      c.ServerFaults,
			ForeignHeartbeats: c.ForeignHeartbeats,
			Accounts:          c.Accounts,
			Dir:               place,
		})
		if err != nil {
			return fmt.Errorf("seed %d (logs in %s): %w", seed, place, err)
		}
		result.Write(t.Out, seed)
		if len(result.Broken) > 0 {
			red++
			_, _ = fmt.Fprintf(t.Out, "  logs: %s\n", place)
		}
	}
	if red > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", red, max(c.Seeds, 1))
	}
	return nil
}
