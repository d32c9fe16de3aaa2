package ibisrangedriver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// Driver does the I/O for one Manager; it is safe for concurrent use.
type Driver struct {
	store ibisstore.Store
	clock ibistimer.Service
	log   *zap.Logger
	ctx   context.Context

	mu          sync.Mutex
	manager     *ibisrange.Manager
	service     ibisid.ServiceName
	changed     chan struct{}
	publishPage func(service ibisid.ServiceName, page ibisrange.Page, version uint64)
}

// New returns a Driver that runs the manager until the context ends. It calls publishPage with the known page after each
// event, so that pages which it commits or reads itself are in use before the feed of changes delivers them.
func New(ctx context.Context, manager *ibisrange.Manager, service ibisid.ServiceName, store ibisstore.Store, clock ibistimer.Service,
	publishPage func(service ibisid.ServiceName, page ibisrange.Page, version uint64), log *zap.Logger,
) *Driver {
	w := &Driver{
		store:       store,
		clock:       clock,
		log:         log,
		ctx:         ctx,
		manager:     manager,
		service:     service,
		changed:     make(chan struct{}),
		publishPage: publishPage,
	}
	ticks := clock.Every(ibisrange.TickPeriod, func(time.Time) { w.Update(ibisrange.TickEvent{}) })
	context.AfterFunc(ctx, ticks.Stop)
	return w
}

// Heartbeat applies a heartbeat of the backend server and returns the answer to it.
func (w *Driver) Heartbeat(e ibisrange.HeartbeatEvent) ibisrange.GrantEffect {
	return w.Update(e)
}

// Update passes an event to the manager and carries out its effects: it starts commits and reads, and returns the grant,
// which is zero unless the event is a heartbeat.
func (w *Driver) Update(event ibisrange.Event) ibisrange.GrantEffect {
	w.mu.Lock()
	effects := w.manager.Update(event, w.clock.Now())
	page, known := w.manager.Page()
	version := w.manager.PageVersion()
	switch event.(type) {
	case ibisrange.TickEvent, ibisrange.RefreshEvent:
	default:
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.mu.Unlock()
	if known {
		w.publishPage(w.service, page, version)
	}
	var grant ibisrange.GrantEffect
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisrange.GrantEffect:
			grant = e
		case ibisrange.CommitEffect:
			go w.commit(e)
		case ibisrange.ReadEffect:
			go w.read(e)
		case ibisrange.InvalidPageEffect:
			w.log.Warn("page row can't be decoded; the previous page stays in use", zap.String("service", string(w.service)), zap.Uint64("version", e.Version), zap.Error(e.Err))
		}
	}
	return grant
}

func (w *Driver) commit(e ibisrange.CommitEffect) {
	result := w.store.Commit(w.ctx, e.Commit)
	if e.Purpose != ibisrange.PurposeRenew || result.Outcome != ibisstore.OutcomeApplied {
		w.log.Info("commit of ownership",
			zap.String("service", string(w.service)),
			zap.String("purpose", string(e.Purpose)),
			zap.Uint64("commit", e.ID),
			zap.String("outcome", string(result.Outcome)),
			zap.Uint64("version", result.Version),
			zap.Error(result.Err))
	}
	w.Update(ibisrange.CommitEvent{
		ID:     e.ID,
		Result: result,
	})
}

func (w *Driver) read(e ibisrange.ReadEffect) {
	event := ibisrange.ReadEvent{
		RequestedAt: w.clock.Now(),
	}
	if e.Pages {
		event.Pages = w.readTable(ibisrange.TablePages)
	}
	if e.Leases {
		event.Leases = w.readTable(ibisrange.TableLeases)
	}
	w.Update(event)
}

// readTable reads the service's partition of a table; it returns nil if the store reports an error.
func (w *Driver) readTable(table string) *ibisstore.Snapshot {
	snapshot, err := w.store.Rows(w.ctx, table, string(w.service))
	if err != nil {
		w.log.Warn("ownership rows can't be read from the store; the rows read before stay in use", zap.String("table", table), zap.String("service", string(w.service)), zap.Error(err))
		return nil
	}
	return &snapshot
}

// StateOfKey returns the state of the key and the node that owns it or is planned to own it, empty if no range contains it.
func (w *Driver) StateOfKey(key int) (ibisrange.KeyState, ibisid.NodeName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager.StateOfKey(key, w.clock.Now())
}

// LeaseUntil returns the end of the node's lease, or the zero time if it has none.
func (w *Driver) LeaseUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager.LeaseUntil()
}

// Owns reports whether the node owns ranges in the page.
func (w *Driver) Owns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager.Owns()
}

// CountOwned returns the number of ranges that the node owns in the page, and the number of keys in them.
func (w *Driver) CountOwned() (ranges, keys int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager.CountOwned()
}

// PageVersion returns the version of the known page's row, or zero if no page is known.
func (w *Driver) PageVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager.PageVersion()
}

// Refresh requests a read of the page, as another node has referred to a newer version.
func (w *Driver) Refresh() { w.Update(ibisrange.RefreshEvent{}) }

// Changed returns a channel that is closed at the next event that may change the state of keys.
func (w *Driver) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// ReportServerEnded reports that the backend server's process has ended, as its port accepts no connections.
func (w *Driver) ReportServerEnded(incarnation ibisroster.ServerIncarnation) {
	w.Update(ibisrange.EndedEvent{
		Incarnation: incarnation,
	})
}
