package ibisevidence

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

const (
	// batchDelay is how long rows are collected; most requests that a server had when it ended are answered by another within it.
	batchDelay = 400 * time.Millisecond
	// retryDelay is the pause after a commit that the store did not apply.
	retryDelay = 500 * time.Millisecond
	// maxBatch is the number of rows in one commit.
	maxBatch = 100
	// maxRows bounds the rows that wait to be written and those that are kept for Rewrite; further ones are not shared.
	maxRows = 1024
)

// Reporter writes and removes rows of evidence. It is safe for concurrent use.
type Reporter struct {
	store ibisstore.Store
	log   *zap.Logger
	wake  chan struct{}
	now   func() time.Time

	mu sync.Mutex
	// pending holds the changes that wait.
	pending map[ibisstore.Key]change
	// lastChange is the number of the last change.
	lastChange uint64
	// sent holds the rows that a commit may have written although it was not known to be applied.
	sent ibisset.Set[ibisstore.Key]
	// written holds the rows that this node has written and nobody is known to have removed.
	written map[ibisstore.Key][]byte
}

// change is a row to write, or with a nil value one to remove. A later change of the row has another number, even if it is equal.
type change struct {
	value  []byte
	number uint64
}

// NewReporter returns a reporter whose rows Run writes; now returns the time of day.
func NewReporter(store ibisstore.Store, now func() time.Time, log *zap.Logger) *Reporter {
	return &Reporter{
		store:   store,
		log:     log,
		wake:    make(chan struct{}, 1),
		now:     now,
		pending: make(map[ibisstore.Key]change),
		sent:    make(ibisset.Set[ibisstore.Key]),
		written: make(map[ibisstore.Key][]byte),
	}
}

// Share shares that a server ended while it had a request.
func (r *Reporter) Share(f ibisquarantine.Fingerprint, server ibisquarantine.Server) {
	r.set(keyOf(f, server), encodeRow(r.now()))
}

// Withdraw withdraws what any node has shared of a request and a server.
func (r *Reporter) Withdraw(f ibisquarantine.Fingerprint, server ibisquarantine.Server) {
	key := keyOf(f, server)
	r.mu.Lock()
	waiting, waits := r.pending[key]
	if waits && waiting.value != nil && !r.sent.Has(key) {
		delete(r.pending, key)
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	r.set(key, nil)
}

// Observe applies rows as the store's feed delivered them, and removes expired ones.
func (r *Reporter) Observe(rows []ibisstore.Row) {
	for _, row := range rows {
		if row.Removed {
			r.mu.Lock()
			delete(r.written, row.Key)
			r.mu.Unlock()
			continue
		}
		if expired(row.Value, r.now()) {
			r.set(row.Key, nil)
		}
	}
}

// Rewrite writes the node's rows again, after the store may have lost them.
func (r *Reporter) Rewrite() {
	r.mu.Lock()
	for key, value := range r.written {
		if _, waits := r.pending[key]; !waits && !expired(value, r.now()) {
			r.add(key, value)
		}
	}
	clear(r.written)
	r.mu.Unlock()
	r.wakeUp()
}

func (r *Reporter) set(key ibisstore.Key, value []byte) {
	r.mu.Lock()
	full := len(r.pending) >= maxRows
	if !full {
		r.add(key, value)
	}
	r.mu.Unlock()
	if full {
		r.log.Warn("too many rows of evidence wait for the store; not shared", zap.String("row", key.Name))
		return
	}
	r.wakeUp()
}

// add adds a change; r.mu is held.
func (r *Reporter) add(key ibisstore.Key, value []byte) {
	r.lastChange++
	r.pending[key] = change{
		value:  value,
		number: r.lastChange,
	}
}

func (r *Reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes and removes rows until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		ibistimer.Sleep(ctx, batchDelay)
		for ctx.Err() == nil {
			more, ok := r.commit(ctx)
			if !ok {
				ibistimer.Sleep(ctx, retryDelay)
			} else if !more {
				break
			}
		}
	}
}

// commit writes and removes up to maxBatch rows. It reports whether more of them wait and whether the store applied the commit; a row
// is its own only content, so a commit without an answer is repeated.
func (r *Reporter) commit(ctx context.Context) (more, ok bool) {
	batch := r.nextBatch()
	if len(batch) == 0 {
		return false, true
	}
	var commit ibisstore.Commit
	for _, key := range slices.SortedFunc(maps.Keys(batch), compareKeys) {
		if batch[key].value == nil {
			commit.Removes = append(commit.Removes, key)
			continue
		}
		commit.Writes = append(commit.Writes, ibisstore.Write{
			Key:   key,
			Value: batch[key].value,
		})
	}
	if result := r.store.Commit(ctx, commit); result.Outcome != ibisstore.OutcomeApplied {
		r.log.Warn("evidence of ended servers is not in the store yet", zap.String("outcome", string(result.Outcome)), zap.Error(result.Err))
		return true, false
	}
	return r.finish(batch), true
}

// nextBatch returns rows that wait, maxBatch at most.
func (r *Reporter) nextBatch() map[ibisstore.Key]change {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := make(map[ibisstore.Key]change)
	for key, next := range r.pending {
		if len(batch) == maxBatch {
			break
		}
		batch[key] = next
		r.sent.Add(key)
	}
	return batch
}

// finish records that a batch is in the store and reports whether more rows wait. A row that was changed since then, even to the
// same, waits on.
func (r *Reporter) finish(batch map[ibisstore.Key]change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, done := range batch {
		r.sent.Remove(key)
		if r.pending[key].number == done.number {
			delete(r.pending, key)
		}
		switch {
		case done.value == nil:
			delete(r.written, key)
		case len(r.written) < maxRows:
			r.written[key] = done.value
		}
	}
	return len(r.pending) > 0
}

func compareKeys(a, b ibisstore.Key) int { return cmp.Compare(a.Name, b.Name) }
