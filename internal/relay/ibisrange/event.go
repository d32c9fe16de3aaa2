package ibisrange

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// Event is an input of a Manager.
type Event interface{ isEvent() }

// Held is a span that a backend server reports as held or still in use by running requests.
type Held struct {
	Span
	// Token is the fencing token under which the backend server holds the span.
	Token ibisid.Token
}

// Released is a span that a backend server reports as released.
type Released struct {
	Span
	// Handover is the backend server's opaque text for the next owner.
	Handover string
}

// HeartbeatEvent is a heartbeat of the backend server; a GrantEffect answers it.
type HeartbeatEvent struct {
	// Incarnation identifies the run of the backend server.
	Incarnation ibisroster.ServerIncarnation
	// Seq increases with each heartbeat of a run.
	Seq uint64
	// Draining reports whether the backend server is about to end.
	Draining bool
	// Confirmed means that the backend server itself has named this run's id after the heartbeat arrived. An earlier run under another
	// id has ended then, and the heartbeat counts although it seems to be outdated.
	Confirmed bool
	// Holds lists the spans that the backend server holds or that its running requests still use.
	Holds []Held
	// Released lists the spans that the backend server released since its last acknowledged heartbeat.
	Released []Released
}

// DeregisteredEvent reports that the backend server has deregistered; it may still serve the keys that it holds for a while.
type DeregisteredEvent struct {
	// ID is the id of the backend server.
	ID string
}

// EndedEvent reports that the process of the backend server has ended, as its port accepts no connections.
type EndedEvent struct {
	// Incarnation identifies the run that has ended.
	Incarnation ibisroster.ServerIncarnation
}

// MembersEvent replaces the list of members whose backend servers belong to the service.
type MembersEvent struct {
	// Members lists the members.
	Members []ibisroster.Member
}

// PolicyEvent replaces the operators' settings for the service.
type PolicyEvent struct {
	// Sharded reports whether the service is divided by key.
	Sharded bool
	// OutDomains lists the failure domains that operators have excluded: their backend servers own no keys.
	OutDomains ibisset.Set[ibisid.DomainName]
	// HomeRegions lists the regions that may own keys; if it is empty, all may.
	HomeRegions []ibisid.RegionName
	// Delivery is how grants reach the backend server; if it is empty, Config.Delivery applies.
	Delivery Delivery
}

// PageEvent delivers the page's row from the feed of changes.
type PageEvent struct {
	// Row is the page's row.
	Row ibisstore.Row
}

// ReadEvent answers a ReadEffect.
type ReadEvent struct {
	// RequestedAt is when the read was sent.
	RequestedAt time.Time
	// Pages is the service's partition of TablePages, nil if it was not requested or the store didn't answer.
	Pages *ibisstore.Snapshot
	// Leases is the service's partition of TableLeases, nil if it was not requested or the store didn't answer.
	Leases *ibisstore.Snapshot
}

// CommitEvent answers a CommitEffect.
type CommitEvent struct {
	// ID is the ID of the CommitEffect.
	ID uint64
	// Result is the store's result.
	Result ibisstore.Result
}

// CallReadyEvent reports that a connection is ready for a CallEffect; a CallStartEffect answers it.
type CallReadyEvent struct {
	// ID is the ID of the CallEffect.
	ID uint64
}

// CallOutcome is the outcome of a call to the backend server.
type CallOutcome string

const (
	// CallAccepted means that the backend server carried the call out.
	CallAccepted CallOutcome = "accepted"
	// CallSuperseded means that the backend server has seen a higher token and rejected the grant.
	CallSuperseded CallOutcome = "superseded"
	// CallNotSent means that no byte of the call was written.
	CallNotSent CallOutcome = "notSent"
	// CallUnanswered means that no valid answer arrived: the call may have been carried out, or may be later.
	CallUnanswered CallOutcome = "unanswered"
)

// CallEvent reports the outcome of a CallEffect.
type CallEvent struct {
	// ID is the ID of the CallEffect.
	ID uint64
	// Outcome is the outcome of the call.
	Outcome CallOutcome
	// Handover is the backend server's text for the next owner, after an accepted release.
	Handover string
}

// RefreshEvent asks for a read of the page, as another node has referred to a newer version.
type RefreshEvent struct{}

// EraEvent reports that the store has come back from an older copy of its data.
type EraEvent struct {
	// Version is any version of the new era.
	Version uint64
}

// TickEvent triggers the effects that have become due with time.
type TickEvent struct{}

func (HeartbeatEvent) isEvent()    {}
func (DeregisteredEvent) isEvent() {}
func (EndedEvent) isEvent()        {}
func (MembersEvent) isEvent()      {}
func (PolicyEvent) isEvent()       {}
func (PageEvent) isEvent()         {}
func (ReadEvent) isEvent()         {}
func (CommitEvent) isEvent()       {}
func (CallReadyEvent) isEvent()    {}
func (CallEvent) isEvent()         {}
func (RefreshEvent) isEvent()      {}
func (EraEvent) isEvent()          {}
func (TickEvent) isEvent()         {}

// Effect is an action that a Manager requests.
type Effect interface{ isEffect() }

// Grant is a span that the backend server may hold.
type Grant struct {
	Span
	// Token is the fencing token under which the span is granted.
	Token ibisid.Token
	// Handover is the text that the previous owner's backend server left when it released the span, empty if it left none.
	Handover string
}

// GrantEffect answers a heartbeat.
type GrantEffect struct {
	// Renews reports whether Grants and HoldFor apply; otherwise the backend server keeps its grants until they expire.
	Renews bool
	// Grants lists every span that the backend server may hold; it releases all others.
	Grants []Grant
	// HoldFor is how long the grants are valid, counted from when the heartbeat was sent.
	HoldFor time.Duration
}

// CallKind is what a call asks of the backend server.
type CallKind string

const (
	// CallGrant grants a span or renews its grant.
	CallGrant CallKind = "grant"
	// CallRelease takes a span back.
	CallRelease CallKind = "release"
)

// CallEffect requests a call to the backend server. Once a connection is ready, a CallReadyEvent asks for its start; a
// CallEvent ends it.
type CallEffect struct {
	// ID identifies the call.
	ID uint64
	// Kind is what the call asks for.
	Kind CallKind
	// Incarnation identifies the run of the backend server that the call is for.
	Incarnation ibisroster.ServerIncarnation
	Grant
}

// CallStartEffect answers a CallReadyEvent.
type CallStartEffect struct {
	// Allowed reports whether the call may be written; otherwise its CallEvent is due with CallNotSent.
	Allowed bool
	// HoldFor is how long a grant is valid, counted from the arrival of the call; zero for a release.
	HoldFor time.Duration
}

// ReadEffect requests a read of the service's partitions; a ReadEvent answers it.
type ReadEffect struct {
	// Pages selects the partition of TablePages.
	Pages bool
	// Leases selects the partition of TableLeases.
	Leases bool
}

// InvalidPageEffect reports a page row that can't be decoded; the previous page stays in use.
type InvalidPageEffect struct {
	// Version is the version of the row.
	Version uint64
	// Err is the error of DecodePage.
	Err error
}

// Purpose is the reason for a commit, for the logs.
type Purpose string

const (
	// PurposeRenew renews the node's lease.
	PurposeRenew Purpose = "renew"
	// PurposeCreate divides the keys for the first time.
	PurposeCreate Purpose = "create"
	// PurposeEra writes the first page of a new era of the store.
	PurposeEra Purpose = "era"
	// PurposeHandover gives ranges of the own backend server to other backend servers or to its next run.
	PurposeHandover Purpose = "handover"
	// PurposeTakeover reassigns the ranges of owners whose leases have lapsed.
	PurposeTakeover Purpose = "takeover"
	// PurposeRebalance plans moves of ranges to a backend server that has few keys.
	PurposeRebalance Purpose = "rebalance"
)

// CommitEffect requests a commit at the store; a CommitEvent answers it.
type CommitEffect struct {
	// ID identifies the commit within one Manager; a retry has the same ID.
	ID uint64
	// Purpose is the reason for the commit.
	Purpose Purpose
	// Commit is the commit to send.
	Commit ibisstore.Commit
}

func (GrantEffect) isEffect()       {}
func (CallEffect) isEffect()        {}
func (CallStartEffect) isEffect()   {}
func (ReadEffect) isEffect()        {}
func (InvalidPageEffect) isEffect() {}
func (CommitEffect) isEffect()      {}
