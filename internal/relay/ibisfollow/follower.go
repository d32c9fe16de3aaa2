package ibisfollow

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
	// shortWait is used after a failure.
	shortWait = time.Second
	// firstPause and longestPause bound the pause after a failure; changes must be known again within 3 s of an outage.
	firstPause   = 200 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Options are what a follower follows.
type Options struct {
	// Table is the table.
	Table string
	// Parts returns the partitions of a whole read.
	Parts func() []string
	// Wait is how long the store holds a question without news; a lost one is noticed after that.
	Wait time.Duration
	// Gather is how long to let changes gather before the next question, as every answer costs a call.
	Gather time.Duration
	// Apply takes rows in; whole says that they are all rows of the partitions, as of the version.
	Apply func(rows []ibisstore.Row, whole bool, version uint64)
	// Reached tells whether the store answers, when that changes.
	Reached func(ok bool, err error)
}

// Follower follows one table.
type Follower struct {
	store   ibisstore.Store
	options Options
	log     *zap.Logger

	mu        sync.Mutex
	interrupt context.CancelFunc
	reread    bool
}

// New returns a follower that has read nothing.
func New(store ibisstore.Store, options Options, log *zap.Logger) *Follower {
	return &Follower{
		store:   store,
		options: options,
		log:     log,
	}
}

// Reread makes the follower read everything anew, at once.
func (f *Follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread = true
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	position := uint64(0)
	known := false
	failures := 0
	for ctx.Err() == nil {
		if f.takeReread() {
			known = false
		}
		var err error
		if !known {
			position, err = f.readWhole(ctx)
			known = err == nil
		} else {
			position, err = f.feed(ctx, position, failures > 0)
			if errors.Is(err, ibisstore.ErrHistoryLost) {
				f.log.Info("history of the store is lost, reading anew", zap.String("table", f.options.Table))
				known, err = false, nil
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				f.options.Reached(true, nil)
			}
			failures = 0
			continue
		}
		if failures == 0 {
			f.options.Reached(false, err)
		}
		failures++
		f.pause(ctx, failures)
	}
}

func (f *Follower) takeReread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reread
	f.reread = false
	return r
}

// pause waits longer after each failure, spread so that nodes don't ask together.
func (f *Follower) pause(ctx context.Context, failures int) {
	d := min(longestPause, firstPause<<min(failures-1, 4))
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	ibistimer.Sleep(ctx, d)
}

func (f *Follower) readWhole(ctx context.Context) (uint64, error) {
	var rows []ibisstore.Row
	version := uint64(0)
	for _, part := range f.options.Parts() {
		snapshot, err := f.store.Rows(ctx, f.options.Table, part)
		if err != nil {
			return 0, err
		}
		rows = append(rows, snapshot.Rows...)
		if version == 0 || snapshot.Version < version {
			version = snapshot.Version
		}
	}
	f.options.Apply(rows, true, version)
	return version, nil
}

func (f *Follower) feed(ctx context.Context, position uint64, short bool) (uint64, error) {
	wait := f.options.Wait
	if short {
		wait = shortWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	again := f.reread
	f.mu.Unlock()
	if again {
		return position, nil
	}
	changes, err := f.store.Feed(ctx, f.options.Table, position, wait)
	if err != nil {
		f.mu.Lock()
		again = f.reread
		f.mu.Unlock()
		if again {
			return position, nil
		}
		return position, err
	}
	if len(changes.Rows) > 0 {
		f.options.Apply(changes.Rows, false, changes.Version)
		if !changes.Gathered {
			ibistimer.Sleep(ctx, f.options.Gather)
		}
	}
	return max(position, changes.Version), nil
}
