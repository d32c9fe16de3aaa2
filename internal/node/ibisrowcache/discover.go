package ibisrowcache

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// discoverPeriod is the time between two searches for other nodes while this node has few neighbours.
	discoverPeriod = 5 * time.Second
	// startupDiscoverPeriod replaces discoverPeriod during startupPhase, since many nodes may start at once.
	startupDiscoverPeriod = 500 * time.Millisecond
	// startupPhase is the time after the start during which the node searches more often.
	startupPhase = 20 * time.Second
	// minNeighbours is the number of neighbours below which a node searches for other nodes.
	minNeighbours = ibisgossip.NeighboursInDomain + ibisgossip.NeighboursInRegion + ibisgossip.NeighboursOutside
)

// Discover copies rows from the table and other nodes while the node has few neighbours, until the context ends; it returns
// nil. Nodes that start at the same time can't exchange rows until one of them has found the other's member row.
func (r *Rows) Discover(ctx context.Context, caller ibismember.Caller, table ibisplatform.Table, seeds []string, log *zap.Logger) error {
	start := r.timer.Now()
	last := start
	var running sync.Mutex
	every := r.timer.Every(startupDiscoverPeriod, func(now time.Time) {
		starting := now.Sub(start) < startupPhase
		if r.neighbourCount() >= minNeighbours || !starting && now.Sub(last) < discoverPeriod || !running.TryLock() {
			return
		}
		defer running.Unlock()
		last = now
		if err := r.Bootstrap(ctx, caller, table, seeds); err != nil {
			log.Debug("search for other nodes failed; it is repeated while there are too few neighbours", zap.Error(err))
		}
	})
	defer every.Stop()
	<-ctx.Done()
	return nil
}

// neighbourCount returns the number of neighbours.
func (r *Rows) neighbourCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.core.Links())
}
