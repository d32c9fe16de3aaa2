package ibisdocsync

import (
	"context"

	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
)

// fetchFromSeeds fetches the document from the nodes that the settings name, so that a node can start while the platform is
// down. Failures are ignored, since each tick without a document tries again.
func (r *Replicator) fetchFromSeeds() {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	for _, address := range r.seeds {
		go r.fetchFromSeed(ctx, address)
	}
}

func (r *Replicator) fetchFromSeed(ctx context.Context, address string) {
	var reply SnapshotReply
	if err := r.callAt(ctx, address, "Snapshot", &None{}, &reply); err != nil {
		return
	}
	r.update(ibisrollout.SnapshotEvent{
		Version:  reply.Version,
		Sections: reply.Sections,
	})
}
