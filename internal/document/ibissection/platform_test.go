package ibissection_test

import (
	"context"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// fault is a failure that is injected into one step, that is one call, of the fake platform.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable fails the step, which has no effect.
	faultUnavailable
	// faultAnswerLost fails the step after it has taken effect.
	faultAnswerLost
	// faultDelayedCommit fails the step and applies its commit only after the next step.
	faultDelayedCommit
	// faultAnswerLostThenUnavailable fails the step after it has taken effect, and every later step.
	faultAnswerLostThenUnavailable
	// faultDelayedCommitThenUnavailable fails the step and every later one, and applies its commit when the fault is cleared.
	faultDelayedCommitThenUnavailable
	// faultConcurrentChange commits another change before the step.
	faultConcurrentChange
)

// platform is an in-memory table and object store with a fault at one step.
type platform struct {
	rows      map[string]ibisplatform.Row
	objects   map[string][]byte
	version   ibisplatform.Version
	steps     int
	faultStep int
	fault     fault
	// stepsBeforeOutage is the number of steps that succeed between the faulty step and the outage after it.
	stepsBeforeOutage int
	delayedCommit     *ibisplatform.Commit
	concurrentChange  func()
}

func newPlatform() *platform {
	return &platform{
		rows:    map[string]ibisplatform.Row{},
		objects: map[string][]byte{},
	}
}

// failAt sets the fault and the step at which it occurs, counted from zero at the next step.
func (p *platform) failAt(step int, f fault) {
	p.steps, p.faultStep, p.fault = 0, step, f
}

// clearFault removes the fault and applies a delayed commit.
func (p *platform) clearFault() {
	p.fault = faultNone
	p.applyDelayedCommit()
}

func (p *platform) applyDelayedCommit() {
	if p.delayedCommit != nil {
		commit := *p.delayedCommit
		p.delayedCommit = nil
		p.apply(commit)
	}
}

// beginStep counts a step and returns whether it takes effect, and its error. The commit of the step is nil for other calls.
func (p *platform) beginStep(commit *ibisplatform.Commit) (bool, error) {
	step := p.steps
	p.steps++
	persistent := p.fault == faultAnswerLostThenUnavailable || p.fault == faultDelayedCommitThenUnavailable
	if p.fault == faultNone || step < p.faultStep || (step > p.faultStep && (!persistent || step <= p.faultStep+p.stepsBeforeOutage)) {
		if p.fault == faultDelayedCommit && step > p.faultStep+1 {
			p.applyDelayedCommit()
		}
		return true, nil
	}
	if p.fault == faultConcurrentChange {
		concurrentChange := p.concurrentChange
		p.fault = faultNone
		concurrentChange()
		return true, nil
	}
	takesEffect := step == p.faultStep && (p.fault == faultAnswerLost || p.fault == faultAnswerLostThenUnavailable)
	if step == p.faultStep && (p.fault == faultDelayedCommit || p.fault == faultDelayedCommitThenUnavailable) {
		p.delayedCommit = commit
	}
	return takesEffect, ibisplatform.ErrUnavailable
}

func (p *platform) Read(_ context.Context, key string) (ibisplatform.Row, bool, error) {
	if _, err := p.beginStep(nil); err != nil {
		return ibisplatform.Row{}, false, err
	}
	row, found := p.rows[key]
	return row, found, nil
}

func (p *platform) Scan(_ context.Context, prefix string) ([]ibisplatform.Row, error) {
	if _, err := p.beginStep(nil); err != nil {
		return nil, err
	}
	var rows []ibisplatform.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b ibisplatform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (p *platform) Commit(_ context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	takesEffect, err := p.beginStep(&commit)
	var result ibisplatform.CommitResult
	if takesEffect {
		result = p.apply(commit)
	}
	if err != nil {
		return ibisplatform.CommitResult{}, err
	}
	return result, nil
}

func (p *platform) apply(commit ibisplatform.Commit) ibisplatform.CommitResult {
	for _, c := range commit.Conditions {
		if p.rows[c.Key].Version != c.Version {
			return ibisplatform.CommitResult{
				Status:   ibisplatform.CommitConflict,
				Conflict: c.Key,
			}
		}
	}
	p.version++
	for _, w := range commit.Writes {
		if w.Delete {
			delete(p.rows, w.Key)
			continue
		}
		p.rows[w.Key] = ibisplatform.Row{
			Key:      w.Key,
			Value:    w.Value,
			Version:  p.version,
			CommitID: commit.ID,
		}
	}
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: p.version,
	}
}

func (p *platform) Put(_ context.Context, name string, body []byte) error {
	takesEffect, err := p.beginStep(nil)
	if takesEffect {
		p.objects[name] = body
	}
	return err
}

func (p *platform) Get(_ context.Context, name string) ([]byte, bool, error) {
	if _, err := p.beginStep(nil); err != nil {
		return nil, false, err
	}
	body, found := p.objects[name]
	return body, found, nil
}

func (p *platform) List(_ context.Context, prefix string) ([]string, error) {
	if _, err := p.beginStep(nil); err != nil {
		return nil, err
	}
	var names []string
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
