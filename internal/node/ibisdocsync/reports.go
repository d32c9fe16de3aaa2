package ibisdocsync

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
)

// maxConcurrentQueries limits the nodes that are queried concurrently.
const maxConcurrentQueries = 16

// Reports returns the reports of the watchers of all live failure domains; those that don't answer are omitted.
func (r *Replicator) Reports(ctx context.Context) map[ibisid.DomainName]ibisrollout.Report {
	reports := make(map[ibisid.DomainName]ibisrollout.Report)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, domain := range r.liveDomains() {
		group.Go(func() error {
			reply, ok := r.confirm(ctx, domain)
			if ok {
				mu.Lock()
				defer mu.Unlock()
				reports[domain] = reply.Report
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// Revisions returns the revisions in force on the given nodes; nodes that don't answer are omitted.
func (r *Replicator) Revisions(ctx context.Context, nodes []ibisid.NodeName) map[ibisid.NodeName]ibisid.Revision {
	revisions := make(map[ibisid.NodeName]ibisid.Revision)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, node := range nodes {
		group.Go(func() error {
			revision, ok := r.revisionOf(ctx, node)
			if ok {
				mu.Lock()
				defer mu.Unlock()
				revisions[node] = revision
			}
			return nil
		})
	}
	_ = group.Wait()
	return revisions
}

func (r *Replicator) revisionOf(ctx context.Context, node ibisid.NodeName) (ibisid.Revision, bool) {
	if node == r.self.Name {
		return r.Revision(), true
	}
	var reply ConfirmReply
	err := r.call(ctx, node, "Confirm", &None{}, &reply)
	return reply.Revision, err == nil
}
