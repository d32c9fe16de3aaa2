package ibiscli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	serveHeaderTimeout = 5 * time.Second
	serveStopTimeout   = 10 * time.Second
)

type standinCommand struct {
	Listen   string `arg:"--listen" default:"127.0.0.1:9000" placeholder:"IP:PORT" help:"address to listen on"`
	Seed     uint64 `arg:"--seed" default:"1" help:"draws which calls shares of faults hit"`
	Snapshot string `arg:"--snapshot" placeholder:"FILE" help:"file to load at the start and to save at the end"`
}

// Description returns what the command is for, for its help.
func (standinCommand) Description() string {
	return "Stands in for the platform's metadata store, rows and objects; faults are switched at /standin/faults."
}

func (*standinCommand) examples() string {
	return `  ibisridge standin
  ibisridge standin --listen 127.0.0.1:9000 --snapshot store.json
  curl -d '{"down":"silent"}' http://127.0.0.1:9000/standin/faults
  curl -d '{"delay":"200ms","count":10}' http://127.0.0.1:9000/standin/faults
  curl -d '{"callsPerSecond":100}' http://127.0.0.1:9000/standin/faults
  curl -d '{"lost":1,"count":1}' http://127.0.0.1:9000/standin/faults
  curl -X DELETE http://127.0.0.1:9000/standin/faults`
}

func (c *standinCommand) run(ctx context.Context, t Terminal) error {
	if c.Snapshot != "" {
		c.Snapshot = t.path(c.Snapshot)
	}
	store, err := c.load()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	_, _ = fmt.Fprintf(t.Out, "platform stand-in on http://%s\n", listener.Addr())
	if err := serveUntil(ctx, listener, ibisrowstore.NewServer(store, c.Seed)); err != nil {
		return err
	}
	if c.Snapshot == "" {
		return nil
	}
	return store.Save(c.Snapshot)
}

func (c *standinCommand) load() (*ibisrowstore.Store, error) {
	if c.Snapshot == "" {
		return ibisrowstore.New(), nil
	}
	store, err := ibisrowstore.Load(c.Snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return ibisrowstore.New(), nil
	}
	return store, err
}

// serveUntil serves until the context ends and then lets running requests finish.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: serveHeaderTimeout,
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), serveStopTimeout)
		defer cancel()
		stopped <- server.Shutdown(stop)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
