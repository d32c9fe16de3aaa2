// Command ibisrelay runs only the relay's node, the process beside each backend server of the users' platform. It does the
// same as `ibisridge relay`.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/ibisridge/ibisridge/internal/program/ibisrun"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	hangups := ibisrun.Hangups()
	// Signals stay handled until the process has exited, so that a second SIGTERM does not end a graceful stop.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	var arguments ibisrun.Arguments
	arg.MustParse(&arguments)
	err := ibisrun.Relay(ctx, hangups, arguments, os.Stdout)
	switch {
	case err == nil:
		return
	case errors.Is(err, ibisrun.ErrSettings):
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(exitUsage)
	}
	_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(exitFailed)
}
