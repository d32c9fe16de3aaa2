package ibiskeep

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// TablePages holds the pages, a partition a service, and the members; every node follows it.
	TablePages = "ibis"
	// TableLeases holds the leases, a partition a service; nobody follows it, as it changes all the time.
	TableLeases = "ibisLeases"

	pageName = "page"
	// frequentReaders is how many nodes read the leases at each renewal: one that coordinates and two that stand in.
	frequentReaders = 3

	// driftShare is how much faster than the node's a backend server's clock may be taken to run: 2% stated, and as much again.
	driftShare = 0.04
	// grantSlack is kept between the end of a grant and the end of the lease, for the rounding to milliseconds.
	grantSlack = 50 * time.Millisecond
	// minGrant is the shortest grant worth giving: a backend server must get its next heartbeat through meanwhile.
	minGrant = 300 * time.Millisecond
	// staleAnswer is how long an answer to a heartbeat may still be taken; the backend server drops it after a second.
	staleAnswer = 1500 * time.Millisecond
	// retryAfter is the pause after a commit or read that the store didn't do.
	retryAfter = 600 * time.Millisecond
	// refreshEvery is the shortest time between two reads of the page that requests ask for.
	refreshEvery = 200 * time.Millisecond
	// TickPeriod is the longest time between two tick events.
	TickPeriod = 250 * time.Millisecond
)

// Config is what a keeper knows of its node and the platform.
type Config struct {
	// Node is the own node.
	Node ibisid.NodeName
	// Service is the service of the backend server.
	Service ibisid.ServiceName
	// Incarnation is the run of the node.
	Incarnation ibisid.Incarnation
	// Heartbeat is the usual time between two heartbeats of the backend server.
	Heartbeat time.Duration
	// HoldMax is the longest grant that a backend server takes.
	HoldMax time.Duration
	// LeaseTerm is how long a lease lasts after its renewal was sent.
	LeaseTerm time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
}

// Keeper decides on the ranges of one service at one node.
type Keeper struct {
	config  Config
	sharded bool
	out     ibisset.Set[ibisid.DomainName]
	homes   []ibisid.RegionName
	members []ibisroster.Member

	server    server
	lease     lease
	peers     map[ibisid.NodeName]peerLease
	leasesAt  time.Time
	page      Page
	pageRow   uint64
	pageKnown bool
	pageStale bool
	reading   bool
	retryRead time.Time
	refresh   bool
	refreshed time.Time
	pending   *pendingCommit
	clock     storeClock
	needSince time.Time
	balanceAt time.Time
	lastID    uint64
	effects   []Effect
}

// server is what a keeper knows of its backend server.
type server struct {
	life       ibisroster.Life
	seq        uint64
	leaving    bool
	ended      bool
	lastBeat   time.Time
	firstBeat  time.Time
	grantUntil time.Time
	grants     []granted
	reported   []Held
	released   []Released
}

// granted is a span that the backend server may hold because an answer named it.
type granted struct {
	Span
	at time.Time
}

// New returns a keeper that knows nothing yet.
func New(config Config) *Keeper {
	return &Keeper{
		config:    config,
		peers:     make(map[ibisid.NodeName]peerLease),
		pageStale: true,
	}
}

// Update takes one event in and returns what follows from it, in order.
func (k *Keeper) Update(event Event, now time.Time) []Effect {
	k.effects = nil
	switch e := event.(type) {
	case HeartbeatEvent:
		k.heartbeat(e, now)
	case FarewellEvent:
		if e.ID == k.server.life.ID {
			k.server.leaving = true
		}
	case EndedEvent:
		if e.Life == k.server.life && !k.server.ended {
			k.server.ended = true
			k.server.grantUntil = now
		}
	case MembersEvent:
		k.members = e.Members
	case PolicyEvent:
		k.sharded, k.out, k.homes = e.Sharded, e.Out, e.Homes
	case PageEvent:
		k.takePage(e.Row)
	case ReadEvent:
		k.read(e, now)
	case CommitEvent:
		k.committed(e, now)
	case RefreshEvent:
		k.refresh = now.Sub(k.refreshed) >= refreshEvery
	case TickEvent:
	}
	if k.sharded {
		k.plan(now)
	}
	return k.effects
}

// Owns reports whether the page gives ranges to the own node.
func (k *Keeper) Owns() bool {
	for _, r := range k.page.Ranges {
		if r.Owner.Node == k.config.Node {
			return true
		}
	}
	return false
}

// Owned returns the number of ranges that the page gives to the own node, and of keys in them.
func (k *Keeper) Owned() (ranges, keys int) {
	for _, r := range k.page.Ranges {
		if r.Owner.Node == k.config.Node {
			ranges++
			keys += r.Width()
		}
	}
	return ranges, keys
}

// Page returns the page as it is known, and whether one is.
func (k *Keeper) Page() (Page, bool) { return k.page, k.pageKnown }

// LeaseUntil returns the end of the node's lease, zero where it has none.
func (k *Keeper) LeaseUntil() time.Time { return k.lease.until }

func (k *Keeper) emit(e Effect) { k.effects = append(k.effects, e) }

func (k *Keeper) pageKey() ibisstore.Key {
	return ibisstore.Key{
		Table: TablePages,
		Part:  string(k.config.Service),
		Name:  pageName,
	}
}

func (k *Keeper) leaseKey(node ibisid.NodeName) ibisstore.Key {
	return ibisstore.Key{
		Table: TableLeases,
		Part:  string(k.config.Service),
		Name:  string(node),
	}
}

// takePage takes a row of the page in if it is newer; one that can't be read leaves the page as it was, and is told of.
func (k *Keeper) takePage(row ibisstore.Row) {
	if row.Key.Name != pageName || row.Removed || row.Version <= k.pageRow {
		return
	}
	page, err := DecodePage(row.Value)
	if err != nil {
		k.emit(UnreadableEffect{
			Version: row.Version,
			Err:     err,
		})
		return
	}
	k.page = page
	k.pageRow = row.Version
	k.pageKnown = true
	if k.pending != nil && !k.pending.sent {
		// A newer page settles a commit without an answer: it took effect, or never will.
		k.pending = nil
	}
}

func (k *Keeper) read(e ReadEvent, now time.Time) {
	k.reading = false
	if e.Pages == nil && e.Leases == nil {
		k.retryRead = now.Add(retryAfter)
		return
	}
	if e.Pages != nil {
		for _, row := range e.Pages.Rows {
			k.takePage(row)
		}
		k.pageStale = k.pageStale && e.Asked.Before(k.lease.began)
	}
	if e.Leases != nil {
		k.takeClock(e.Leases.Clock, e.Asked)
		k.takeLeases(*e.Leases, now)
	}
}

// plan asks for what the state calls for.
func (k *Keeper) plan(now time.Time) {
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

func (k *Keeper) planRead(now time.Time) {
	if k.reading || now.Before(k.retryRead) || !k.leaseValid(now) {
		return
	}
	pages := k.pageStale || k.refresh
	leases := now.Sub(k.leasesAt) >= k.readEvery()
	if !pages && !leases {
		return
	}
	k.reading = true
	if pages {
		k.refresh, k.refreshed = false, now
	}
	k.emit(ReadEffect{
		Pages:  pages,
		Leases: leases,
	})
}

// readEvery is how often the leases are read. The nodes that come first in coordinating read them at each renewal, the
// others half as often: they must still tell a lapsed lease from a live one when their turn comes.
func (k *Keeper) readEvery() time.Duration {
	if k.rank() < frequentReaders {
		return k.config.RenewEvery
	}
	return 2 * k.config.RenewEvery
}

// PageVersion returns the version of the page's row, zero where none is known.
func (k *Keeper) PageVersion() uint64 { return k.pageRow }
