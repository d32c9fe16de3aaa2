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

// AwaitRevision queries the watchers until each live failure domain has confirmed the revision, or, if allNodes is set, until each
// live node has it in force. It returns the last state at the latest when the context ends.
func (k *Replicator) AwaitRevision(ctx context.Context, revision ibisid.Revision, allNodes bool) Progress {
	k.update(ibisrollout.TickEvent{})
	rollout := ibisrollout.NewRollout(revision, k.liveDomains())
	for {
		k.confirmAll(ctx, rollout)
		rollout.SetLiveDomains(k.liveDomains())
		reach := Progress{
			UnconfirmedDomains: rollout.UnconfirmedDomains(),
			Lagging:            rollout.Lagging(),
		}
		done := len(reach.UnconfirmedDomains) == 0 && (!allNodes || len(reach.Lagging) == 0)
		if done || !ibistimer.Sleep(ctx, confirmInterval) {
			return reach
		}
	}
}

// confirmAll queries the watcher of each live failure domain once and adds the replies to the rollout.
func (k *Replicator) confirmAll(ctx context.Context, rollout *ibisrollout.Rollout) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for _, domain := range k.liveDomains() {
		group.Go(func() error {
			reply, ok := k.confirm(ctx, domain)
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

func (k *Replicator) confirm(ctx context.Context, domain ibisid.DomainName) (ConfirmReply, bool) {
	var reply ConfirmReply
	k.mu.Lock()
	watcher, ok := k.core.Tree().Watcher(domain)
	k.mu.Unlock()
	if !ok {
		return reply, false
	}
	if watcher == k.self.Name {
		err := k.Service().Confirm(&None{}, &reply)
		return reply, err == nil
	}
	err := k.call(ctx, watcher, "Confirm", &None{}, &reply)
	return reply, err == nil
}

func (k *Replicator) liveDomains() []ibisid.DomainName {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.core.Tree().Domains())
}
