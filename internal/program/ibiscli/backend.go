package ibiscli

import (
	"context"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
)

type backendCommand struct {
	Service      string        `arg:"--service,required" placeholder:"SERVICE" help:"service that the server belongs to"`
	Name         string        `arg:"--name" placeholder:"NAME" help:"name in the server's answers [default: the service]"`
	Node         string        `arg:"--node" placeholder:"URL" help:"address of the node's backend listener, such as http://127.0.0.1:8083"`
	Listen       string        `arg:"--listen" default:"127.0.0.1:0" placeholder:"IP:PORT" help:"address to listen on"`
	Slots        int           `arg:"--slots" default:"10" help:"requests that run at once"`
	Connections  int           `arg:"--connections" default:"130" help:"connections that the server accepts"`
	Queue        int           `arg:"--queue" default:"20" help:"requests that wait inside before the server sheds load"`
	ServiceTime  time.Duration `arg:"--service-time" default:"1ms" help:"how long a request runs"`
	ColdStart    time.Duration `arg:"--cold-start" default:"0s" help:"time to come to full strength after the start"`
	ColdSlots    int           `arg:"--cold-slots" default:"2" help:"requests that a cold server bears at first"`
	HideCold     bool          `arg:"--hide-cold" help:"turn cold without a word to the node"`
	ChecksGrants bool          `arg:"--checks-grants" help:"refuse requests whose grant is stale or missing"`
	Weight       float64       `arg:"--weight" default:"1" help:"share of the work, where 1 is the usual share"`
	DrainTimeout time.Duration `arg:"--drain-timeout" default:"30s" help:"how long running requests may take at the end"`
}

// Description returns what the command is for, for its help.
func (backendCommand) Description() string {
	return "Stands in for a backend server: any path is answered, ?size=N downloads N bytes, and GET /standin/counts tells what ran."
}

func (*backendCommand) examples() string {
	return `  ibisridge backend --service print-floor --node http://127.0.0.1:8083
  ibisridge backend --service order-desk --node http://127.0.0.1:8083 --cold-start 20s --checks-grants
  curl -X POST http://ADDRESS/standin/cold
  curl -d '{"for":"5s","factor":20}' http://ADDRESS/standin/straggle
  curl -d '{"truncate":1}' http://ADDRESS/standin/faults
  curl http://ADDRESS/standin/counts`
}

func (c *backendCommand) validate() error {
	switch {
	case c.Slots < 1:
		return usageError("--slots: %d must be 1 or more", c.Slots)
	case c.Connections < 1:
		return usageError("--connections: %d must be 1 or more", c.Connections)
	case c.Queue < 1:
		return usageError("--queue: %d must be 1 or more", c.Queue)
	case c.ColdSlots < 1 || c.ColdSlots > c.Slots:
		return usageError("--cold-slots: %d must be from 1 to --slots, which is %d", c.ColdSlots, c.Slots)
	case c.ServiceTime <= 0 || c.ColdStart < 0:
		return usageError("--service-time: %s must be above 0, and --cold-start: %s must not be below 0", c.ServiceTime, c.ColdStart)
	}
	return nil
}

func (c *backendCommand) run(ctx context.Context, t Terminal) error {
	if err := c.validate(); err != nil {
		return err
	}
	server := ibisserver.New(c.config())
	if err := server.Start(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.Out, "backend server of %s on http://%s\n", c.Service, server.Address())
	if err := server.AnnounceError(); err != nil {
		_, _ = fmt.Fprintf(t.Err, "not announced yet, trying again each second: %s\n", err)
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.DrainTimeout)
	defer cancel()
	if err := server.Drain(stop); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	if err := server.Close(stop); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return server.Wait()
}

func (c *backendCommand) config() ibisserver.Config {
	name := c.Name
	if name == "" {
		name = c.Service
	}
	return ibisserver.Config{
		Name:         name,
		Service:      ibisid.ServiceName(c.Service),
		Listen:       c.Listen,
		Node:         c.Node,
		Slots:        c.Slots,
		Connections:  c.Connections,
		QueueLength:  c.Queue,
		ServiceTime:  c.ServiceTime,
		ColdStart:    c.ColdStart,
		ColdSlots:    c.ColdSlots,
		HideCold:     c.HideCold,
		ChecksGrants: c.ChecksGrants,
		Weight:       c.Weight,
	}
}
