package ibisfeed

import (
	"context"
	"errors"
	"math/rand/v2"
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

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	position := uint64(0)
	haveSnapshot := false
	failures := 0
	for ctx.Err() == nil {
		if f.takeRereadRequest() {
			haveSnapshot = false
		}
		var err error
		if !haveSnapshot {
			position, err = f.readSnapshot(ctx)
			haveSnapshot = err == nil
		} else {
			position, err = f.feed(ctx, position, failures > 0)
			if errors.Is(err, ibisstore.ErrHistoryLost) {
				f.log.Info("store no longer has the changes after this position, reading the table in full", zap.String("table", f.options.Table), zap.Uint64("position", position))
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

func (f *Follower) readSnapshot(ctx context.Context) (uint64, error) {
	var read ibisstore.Snapshot
	for _, partition := range f.options.Partitions() {
		snapshot, err := f.store.Rows(ctx, f.options.Table, partition)
		if err != nil {
			return 0, err
		}
		read.Rows = append(read.Rows, snapshot.Rows...)
		read.Transfer += snapshot.Transfer
		// The feed continues after the oldest version, so that it misses no change of any partition.
		if read.Version == 0 || snapshot.Version < read.Version {
			read.Version = snapshot.Version
		}
	}
	f.options.Apply(read, true)
	return read.Version, nil
}

func (f *Follower) feed(ctx context.Context, position uint64, retrying bool) (uint64, error) {
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
		return position, nil
	}
	changes, err := f.store.Feed(ctx, f.options.Table, position, wait)
	if err != nil {
		f.mu.Lock()
		pending = f.rereadRequested
		f.mu.Unlock()
		// A request that Reread cancelled is no failure of the store.
		if pending {
			return position, nil
		}
		return position, err
	}
	if len(changes.Rows) > 0 {
		f.options.Apply(changes, false)
		if !changes.Batched {
			ibistimer.Sleep(ctx, f.options.BatchDelay)
		}
	}
	return max(position, changes.Version), nil
}
