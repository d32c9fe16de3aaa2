package ibiswarden

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// PartMembers is the partition of the members' rows; no service may have its name.
const PartMembers = "~members"

// registerRetry is the pause after a write that the store didn't do.
const registerRetry = 500 * time.Millisecond

// Registrar writes the node's own row among the members whenever it differs from what the store has.
type Registrar struct {
	store ibisstore.Store
	log   *zap.Logger
	wake  chan struct{}

	mu      sync.Mutex
	want    ibisroster.Member
	remove  bool
	version uint64
	written string
}

// NewRegistrar returns a registrar that writes nothing before it is told what.
func NewRegistrar(store ibisstore.Store, log *zap.Logger) *Registrar {
	return &Registrar{
		store: store,
		log:   log,
		wake:  make(chan struct{}, 1),
	}
}

// Set says what the node's row must hold.
func (r *Registrar) Set(m ibisroster.Member) {
	r.mu.Lock()
	r.want = m
	r.mu.Unlock()
	r.nudge()
}

// Remove says that the row must go, and returns once it has or the context ends.
func (r *Registrar) Remove(ctx context.Context) {
	r.mu.Lock()
	r.remove = true
	r.mu.Unlock()
	r.step(ctx)
}

// Registered reports whether the store has the row as it must be.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written != ""
}

// Seen takes the row in as a feed showed it: a row that went, or that another run of the node wrote, is written again.
func (r *Registrar) Seen(version uint64, value []byte) {
	r.mu.Lock()
	stale := r.written != "" && version > r.version && string(value) != r.written && !r.remove
	if stale {
		r.version = version
		if value == nil {
			r.version = 0
		}
		r.written = ""
	}
	r.mu.Unlock()
	if stale {
		r.nudge()
	}
}

func (r *Registrar) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes the row until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for ctx.Err() == nil && !r.step(ctx) {
			ibistimer.Sleep(ctx, registerRetry)
		}
	}
}

// step writes or removes the row once, and reports whether nothing is left to do.
func (r *Registrar) step(ctx context.Context) bool {
	r.mu.Lock()
	want, remove, version, written := r.want, r.remove, r.version, r.written
	r.mu.Unlock()
	if want.Node == "" {
		return true
	}
	value := want.Encode()
	if !remove && written == string(value) {
		return true
	}
	key := ibisstore.Key{
		Table: ibiskeep.TablePages,
		Part:  PartMembers,
		Name:  string(want.Node),
	}
	commit := ibisstore.Commit{
		Conditions: []ibisstore.Condition{{
			Key:     key,
			Version: version,
		}},
	}
	if remove {
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
		return remove || string(r.want.Encode()) == r.written
	case ibisstore.OutcomeConflict:
		r.version = 0
		for _, row := range result.Rows {
			if row.Key == key && !row.Removed {
				r.version = row.Version
			}
		}
		if r.version == 0 && remove {
			return true
		}
	case ibisstore.OutcomeRefused, ibisstore.OutcomeUnknown:
		r.log.Warn("row of the node is not written", zap.String("outcome", string(result.Outcome)), zap.Error(result.Err))
	}
	return false
}
