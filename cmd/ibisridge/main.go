// Command ibisridge is the router, its stand-ins and its operators' tools in one program.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibisridge/ibisridge/internal/program/ibiscli"
)

func main() {
	// Signals stay handled until the process has exited, so that a second SIGTERM does not end a graceful stop.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(ibiscli.Run(ctx, os.Args[1:], ibiscli.System()))
}
