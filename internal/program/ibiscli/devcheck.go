package ibiscli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

const (
	quietTime     = time.Second
	devChangeWait = 16 * time.Second
	downloadBytes = 3_000_000
)

type devStep struct {
	name string
	run  func(ctx context.Context) error
}

// check runs the self-check of a deployment over real sockets and says how each step went.
func (s *devSystem) check(ctx context.Context, t Terminal) error {
	steps := []devStep{
		{name: "one owner by every name at every node", run: s.checkReads},
		{name: "a request without a key is served", run: s.checkUnkeyed},
		{name: "an order and its repeat run once", run: s.checkOrder},
		{name: "a download comes back whole", run: s.checkDownload},
		{name: "a failure domain out and back", run: s.checkDomain},
	}
	var errs []error
	for _, step := range steps {
		start := time.Now()
		err := step.run(ctx)
		verdict := green(t, "ok")
		if err != nil {
			verdict = red(t, "FAILED")
			errs = append(errs, fmt.Errorf("%s: %w", step.name, err))
		}
		_, _ = fmt.Fprintf(t.Out, "%-12s %-40s %s (%s)\n", s.deployment.name, step.name, verdict, time.Since(start).Round(time.Millisecond))
	}
	return errors.Join(errs...)
}

func (s *devSystem) checkReads(ctx context.Context) error {
	return until(ctx, func() error {
		servers := make(map[ibisid.NodeName]bool)
		for at := range s.Pairs() {
			for _, read := range s.deployment.reads {
				got, err := s.get(ctx, at, read)
				if err != nil {
					return err
				}
				servers[got.server] = true
			}
		}
		if len(servers) != 1 {
			return fmt.Errorf("answers came from %d backend servers", len(servers))
		}
		return nil
	})
}

func (s *devSystem) checkUnkeyed(ctx context.Context) error {
	return until(ctx, func() error {
		for at := range s.Pairs() {
			if _, err := s.get(ctx, at, s.deployment.unkeyed); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *devSystem) checkOrder(ctx context.Context) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	var first devAnswer
	err = until(ctx, func() error {
		first, err = s.send(ctx, http.MethodPost, 0, s.deployment.order, id.String())
		return err
	})
	if err != nil {
		return err
	}
	repeat, err := s.send(ctx, http.MethodPost, 1, s.deployment.order, id.String())
	if err != nil {
		return err
	}
	if string(repeat.body) != string(first.body) {
		return errors.New("the repeat got another answer")
	}
	runs := 0
	for _, p := range s.Pairs() {
		runs += p.Server.Counts().ByIdempotencyKey[id.String()]
	}
	if runs != 1 {
		return fmt.Errorf("it ran %d times", runs)
	}
	return nil
}

func (s *devSystem) checkDownload(ctx context.Context) error {
	got, err := s.get(ctx, 1, withSize(s.deployment.download))
	if err == nil && len(got.body) != downloadBytes {
		err = fmt.Errorf("%d bytes came back, want %d", len(got.body), downloadBytes)
	}
	return err
}

// checkDomain takes the failure domain of the key's owner out, sees the key served elsewhere and the domain get no new
// work, and brings the domain back.
func (s *devSystem) checkDomain(ctx context.Context) error {
	read := s.deployment.unpinned
	before, err := s.get(ctx, 0, read)
	if err != nil {
		return err
	}
	owner := s.pair(before.server)
	if err := s.setDomain(ctx, owner.Place().Domain, ibisdoc.DomainOut); err != nil {
		return err
	}
	err = until(ctx, func() error {
		got, err := s.get(ctx, 0, read)
		if err == nil && got.server == before.server {
			err = fmt.Errorf("%s still serves", got.server)
		}
		return err
	})
	if err == nil {
		err = s.checkQuiet(ctx, owner.Server.Counts().Runs, func() int { return owner.Server.Counts().Runs })
	}
	if backErr := s.setDomain(ctx, owner.Place().Domain, ibisdoc.DomainIn); backErr != nil {
		return errors.Join(err, backErr)
	}
	return errors.Join(err, s.checkReads(ctx))
}

// checkQuiet sends requests for a while and fails where the count of runs moves.
func (s *devSystem) checkQuiet(ctx context.Context, before int, runs func() int) error {
	for end := time.Now().Add(quietTime); time.Now().Before(end); {
		for at := range s.Pairs() {
			if _, err := s.get(ctx, at, s.deployment.unpinned); err != nil {
				return err
			}
		}
	}
	if after := runs(); after != before {
		return fmt.Errorf("the domain that is out got %d new requests", after-before)
	}
	return nil
}

// setDomain changes the state of a failure domain in the document, as an operator would.
func (s *devSystem) setDomain(ctx context.Context, domain ibisid.DomainName, state ibisdoc.DomainState) error {
	client := ibisoperator.NewClient("http://"+s.Pairs()[0].Node.OperatorAddress(), s.deployment.team, &http.Client{})
	document, err := client.Document(ctx, 0)
	if err != nil {
		return err
	}
	name, text, err := withDomainState(document.Sections, domain, state)
	if err != nil {
		return err
	}
	result, err := client.Change(ctx, ibisoperator.Change{
		Base:       document.Revision,
		Sections:   map[ibisdoc.SectionName]json.RawMessage{name: text},
		Message:    "self-check",
		WaitMillis: devChangeWait.Milliseconds(),
	})
	if err == nil && result.Status != ibisoperator.ChangeAccepted {
		err = fmt.Errorf("the change is %s: %s %v", result.Status, result.Detail, result.NotReached)
	}
	return err
}
