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

	// PageName is the name of a page's row in the partition of its service.
	PageName = "page"
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
	// Delivery is how grants reach the backend server unless a PolicyEvent says otherwise; DeliveryHeartbeat if it is empty.
	Delivery Delivery
}

// Manager decides on the ranges of one service at one node. It is not safe for concurrent use.
type Manager struct {
	config          Config
	sharded         bool
	excludedDomains ibisset.Set[ibisid.DomainName]
	homeRegions     []ibisid.RegionName
	members         []ibisroster.Member

	// startedAt is the time of the first event.
	startedAt    time.Time
	server       server
	delivery     delivery
	lease        lease
	peers        map[ibisid.NodeName]peerLease
	leasesReadAt time.Time
	// leasesSeenAt is the reading of the store's clock when the leases were last read.
	leasesSeenAt time.Duration
	page         Page
	pageVersion  uint64
	pageKnown    bool
	// era is the latest era of the store that an answer has named.
	era uint64
	// eraSince is the first reading of the store's clock in the era, zero if there is none yet.
	eraSince time.Duration
	// survivor is the page that the store had when the era began, nil if it has not been read or a page of the era stands. It has no
	// ranges if the store has lost the page and the node knows none.
	survivor *survivingPage
	// pageStale means that other nodes may have changed the page since it was read, so that nothing is granted or proposed.
	pageStale        bool
	readPending      bool
	readRetryAt      time.Time
	refreshRequested bool
	refreshedAt      time.Time
	pending          *pendingCommit
	clock            storeClock
	// dutySince is when the current coordination duty became due, zero if none is due.
	dutySince    time.Time
	rebalancedAt time.Time
	lastCommitID uint64
	lastCallID   uint64
	effects      []Effect
}

// server is the state of the backend server beside the node.
type server struct {
	incarnation ibisroster.ServerIncarnation
	// confirmed means that the backend server itself named the id of the run when it was first heard of.
	confirmed bool
	seq       uint64
	draining  bool
	ended     bool
	// lastContact is when the backend server last sent a heartbeat or answered a call.
	lastContact    time.Time
	firstHeartbeat time.Time
	// grantedUntil is the latest end of all grants.
	grantedUntil time.Time
	grants       []grantedSpan
	reported     []Held
	released     []Released
	// calls lists the calls that have no outcome yet.
	calls []call
	// callPauses lists the spans for which no call is due for a while after one failed.
	callPauses []callPause
	// spent lists the tokens under which spans are never granted again.
	spent []spentToken
}

// grantedSpan is a span that the backend server may hold.
type grantedSpan struct {
	Span
	token ibisid.Token
	// grantedAt is when the answer or call that grants it was allowed to be written.
	grantedAt time.Time
	// until is the latest end of the grant by the node's clock.
	until time.Time
	// unconfirmed means that the grant may be applied later than a release that was sent after it, or that what the backend
	// server reports may be from before it.
	unconfirmed bool
}

// New returns a manager without members, page or lease.
func New(config Config) *Manager {
	return &Manager{
		config:    config,
		delivery:  deliveries[config.Delivery],
		peers:     make(map[ibisid.NodeName]peerLease),
		pageStale: true,
	}
}

// Update applies one event and returns the effects to carry out, in order.
func (m *Manager) Update(event Event, now time.Time) []Effect {
	m.effects = nil
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	switch e := event.(type) {
	case HeartbeatEvent:
		m.handleHeartbeat(e, now)
	case DeregisteredEvent:
		if e.ID == m.server.incarnation.ID {
			m.server.draining = true
		}
	case EndedEvent:
		if e.Incarnation == m.server.incarnation && !m.server.ended {
			m.server.ended = true
			m.server.grantedUntil = now
		}
	case MembersEvent:
		m.members = e.Members
	case PolicyEvent:
		m.sharded, m.excludedDomains, m.homeRegions = e.Sharded, e.OutDomains, e.HomeRegions
		m.setDelivery(e.Delivery, now)
	case PageEvent:
		m.noticeEra(e.Row.Version, 0)
		m.applyPage(e.Row)
	case ReadEvent:
		m.handleRead(e, now)
	case CommitEvent:
		m.handleCommit(e, now)
	case CallReadyEvent:
		m.startCall(e, now)
	case CallEvent:
		m.handleCall(e, now)
	case RefreshEvent:
		m.refreshRequested = m.refreshRequested || now.Sub(m.refreshedAt) >= minRefreshInterval
	case EraEvent:
		m.noticeEra(e.Version, 0)
	case TickEvent:
	}
	if m.sharded {
		m.emitDueEffects(now)
	}
	return m.effects
}

// Owns reports whether the own node owns ranges in the page.
func (m *Manager) Owns() bool {
	for _, r := range m.page.Ranges {
		if r.Owner.Node == m.config.Node {
			return true
		}
	}
	return false
}

// CountOwned returns the number of ranges that the own node owns in the page, and the number of keys in them.
func (m *Manager) CountOwned() (ranges, keys int) {
	for _, r := range m.page.Ranges {
		if r.Owner.Node == m.config.Node {
			ranges++
			keys += r.Width()
		}
	}
	return ranges, keys
}

// Page returns the newest known page, and whether there is one.
func (m *Manager) Page() (Page, bool) { return m.page, m.pageKnown }

// LeaseUntil returns the end of the node's lease, or the zero time if it has none.
func (m *Manager) LeaseUntil() time.Time { return m.lease.until }

func (m *Manager) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Manager) pageKey() ibisstore.Key {
	return ibisstore.Key{
		Table:     TablePages,
		Partition: string(m.config.Service),
		Name:      PageName,
	}
}

func (m *Manager) leaseKey(node ibisid.NodeName) ibisstore.Key {
	return ibisstore.Key{
		Table:     TableLeases,
		Partition: string(m.config.Service),
		Name:      string(node),
	}
}

// applyPage replaces the page by a newer row; a row that can't be decoded leaves the page unchanged and is reported by an
// InvalidPageEffect. A row that was written in an earlier era than it was read in becomes the survivor.
func (m *Manager) applyPage(row ibisstore.Row) {
	if row.Key.Name != PageName || row.Removed || row.Version <= m.pageVersion || ibisstore.EraOf(row.Version) < m.era {
		return
	}
	page, err := DecodePage(row.Value)
	if err != nil {
		m.emit(InvalidPageEffect{
			Version: row.Version,
			Err:     err,
		})
		return
	}
	if page.Era < m.era {
		m.keepSurvivor(page, row.Version)
		return
	}
	m.usePage(page, row.Version)
	if m.pending != nil && !m.pending.sent {
		// A newer page settles a commit that got no answer: the commit has taken effect or it never will.
		m.pending = nil
	}
}

// usePage replaces the page by one of the present era.
func (m *Manager) usePage(page Page, version uint64) {
	m.page, m.pageVersion, m.pageKnown = page, version, true
	m.survivor = nil
	m.pruneSpent()
}

func (m *Manager) handleRead(e ReadEvent, now time.Time) {
	m.readPending = false
	if e.Pages == nil && e.Leases == nil {
		m.readRetryAt = now.Add(retryDelay)
		return
	}
	if e.Pages != nil {
		m.noticeEra(e.Pages.Version, e.Pages.Clock)
		for _, row := range e.Pages.Rows {
			m.applyPage(row)
		}
		m.keepLostPage(*e.Pages)
		if m.needsSurvivor() {
			m.readRetryAt = now.Add(retryDelay)
		}
		// A read that was sent before the lease became valid may miss a takeover of the node's ranges.
		m.pageStale = m.pageStale && e.RequestedAt.Before(m.lease.validSince)
	}
	if e.Leases != nil && !m.noticeEra(e.Leases.Version, e.Leases.Clock) {
		m.observeClock(e.Leases.Clock, e.RequestedAt)
		m.applyLeases(*e.Leases, now)
	}
}

// emitDueEffects emits the renewal, read and commit that are due in the current state.
func (m *Manager) emitDueEffects(now time.Time) {
	m.emitDueRenewal(now)
	m.emitDueRead(now)
	m.delivery.emitDueCalls(m, now)
	if m.pending != nil {
		if !m.pending.sent && !now.Before(m.pending.retryAt) {
			m.pending.sent = true
			m.emit(CommitEffect{
				ID:      m.pending.id,
				Purpose: m.pending.purpose,
				Commit:  m.pending.commit,
			})
		}
		return
	}
	if !m.leaseValid(now) || m.pageStale {
		return
	}
	if m.pageStands() && m.proposeHandover(now) {
		return
	}
	m.coordinate(now)
}

func (m *Manager) emitDueRead(now time.Time) {
	if m.readPending || now.Before(m.readRetryAt) || !m.leaseValid(now) {
		return
	}
	pages := m.pageStale || m.refreshRequested || m.needsSurvivor()
	leases := now.Sub(m.leasesReadAt) >= m.leaseReadInterval() || m.expectsLapse(now)
	if !pages && !leases {
		return
	}
	m.readPending = true
	if pages {
		m.refreshRequested, m.refreshedAt = false, now
	}
	m.emit(ReadEffect{
		Pages:  pages,
		Leases: leases,
	})
}

// leaseReadInterval returns the time between two reads of the leases. The nodes that rank first for coordination read them
// at each renewal, the others half as often: they must still distinguish a lapsed lease from a valid one when they have to
// coordinate.
func (m *Manager) leaseReadInterval() time.Duration {
	if m.rank() < frequentReaders {
		return m.config.RenewInterval
	}
	return 2 * m.config.RenewInterval
}

// expectsLapse reports whether another node's lease, as last read, should have lapsed by now, which only a read can show. Only nodes
// that read the leases often look for that, so that a lapse causes few reads.
func (m *Manager) expectsLapse(now time.Time) bool {
	if m.rank() >= frequentReaders || now.Sub(m.leasesReadAt) < retryDelay {
		return false
	}
	for _, p := range m.peers {
		atNow := p
		atNow.seenAt = m.clock.latest(now)
		if p.version != 0 && !m.lapsed(p) && m.lapsed(atNow) {
			return true
		}
	}
	return false
}

// PageVersion returns the version of the page's row, or zero if no page is known.
func (m *Manager) PageVersion() uint64 { return m.pageVersion }
