package ibiskeep

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// Event is something that happened to a keeper.
type Event interface{ keeperEvent() }

// Held is a span that a backend server says it holds or still works on.
type Held struct {
	Span
	// Token is the fencing token under which it holds the span.
	Token ibisid.Token
}

// Released is a span that a backend server has released.
type Released struct {
	Span
	// Handover goes along to the next owner.
	Handover string
}

// HeartbeatEvent is a heartbeat of the backend server; a GrantEffect answers it.
type HeartbeatEvent struct {
	// Life is the run of the backend server.
	Life ibisroster.Life
	// Seq grows with each heartbeat of a life.
	Seq uint64
	// Leaving says that the backend server is about to end.
	Leaving bool
	// Holds lists what it holds or still works on.
	Holds []Held
	// Released lists what it released since its last acknowledged heartbeat.
	Released []Released
}

// FarewellEvent says that the backend server deregistered; it may go on serving what it holds for a while.
type FarewellEvent struct {
	// ID is the id of the backend server.
	ID string
}

// EndedEvent says that the process of the backend server has ended, since its port takes no connections.
type EndedEvent struct {
	// Life is the run that has ended.
	Life ibisroster.Life
}

// MembersEvent replaces the members whose backend servers belong to the service.
type MembersEvent struct {
	// Members lists the members.
	Members []ibisroster.Member
}

// PolicyEvent replaces what the operators say of the service.
type PolicyEvent struct {
	// Sharded says that the service is divided by key.
	Sharded bool
	// Out lists the failure domains that take no work.
	Out ibisset.Set[ibisid.DomainName]
	// Homes lists the only regions that may own keys; empty for all.
	Homes []ibisid.RegionName
}

// PageEvent is the page's row as the feed showed it.
type PageEvent struct {
	// Row is the row.
	Row ibisstore.Row
}

// ReadEvent answers a ReadEffect.
type ReadEvent struct {
	// Asked is when the rows were asked for.
	Asked time.Time
	// Pages is the partition of the page; nil where it was not asked for or not answered.
	Pages *ibisstore.Snapshot
	// Leases is the partition of leases; nil where it was not asked for or not answered.
	Leases *ibisstore.Snapshot
}

// CommitEvent answers a CommitEffect.
type CommitEvent struct {
	// ID is the number of the commit.
	ID uint64
	// Result is how it ended.
	Result ibisstore.Result
}

// RefreshEvent says that somebody knows of a newer page.
type RefreshEvent struct{}

// TickEvent lets time pass.
type TickEvent struct{}

func (HeartbeatEvent) keeperEvent() {}
func (FarewellEvent) keeperEvent()  {}
func (EndedEvent) keeperEvent()     {}
func (MembersEvent) keeperEvent()   {}
func (PolicyEvent) keeperEvent()    {}
func (PageEvent) keeperEvent()      {}
func (ReadEvent) keeperEvent()      {}
func (CommitEvent) keeperEvent()    {}
func (RefreshEvent) keeperEvent()   {}
func (TickEvent) keeperEvent()      {}

// Effect is what a keeper wants done.
type Effect interface{ keeperEffect() }

// Grant is a span that the backend server is to hold.
type Grant struct {
	Span
	// Token is the fencing token.
	Token ibisid.Token
	// Handover is what the last owner handed out, empty for none.
	Handover string
}

// GrantEffect answers a heartbeat.
type GrantEffect struct {
	// Renews says that the answer names grants; without it the backend server keeps what it has until that runs out.
	Renews bool
	// Grants is everything that the backend server is to hold; what is left out it releases.
	Grants []Grant
	// HoldFor is how long the grants last, counted from when the heartbeat was sent.
	HoldFor time.Duration
}

// ReadEffect reads partitions of the service; a ReadEvent answers it.
type ReadEffect struct {
	// Pages asks for the page.
	Pages bool
	// Leases asks for the leases.
	Leases bool
}

// UnreadableEffect tells of a page that can't be read, so that the one known before stays.
type UnreadableEffect struct {
	// Version is the version of its row.
	Version uint64
	// Err says what is wrong with it.
	Err error
}

// Purpose says what a commit is for, for the logs.
type Purpose string

const (
	// PurposeRenew renews the node's lease.
	PurposeRenew Purpose = "renew"
	// PurposeCreate divides the keys for the first time.
	PurposeCreate Purpose = "create"
	// PurposeHandover gives ranges of the own backend server to others or to its next life.
	PurposeHandover Purpose = "handover"
	// PurposeTakeover takes ranges of an owner whose lease has lapsed.
	PurposeTakeover Purpose = "takeover"
	// PurposeRebalance asks owners to give ranges to a backend server that has few.
	PurposeRebalance Purpose = "rebalance"
)

// CommitEffect sends a commit; a CommitEvent answers it.
type CommitEffect struct {
	// ID numbers the commit.
	ID uint64
	// Purpose says what it is for.
	Purpose Purpose
	// Commit is the commit.
	Commit ibisstore.Commit
}

func (GrantEffect) keeperEffect()      {}
func (ReadEffect) keeperEffect()       {}
func (UnreadableEffect) keeperEffect() {}
func (CommitEffect) keeperEffect()     {}
