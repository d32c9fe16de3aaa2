package ibiswarden

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// Warden drives one keeper; it is safe for concurrent use.
type Warden struct {
	store ibisstore.Store
	clock ibistimer.Service
	log   *zap.Logger
	done  context.Context

	mu      sync.Mutex
	keeper  *ibiskeep.Keeper
	service ibisid.ServiceName
	changed chan struct{}
	pageOut func(service ibisid.ServiceName, page ibiskeep.Page, version uint64)
}

// New returns a warden that drives the keeper until the context ends. Pages that it commits or reads itself go to
// pageOut, ahead of the feed.
func New(ctx context.Context, keeper *ibiskeep.Keeper, service ibisid.ServiceName, store ibisstore.Store, clock ibistimer.Service,
	pageOut func(service ibisid.ServiceName, page ibiskeep.Page, version uint64), log *zap.Logger,
) *Warden {
	w := &Warden{
		store:   store,
		clock:   clock,
		log:     log,
		done:    ctx,
		keeper:  keeper,
		service: service,
		changed: make(chan struct{}),
		pageOut: pageOut,
	}
	ticks := clock.Every(ibiskeep.TickPeriod, func(time.Time) { w.Update(ibiskeep.TickEvent{}) })
	context.AfterFunc(ctx, ticks.Stop)
	return w
}

// Heartbeat takes a heartbeat of the backend server in and returns the answer to it.
func (w *Warden) Heartbeat(e ibiskeep.HeartbeatEvent) ibiskeep.GrantEffect {
	return w.Update(e)
}

// Update hands an event to the keeper and carries its effects out.
func (w *Warden) Update(event ibiskeep.Event) ibiskeep.GrantEffect {
	w.mu.Lock()
	effects := w.keeper.Update(event, w.clock.Now())
	page, known := w.keeper.Page()
	version := w.keeper.PageVersion()
	switch event.(type) {
	case ibiskeep.TickEvent, ibiskeep.RefreshEvent:
	default:
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.mu.Unlock()
	if known {
		w.pageOut(w.service, page, version)
	}
	var grant ibiskeep.GrantEffect
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibiskeep.GrantEffect:
			grant = e
		case ibiskeep.CommitEffect:
			go w.commit(e)
		case ibiskeep.ReadEffect:
			go w.read(e)
		case ibiskeep.InvalidPageEffect:
			w.log.Warn("page can't be read, the old one stays", zap.String("service", string(w.service)), zap.Uint64("version", e.Version), zap.Error(e.Err))
		}
	}
	return grant
}

func (w *Warden) commit(e ibiskeep.CommitEffect) {
	result := w.store.Commit(w.done, e.Commit)
	if e.Purpose != ibiskeep.PurposeRenew || result.Outcome != ibisstore.OutcomeApplied {
		w.log.Info("commit of ownership",
			zap.String("service", string(w.service)),
			zap.String("purpose", string(e.Purpose)),
			zap.Uint64("commit", e.ID),
			zap.String("outcome", string(result.Outcome)),
			zap.Uint64("version", result.Version),
			zap.Error(result.Err))
	}
	w.Update(ibiskeep.CommitEvent{
		ID:     e.ID,
		Result: result,
	})
}

func (w *Warden) read(e ibiskeep.ReadEffect) {
	event := ibiskeep.ReadEvent{
		RequestedAt: w.clock.Now(),
	}
	if e.Pages {
		event.Pages = w.rows(ibiskeep.TablePages)
	}
	if e.Leases {
		event.Leases = w.rows(ibiskeep.TableLeases)
	}
	w.Update(event)
}

// rows reads the service's partition of a table; nil where the store doesn't answer.
func (w *Warden) rows(table string) *ibisstore.Snapshot {
	snapshot, err := w.store.Rows(w.done, table, string(w.service))
	if err != nil {
		w.log.Warn("rows of ownership can't be read", zap.String("table", table), zap.String("service", string(w.service)), zap.Error(err))
		return nil
	}
	return &snapshot
}

// Stand returns where a key stands and the node that owns it.
func (w *Warden) Stand(key int) (ibiskeep.Standing, ibisid.NodeName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keeper.KeyState(key, w.clock.Now())
}

// LeaseUntil returns the end of the node's lease, zero where it has none.
func (w *Warden) LeaseUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keeper.LeaseUntil()
}

// Owns reports whether the node owns ranges.
func (w *Warden) Owns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keeper.Owns()
}

// Owned returns the number of ranges that the node owns, and of keys in them.
func (w *Warden) Owned() (ranges, keys int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keeper.Owned()
}

// PageVersion returns the version of the page that answers are given from.
func (w *Warden) PageVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keeper.PageVersion()
}

// Refresh asks for the newest page, since somebody knows of a newer one.
func (w *Warden) Refresh() { w.Update(ibiskeep.RefreshEvent{}) }

// Changed returns a channel that is closed when grants may have changed.
func (w *Warden) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Ended says that the backend server's port takes no connections.
func (w *Warden) Ended(life ibisroster.Life) {
	w.Update(ibiskeep.EndedEvent{
		Life: life,
	})
}
