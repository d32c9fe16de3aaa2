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

// maxGrantCalls is the number of grants that are sent to the backend server at once. Releases are not counted: each waits for
// the work on its keys.
const maxGrantCalls = 4

// Caller makes calls to the backend server.
type Caller interface {
	// Call makes a call and returns its outcome, with the text for the next owner after an accepted release. It calls start
	// once a connection is ready, right before the call is written, and writes nothing if start doesn't allow it.
	Call(ctx context.Context, call ibisrange.CallEffect, start func() ibisrange.CallStartEffect) (outcome ibisrange.CallOutcome, handover string)
}

// Driver does the I/O for one Manager; it is safe for concurrent use.
type Driver struct {
	store ibisstore.Store
	// caller makes calls to the backend server, and grantSlots bounds those that grant.
	caller     Caller
	grantSlots chan struct{}
	clock      ibistimer.Service
	log        *zap.Logger
	ctx        context.Context

	mu          sync.Mutex
	manager     *ibisrange.Manager
	service     ibisid.ServiceName
	changed     chan struct{}
	publishPage func(service ibisid.ServiceName, page ibisrange.Page, version uint64)
}

// New returns a Driver that runs the manager until the context ends. It calls publishPage with the known page after each
// event, so that pages which it commits or reads itself are in use before the feed of changes delivers them.
func New(ctx context.Context, manager *ibisrange.Manager, service ibisid.ServiceName, store ibisstore.Store, caller Caller, clock ibistimer.Service,
	publishPage func(service ibisid.ServiceName, page ibisrange.Page, version uint64), log *zap.Logger,
) *Driver {
	d := &Driver{
		store:       store,
		caller:      caller,
		grantSlots:  make(chan struct{}, maxGrantCalls),
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

// Update passes an event to the manager and carries out its effects: it starts commits, reads and calls, and returns the
// grant, which is zero unless the event is a heartbeat.
func (d *Driver) Update(event ibisrange.Event) ibisrange.GrantEffect {
	var grant ibisrange.GrantEffect
	for _, effect := range d.apply(event) {
		if e, ok := effect.(ibisrange.GrantEffect); ok {
			grant = e
		}
	}
	return grant
}

// apply passes an event to the manager, starts the I/O that it requests and returns all effects.
func (d *Driver) apply(event ibisrange.Event) []ibisrange.Effect {
	d.mu.Lock()
	effects := d.manager.Update(event, d.clock.Now())
	page, known := d.manager.Page()
	version := d.manager.PageVersion()
	switch event.(type) {
	case ibisrange.TickEvent, ibisrange.RefreshEvent, ibisrange.CallReadyEvent:
	default:
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	if known {
		d.publishPage(d.service, page, version)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisrange.CommitEffect:
			go d.commit(e)
		case ibisrange.ReadEffect:
			go d.read(e)
		case ibisrange.CallEffect:
			go d.call(e)
		case ibisrange.InvalidPageEffect:
			d.log.Warn("page row can't be decoded; the previous page stays in use", zap.String("service", string(d.service)), zap.Uint64("version", e.Version), zap.Error(e.Err))
		}
	}
	return effects
}

// call makes a call to the backend server and reports its outcome to the manager.
func (d *Driver) call(e ibisrange.CallEffect) {
	if e.Kind == ibisrange.CallGrant {
		d.grantSlots <- struct{}{}
		defer func() { <-d.grantSlots }()
	}
	outcome, handover := d.caller.Call(d.ctx, e, func() ibisrange.CallStartEffect { return d.startCall(e.ID) })
	if e.Kind == ibisrange.CallRelease || outcome != ibisrange.CallAccepted {
		d.log.Info("call to the backend server",
			zap.String("service", string(d.service)),
			zap.String("kind", string(e.Kind)),
			zap.Uint64("call", e.ID),
			zap.Int("from", e.From),
			zap.Int("to", e.To),
			zap.Uint64("token", uint64(e.Token)),
			zap.String("outcome", string(outcome)))
	}
	d.Update(ibisrange.CallEvent{
		ID:       e.ID,
		Outcome:  outcome,
		Handover: handover,
	})
}

func (d *Driver) startCall(id uint64) ibisrange.CallStartEffect {
	effects := d.apply(ibisrange.CallReadyEvent{
		ID: id,
	})
	for _, effect := range effects {
		if start, ok := effect.(ibisrange.CallStartEffect); ok {
			return start
		}
	}
	return ibisrange.CallStartEffect{}
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
