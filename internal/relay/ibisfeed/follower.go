package ibisfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// retryWait replaces Options.FeedWait in feed requests after a failure: a request that is lost right before an outage ends
	// is given up after this time and the store's timeout of 1.5 s.
	retryWait = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failure, before jitter lengthens it by up to half; changes must be
	// applied again within 2.5 s of the end of an outage.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	// Table is the name of the table.
	Table string
	// Partitions returns the partitions that a full read covers.
	Partitions func() []string
	// FeedWait is how long the store holds a feed request while there are no changes. The loss of a request is detected only
	// after this time.
	FeedWait time.Duration
	// BatchDelay is the delay between changes and the next feed request. It batches changes, since every answer costs a call.
	BatchDelay time.Duration
	// Apply is called with what was read. If full is true, it holds all rows of the partitions; otherwise it holds the changes
	// up to its version.
	Apply func(read ibisstore.Snapshot, full bool)
	// OnReachabilityChange is called when the store stops answering, with the error, and when it answers again.
	OnReachabilityChange func(reachable bool, err error)
}

// Follower follows one table of the store.
type Follower struct {
	store   ibisstore.Store
	options Options
	log     *zap.Logger

	mu              sync.Mutex
	cancelFeed      context.CancelFunc
	rereadRequested bool

	// applying makes changes apply one after the other; it is locked before the locks of what Apply calls.
	applying sync.Mutex
	// position is the version up to which the table was applied; known means that it was read in full once.
	position uint64
	known    bool
}

// New returns a follower that has not read the table yet.
func New(store ibisstore.Store, options Options, log *zap.Logger) *Follower {
	return &Follower{
		store:   store,
		options: options,
		log:     log,
	}
}

// Reread makes the follower cancel its current feed request and read the table in full again.
func (f *Follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rereadRequested = true
	if f.cancelFeed != nil {
		f.cancelFeed()
	}
}

// Position returns the version up to which the table was applied, and false before it was read once.
func (f *Follower) Position() (uint64, bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	return f.position, f.known
}

// Offer applies the changes between two versions that another node has read, unless it has them already or lacks changes before
// them; after version zero, rows returns the whole table. It calls rows only if it applies them, and fails if that does. Changes of
// another era than that of the follower's own last answer from the store are not applied.
func (f *Follower) Offer(after, version uint64, rows func() ([]ibisstore.Row, error)) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	if !f.known || after > f.position || version <= f.position || ibisstore.EraOf(version) != ibisstore.EraOf(f.position) {
		return nil
	}
	read, err := rows()
	if err != nil {
		return err
	}
	changes := ibisstore.Snapshot{
		Rows:    read,
		Version: version,
	}
	if after > 0 {
		f.applyChanges(changes)
		return nil
	}
	f.options.Apply(changes, true)
	f.position = version
	return nil
}

// applyChanges applies those of the changes that are newer than the position, and moves the position; f.applying is held.
func (f *Follower) applyChanges(changes ibisstore.Snapshot) {
	changes.Rows = slices.DeleteFunc(changes.Rows, func(row ibisstore.Row) bool { return row.Version <= f.position })
	if len(changes.Rows) > 0 {
		f.options.Apply(changes, false)
	}
	f.position = max(f.position, changes.Version)
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	haveSnapshot := false
	failures := 0
	for ctx.Err() == nil {
		if f.takeRereadRequest() {
			haveSnapshot = false
		}
		var err error
		if !haveSnapshot {
			haveSnapshot, err = f.readSnapshot(ctx)
		} else {
			err = f.feed(ctx, failures > 0)
			if errors.Is(err, ibisstore.ErrHistoryLost) {
				f.log.Info("store no longer has the changes after this position, reading the table in full", zap.String("table", f.options.Table), zap.Error(err))
				haveSnapshot, err = false, nil
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				f.options.OnReachabilityChange(true, nil)
			}
			failures = 0
			continue
		}
		if failures == 0 {
			f.options.OnReachabilityChange(false, err)
		}
		failures++
		f.backOff(ctx, failures)
	}
}

func (f *Follower) takeRereadRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	requested := f.rereadRequested
	f.rereadRequested = false
	return requested
}

// backOff waits for a delay that grows with consecutive failures, with jitter so that nodes don't retry at the same time.
func (f *Follower) backOff(ctx context.Context, failures int) {
	delay := min(maxBackoff, minBackoff<<min(failures-1, 4))
	delay = delay/2 + time.Duration(rand.Int64N(int64(delay)))
	ibistimer.Sleep(ctx, delay)
}

// readSnapshot reads and applies the whole table. It reports false without an error, after a pause, if changes from another node
// are newer.
func (f *Follower) readSnapshot(ctx context.Context) (bool, error) {
	var read ibisstore.Snapshot
	for _, partition := range f.options.Partitions() {
		snapshot, err := f.store.Rows(ctx, f.options.Table, partition)
		if err != nil {
			return false, err
		}
		read.Rows = append(read.Rows, snapshot.Rows...)
		read.Transfer += snapshot.Transfer
		// The feed continues after the oldest version, so that it misses no change of any partition.
		if read.Version == 0 || snapshot.Version < read.Version {
			read.Version = snapshot.Version
		}
	}
	if f.applySnapshot(read) {
		return true, nil
	}
	ibistimer.Sleep(ctx, minBackoff)
	return false, nil
}

// applySnapshot applies a full read, and reports false if changes from another node are newer.
func (f *Follower) applySnapshot(read ibisstore.Snapshot) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	if read.Version < f.position {
		return false
	}
	f.options.Apply(read, true)
	f.position, f.known = read.Version, true
	return true
}

// feed waits for changes after the position and applies them.
func (f *Follower) feed(ctx context.Context, retrying bool) error {
	wait := f.options.FeedWait
	if retrying {
		wait = retryWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelFeed = cancel
	pending := f.rereadRequested
	f.mu.Unlock()
	// Reread can't cancel the request if it was called before cancelFeed was set.
	if pending {
		return nil
	}
	after, _ := f.Position()
	changes, err := f.store.Feed(ctx, f.options.Table, after, wait)
	if err != nil {
		f.mu.Lock()
		pending = f.rereadRequested
		f.mu.Unlock()
		// A request that Reread cancelled is no failure of the store.
		if pending {
			return nil
		}
		return err
	}
	changed := len(changes.Rows) > 0
	f.applying.Lock()
	f.applyChanges(changes)
	f.applying.Unlock()
	if changed && !changes.Batched {
		ibistimer.Sleep(ctx, f.options.BatchDelay)
	}
	return nil
}
