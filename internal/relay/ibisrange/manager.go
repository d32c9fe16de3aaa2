package ibisrange

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// TablePages is the table of the pages, one partition per service, and of the members' rows; every node follows its changes.
	TablePages = "ibis"
	// TableLeases is the table of the leases, one partition per service; nodes read it instead of following its changes, as
	// every renewal changes it.
	TableLeases = "ibisLeases"

	pageName = "page"
	// frequentReaders is the number of nodes that read the leases at each renewal: the coordinator and two stand-ins.
	frequentReaders = 3

	// clockDriftMargin is the relative drift allowed between the node's clock and a backend server's or the store's: twice
	// the specified 2%.
	clockDriftMargin = 0.04
	// grantSlack is the minimum time between the end of a grant and the end of the lease; it covers rounding to milliseconds.
	grantSlack = 50 * time.Millisecond
	// minGrant is the shortest grant that is given: the backend server must complete its next heartbeat before it ends.
	minGrant = 300 * time.Millisecond
	// answerLifetime is how long after a heartbeat its answer may still be applied; the backend server discards answers
	// after 1 s.
	answerLifetime = 1500 * time.Millisecond
	// retryDelay is the pause after a commit or read that the store refused or didn't answer.
	retryDelay = 600 * time.Millisecond
	// minRefreshInterval is the shortest time between two reads of the page that a RefreshEvent causes.
	minRefreshInterval = 200 * time.Millisecond
	// TickPeriod is the longest time between two TickEvents.
	TickPeriod = 250 * time.Millisecond
)

// Config identifies the node of a manager and sets its times.
type Config struct {
	// Node is the name of the manager's own node.
	Node ibisid.NodeName
	// Service is the service of the backend server.
	Service ibisid.ServiceName
	// Incarnation identifies the run of the node.
	Incarnation ibisid.Incarnation
	// Heartbeat is the usual time between two heartbeats of the backend server.
	Heartbeat time.Duration
	// MaxGrant is the longest grant that a backend server accepts.
	MaxGrant time.Duration
	// LeaseTerm is how long a lease is valid, counted from when its renewal was sent.
	LeaseTerm time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
}

// Manager decides on the ranges of one service at one node. It is not safe for concurrent use.
type Manager struct {
	config          Config
	sharded         bool
	excludedDomains ibisset.Set[ibisid.DomainName]
	homeRegions     []ibisid.RegionName
	members         []ibisroster.Member

	server       server
	lease        lease
	peers        map[ibisid.NodeName]peerLease
	leasesReadAt time.Time
	page         Page
	pageVersion  uint64
	pageKnown    bool
	// pageStale means that other nodes may have changed the page since it was read, so that nothing is granted or proposed.
	pageStale        bool
	readPending      bool
	readRetryAt      time.Time
	refreshRequested bool
	refreshedAt      time.Time
	pending          *pendingCommit
	clock            storeClock
	// dutySince is since when a coordination duty has been due, zero if none is.
	dutySince    time.Time
	rebalancedAt time.Time
	lastCommitID uint64
	effects      []Effect
}

// server is the state of the backend server beside the node.
type server struct {
	incarnation    ibisroster.ServerIncarnation
	seq            uint64
	leaving        bool
	ended          bool
	lastHeartbeat  time.Time
	firstHeartbeat time.Time
	grantedUntil   time.Time
	grants         []grantedSpan
	reported       []Held
	released       []Released
}

// grantedSpan is a span that the backend server may hold because the answer to a heartbeat granted it.
type grantedSpan struct {
	Span
	grantedAt time.Time
}

// New returns a manager without members, page or lease.
func New(config Config) *Manager {
	return &Manager{
		config:    config,
		peers:     make(map[ibisid.NodeName]peerLease),
		pageStale: true,
	}
}

// Update applies one event and returns the effects to carry out, in order.
func (k *Manager) Update(event Event, now time.Time) []Effect {
	k.effects = nil
	switch e := event.(type) {
	case HeartbeatEvent:
		k.handleHeartbeat(e, now)
	case DeregisteredEvent:
		if e.ID == k.server.incarnation.ID {
			k.server.leaving = true
		}
	case EndedEvent:
		if e.Incarnation == k.server.incarnation && !k.server.ended {
			k.server.ended = true
			k.server.grantedUntil = now
		}
	case MembersEvent:
		k.members = e.Members
	case PolicyEvent:
		k.sharded, k.excludedDomains, k.homeRegions = e.Sharded, e.OutDomains, e.HomeRegions
	case PageEvent:
		k.applyPage(e.Row)
	case ReadEvent:
		k.handleRead(e, now)
	case CommitEvent:
		k.handleCommit(e, now)
	case RefreshEvent:
		k.refreshRequested = now.Sub(k.refreshedAt) >= minRefreshInterval
	case TickEvent:
	}
	if k.sharded {
		k.emitDueEffects(now)
	}
	return k.effects
}

// Owns reports whether the own node owns ranges in the page.
func (k *Manager) Owns() bool {
	for _, r := range k.page.Ranges {
		if r.Owner.Node == k.config.Node {
			return true
		}
	}
	return false
}

// Owned returns the number of ranges that the own node owns in the page, and the number of keys in them.
func (k *Manager) Owned() (ranges, keys int) {
	for _, r := range k.page.Ranges {
		if r.Owner.Node == k.config.Node {
			ranges++
			keys += r.Width()
		}
	}
	return ranges, keys
}

// Page returns the newest known page, and whether there is one.
func (k *Manager) Page() (Page, bool) { return k.page, k.pageKnown }

// LeaseUntil returns the end of the node's lease, or the zero time if it has none.
func (k *Manager) LeaseUntil() time.Time { return k.lease.until }

func (k *Manager) emit(e Effect) { k.effects = append(k.effects, e) }

func (k *Manager) pageKey() ibisstore.Key {
	return ibisstore.Key{
		Table:     TablePages,
		Partition: string(k.config.Service),
		Name:      pageName,
	}
}

func (k *Manager) leaseKey(node ibisid.NodeName) ibisstore.Key {
	return ibisstore.Key{
		Table:     TableLeases,
		Partition: string(k.config.Service),
		Name:      string(node),
	}
}

// applyPage replaces the page by a newer row; a row that can't be decoded leaves the page unchanged and is reported by an
// InvalidPageEffect.
func (k *Manager) applyPage(row ibisstore.Row) {
	if row.Key.Name != pageName || row.Removed || row.Version <= k.pageVersion {
		return
	}
	page, err := DecodePage(row.Value)
	if err != nil {
		k.emit(InvalidPageEffect{
			Version: row.Version,
			Err:     err,
		})
		return
	}
	k.page = page
	k.pageVersion = row.Version
	k.pageKnown = true
	if k.pending != nil && !k.pending.sent {
		// A newer page decides the fate of a commit without an answer: it has taken effect or it never will.
		k.pending = nil
	}
}

func (k *Manager) handleRead(e ReadEvent, now time.Time) {
	k.readPending = false
	if e.Pages == nil && e.Leases == nil {
		k.readRetryAt = now.Add(retryDelay)
		return
	}
	if e.Pages != nil {
		for _, row := range e.Pages.Rows {
			k.applyPage(row)
		}
		k.pageStale = k.pageStale && e.RequestedAt.Before(k.lease.validSince)
	}
	if e.Leases != nil {
		k.observeClock(e.Leases.Clock, e.RequestedAt)
		k.applyLeases(*e.Leases, now)
	}
}

// emitDueEffects emits the renewal, read and commit that are due in the current state.
func (k *Manager) emitDueEffects(now time.Time) {
	k.planRenewal(now)
	k.planRead(now)
	if k.pending != nil {
		if !k.pending.sent && !now.Before(k.pending.retryAt) {
			k.pending.sent = true
			k.emit(CommitEffect{
				ID:      k.pending.id,
				Purpose: k.pending.purpose,
				Commit:  k.pending.commit,
			})
		}
		return
	}
	if !k.leaseValid(now) || k.pageStale {
		return
	}
	if k.pageKnown && k.planHandover(now) {
		return
	}
	k.coordinate(now)
}

func (k *Manager) planRead(now time.Time) {
	if k.readPending || now.Before(k.readRetryAt) || !k.leaseValid(now) {
		return
	}
	pages := k.pageStale || k.refreshRequested
	leases := now.Sub(k.leasesReadAt) >= k.leaseReadInterval()
	if !pages && !leases {
		return
	}
	k.readPending = true
	if pages {
		k.refreshRequested, k.refreshedAt = false, now
	}
	k.emit(ReadEffect{
		Pages:  pages,
		Leases: leases,
	})
}

// leaseReadInterval returns the time between two reads of the leases. The nodes that rank first for coordination read them
// at each renewal, the others half as often: they must still distinguish a lapsed lease from a valid one when they have to
// coordinate.
func (k *Manager) leaseReadInterval() time.Duration {
	if k.rank() < frequentReaders {
		return k.config.RenewInterval
	}
	return 2 * k.config.RenewInterval
}

// PageVersion returns the version of the page's row, or zero if no page is known.
func (k *Manager) PageVersion() uint64 { return k.pageVersion }
