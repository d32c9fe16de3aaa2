package ibisrangedriver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// MembersPartition is the partition of the members' rows in ibisrange.TablePages; no service may have this name.
const MembersPartition = "~members"

// writeRetryDelay is the pause after a write that the store did not apply.
const writeRetryDelay = 500 * time.Millisecond

// Registrar writes the node's own row among the members whenever it differs from the row in the store. It is safe for
// concurrent use.
type Registrar struct {
	store ibisstore.Store
	log   *zap.Logger
	wake  chan struct{}

	mu       sync.Mutex
	desired  ibisroster.Member
	removing bool
	// version is the version of the row in the store, zero if the store is not known to have one.
	version uint64
	// written is the content that was last written, empty if the row must be written again.
	written string
}

// NewRegistrar returns a registrar that writes nothing before the first call of Set.
func NewRegistrar(store ibisstore.Store, log *zap.Logger) *Registrar {
	return &Registrar{
		store: store,
		log:   log,
		wake:  make(chan struct{}, 1),
	}
}

// Set sets the content of the node's row; Run writes it.
func (r *Registrar) Set(m ibisroster.Member) {
	r.mu.Lock()
	r.desired = m
	r.mu.Unlock()
	r.wakeUp()
}

// Remove makes one attempt to remove the row; Run doesn't write it again.
func (r *Registrar) Remove(ctx context.Context) {
	r.mu.Lock()
	r.removing = true
	r.mu.Unlock()
	r.writeRow(ctx)
}

// Registered reports whether a write of the row has been applied and the row has not been overwritten or removed since.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written != ""
}

// Observe applies the row as the feed of changes delivered it, with a nil value if it was removed. A row that was removed or
// that another run of the node wrote is written again.
func (r *Registrar) Observe(version uint64, value []byte) {
	r.mu.Lock()
	stale := r.written != "" && version > r.version && string(value) != r.written && !r.removing
	if stale {
		r.version = version
		if value == nil {
			r.version = 0
		}
		r.written = ""
	}
	r.mu.Unlock()
	if stale {
		r.wakeUp()
	}
}

// Rewrite makes Run write the row again, after the store may have lost it.
func (r *Registrar) Rewrite() {
	r.mu.Lock()
	r.written = ""
	r.mu.Unlock()
	r.wakeUp()
}

func (r *Registrar) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes the row whenever it has to change, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for ctx.Err() == nil && !r.writeRow(ctx) {
			ibistimer.Sleep(ctx, writeRetryDelay)
		}
	}
}

// writeRow sends one write or removal of the row if one is due, and reports whether the store is up to date.
func (r *Registrar) writeRow(ctx context.Context) bool {
	r.mu.Lock()
	desired, removing, version, written := r.desired, r.removing, r.version, r.written
	r.mu.Unlock()
	if desired.Node == "" {
		return true
	}
	value := desired.Encode()
	if !removing && written == string(value) {
		return true
	}
	key := ibisstore.Key{
		Table:     ibisrange.TablePages,
		Partition: MembersPartition,
		Name:      string(desired.Node),
	}
	commit := ibisstore.Commit{
		Conditions: []ibisstore.Condition{{
			Key:     key,
			Version: version,
		}},
	}
	if removing {
		commit.Removes = []ibisstore.Key{key}
	} else {
		commit.Writes = []ibisstore.Write{{
			Key:   key,
			Value: value,
		}}
	}
	result := r.store.Commit(ctx, commit)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result.Outcome {
	case ibisstore.OutcomeApplied:
		r.version, r.written = result.Version, string(value)
		return removing || string(r.desired.Encode()) == r.written
	case ibisstore.OutcomeConflict:
		r.version = 0
		for _, row := range result.Rows {
			if row.Key == key && !row.Removed {
				r.version = row.Version
			}
		}
		if r.version == 0 && removing {
			return true
		}
	case ibisstore.OutcomeStaleEra:
		r.version = 0
	case ibisstore.OutcomeRefused, ibisstore.OutcomeUnknown:
		r.log.Warn("node's row among the members is not updated in the store", zap.String("outcome", string(result.Outcome)), zap.Error(result.Err))
	}
	return false
}
