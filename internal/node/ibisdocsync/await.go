package ibisdocsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
)

// confirmInterval is the pause between two rounds of Confirm calls to the watchers.
const confirmInterval = 200 * time.Millisecond

// Progress reports where a committed change is not in force yet.
type Progress struct {
	// UnconfirmedDomains lists the failure domains whose watcher has not confirmed the change.
	UnconfirmedDomains []ibisid.DomainName
	// Lagging lists, by failure domain, some of the nodes on which the change is not confirmed to be in force.
	Lagging map[ibisid.DomainName][]ibisid.NodeName
}

// AwaitRevision queries the watchers until each live failure domain has confirmed the revision, or, if allNodes is set,
// until each live node has it in force. It returns the last state at the latest when the context ends.
func (r *Replicator) AwaitRevision(ctx context.Context, revision ibisid.Revision, allNodes bool) Progress {
	r.update(ibisrollout.TickEvent{})
	rollout := ibisrollout.NewRollout(revision, r.liveDomains())
	for {
		r.confirmAll(ctx, rollout)
		rollout.SetLiveDomains(r.liveDomains())
		progress := Progress{
			UnconfirmedDomains: rollout.UnconfirmedDomains(),
			Lagging:            rollout.Lagging(),
		}
		done := len(progress.UnconfirmedDomains) == 0 && (!allNodes || len(progress.Lagging) == 0)
		if done || !ibistimer.Sleep(ctx, confirmInterval) {
			return progress
		}
	}
}

// confirmAll queries the watcher of each live failure domain once and adds the replies to rollout.
func (r *Replicator) confirmAll(ctx context.Context, rollout *ibisrollout.Rollout) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for _, domain := range r.liveDomains() {
		group.Go(func() error {
			reply, ok := r.confirm(ctx, domain)
			if !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			rollout.Confirm(ibisrollout.ConfirmEvent{
				Domain:   domain,
				Revision: reply.Revision,
				Report:   reply.Report,
			})
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Replicator) confirm(ctx context.Context, domain ibisid.DomainName) (ConfirmReply, bool) {
	var reply ConfirmReply
	r.mu.Lock()
	watcher, ok := r.core.Tree().Watcher(domain)
	r.mu.Unlock()
	if !ok {
		return reply, false
	}
	if watcher == r.self.Name {
		err := r.Service().Confirm(&None{}, &reply)
		return reply, err == nil
	}
	err := r.call(ctx, watcher, "Confirm", &None{}, &reply)
	return reply, err == nil
}

func (r *Replicator) liveDomains() []ibisid.DomainName {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.core.Tree().Domains())
}
