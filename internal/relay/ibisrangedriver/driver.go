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
	d := &Driver{
		store:       store,
		clock:       clock,
		log:         log,
		ctx:         ctx,
		manager:     manager,
		service:     service,
		changed:     make(chan struct{}),
		publishPage: publishPage,
	}
	ticks := clock.Every(ibisrange.TickPeriod, func(time.Time) { d.Update(ibisrange.TickEvent{}) })
	context.AfterFunc(ctx, ticks.Stop)
	return d
}

// Heartbeat applies a heartbeat of the backend server and returns the answer to it.
func (d *Driver) Heartbeat(e ibisrange.HeartbeatEvent) ibisrange.GrantEffect {
	return d.Update(e)
}

// Update passes an event to the manager and carries out its effects: it starts commits and reads, and returns the grant,
// which is zero unless the event is a heartbeat.
func (d *Driver) Update(event ibisrange.Event) ibisrange.GrantEffect {
	d.mu.Lock()
	effects := d.manager.Update(event, d.clock.Now())
	page, known := d.manager.Page()
	version := d.manager.PageVersion()
	switch event.(type) {
	case ibisrange.TickEvent, ibisrange.RefreshEvent:
	default:
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	if known {
		d.publishPage(d.service, page, version)
	}
	var grant ibisrange.GrantEffect
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisrange.GrantEffect:
			grant = e
		case ibisrange.CommitEffect:
			go d.commit(e)
		case ibisrange.ReadEffect:
			go d.read(e)
		case ibisrange.InvalidPageEffect:
			d.log.Warn("page row can't be decoded; the previous page stays in use", zap.String("service", string(d.service)), zap.Uint64("version", e.Version), zap.Error(e.Err))
		}
	}
	return grant
}

func (d *Driver) commit(e ibisrange.CommitEffect) {
	result := d.store.Commit(d.ctx, e.Commit)
	if e.Purpose != ibisrange.PurposeRenew || result.Outcome != ibisstore.OutcomeApplied {
		d.log.Info("commit of ownership",
			zap.String("service", string(d.service)),
			zap.String("purpose", string(e.Purpose)),
			zap.Uint64("commit", e.ID),
			zap.String("outcome", string(result.Outcome)),
			zap.Uint64("version", result.Version),
			zap.Error(result.Err))
	}
	d.Update(ibisrange.CommitEvent{
		ID:     e.ID,
		Result: result,
	})
}

func (d *Driver) read(e ibisrange.ReadEffect) {
	event := ibisrange.ReadEvent{
		RequestedAt: d.clock.Now(),
	}
	if e.Pages {
		event.Pages = d.readTable(ibisrange.TablePages)
	}
	if e.Leases {
		event.Leases = d.readTable(ibisrange.TableLeases)
	}
	d.Update(event)
}

// readTable reads the service's partition of a table; it returns nil if the store reports an error.
func (d *Driver) readTable(table string) *ibisstore.Snapshot {
	snapshot, err := d.store.Rows(d.ctx, table, string(d.service))
	if err != nil {
		d.log.Warn("ownership rows can't be read from the store; the rows read before stay in use", zap.String("table", table), zap.String("service", string(d.service)), zap.Error(err))
		return nil
	}
	return &snapshot
}

// StateOfKey returns the state of the key and the node that owns it or is planned to own it, empty if no range contains it.
func (d *Driver) StateOfKey(key int) (ibisrange.KeyState, ibisid.NodeName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manager.StateOfKey(key, d.clock.Now())
}

// LeaseUntil returns the end of the node's lease, or the zero time if it has none.
func (d *Driver) LeaseUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manager.LeaseUntil()
}

// Owns reports whether the node owns ranges in the page.
func (d *Driver) Owns() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manager.Owns()
}

// CountOwned returns the number of ranges that the node owns in the page, and the number of keys in them.
func (d *Driver) CountOwned() (ranges, keys int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manager.CountOwned()
}

// PageVersion returns the version of the known page's row, or zero if no page is known.
func (d *Driver) PageVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manager.PageVersion()
}

// Refresh requests a read of the page, as another node has referred to a newer version.
func (d *Driver) Refresh() { d.Update(ibisrange.RefreshEvent{}) }

// Changed returns a channel that is closed at the next event that may change the state of keys.
func (d *Driver) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// ReportServerEnded reports that the backend server's process has ended, as its port accepts no connections.
func (d *Driver) ReportServerEnded(incarnation ibisroster.ServerIncarnation) {
	d.Update(ibisrange.EndedEvent{
		Incarnation: incarnation,
	})
}
