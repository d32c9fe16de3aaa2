package ibisdocsync

import (
	"context"

	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
)

// fetchFromSeeds fetches the document from the nodes that the settings name, so that a node can start while the platform is
// down. Failures are ignored, since each tick without a document tries again.
func (k *Replicator) fetchFromSeeds() {
	k.mu.Lock()
	ctx := k.ctx
	k.mu.Unlock()
	for _, address := range k.seeds {
		go k.fetchFromSeed(ctx, address)
	}
}

func (k *Replicator) fetchFromSeed(ctx context.Context, address string) {
	var reply SnapshotReply
	if err := k.callAt(ctx, address, "Snapshot", &None{}, &reply); err != nil {
		return
	}
	k.update(ibisrollout.SnapshotEvent{
		Version:  reply.Version,
		Sections: reply.Sections,
	})
}
