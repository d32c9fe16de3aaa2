package ibiscli

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	ibisexample "github.com/ibisridge/ibisridge/examples"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
)

// devSystem is a running deployment.
type devSystem struct {
	*ibisembed.System
	deployment deployment
}

// startDeployment returns the system also where it did not become ready, so that the caller closes it.
func startDeployment(ctx context.Context, d deployment, log *zap.Logger) (*devSystem, error) {
	sections, err := parseSections(ibisexample.Document(d.name))
	if err != nil {
		return nil, err
	}
	system, err := ibisembed.New(log)
	if err != nil {
		return nil, err
	}
	s := &devSystem{
		System:     system,
		deployment: d,
	}
	if err := putFirstDocument(ctx, system.Table(), sections); err != nil {
		return s, err
	}
	for _, p := range d.pairs {
		_, err := s.Start(ibisembed.PairConfig{
			Name:  p.name,
			Place: p.place,
			Server: ibisserver.Config{
				Service: p.service,
			},
		})
		if err != nil {
			return s, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	return s, s.WaitReady(ctx)
}

func (s *devSystem) close() error { return s.Close() }

// pair returns the pair of a node; it panics where there is none, since names come from the deployment.
func (s *devSystem) pair(name ibisid.NodeName) *ibisembed.Pair {
	for _, p := range s.Pairs() {
		if p.Name() == name {
			return p
		}
	}
	panic("no node " + string(name) + " in deployment " + s.deployment.name)
}

// describe prints what runs where, and lines to paste.
func (s *devSystem) describe(t Terminal) {
	list := table{
		header: []string{"NODE", "REGION", "DOMAIN", "CALLERS", "OPERATORS", "BACKEND SERVER"},
	}
	for _, p := range s.Pairs() {
		list.add(string(p.Name()), string(p.Place().Region), string(p.Place().Domain), "http://"+p.Node.CallerAddress(),
			"http://"+p.Node.OperatorAddress(), "http://"+p.Server.Address())
	}
	_, _ = fmt.Fprintf(t.Out, "\n%s\n", bold(t, s.deployment.name))
	list.write(t)
	_, _ = fmt.Fprintln(t.Out)
	for i, read := range s.deployment.reads {
		_, _ = fmt.Fprintln(t.Out, s.curl("", read, i))
	}
	order := `-X POST -H "Idempotency-Key: $(ibisridge key idempotency)" -d two `
	_, _ = fmt.Fprintln(t.Out, s.curl(order, s.deployment.order, 0))
	_, _ = fmt.Fprintln(t.Out, s.curl("-o download ", withSize(s.deployment.download), 1))
	_, _ = fmt.Fprintf(t.Out, "ibisridge status --node http://%s --token %s\n", s.Pairs()[0].Node.OperatorAddress(), s.deployment.team)
}

func (s *devSystem) curl(flags string, r sampleRequest, at int) string {
	node := s.Pairs()[at%len(s.Pairs())].Node
	return fmt.Sprintf(`curl %s-H "Authorization: Bearer %s" "http://%s%s"`, flags, r.token, node.CallerAddress(), r.path)
}
