package ibisrollout

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// Event is an input of Replica.Update.
type Event interface{ event() }

// MembersEvent reports the live nodes.
type MembersEvent struct {
	// Peers lists the live nodes, including the node itself; it is read only where Tree is the zero Tree.
	Peers []Peer
	// Tree is the tree of the live nodes, if the sender of the event has already built it.
	Tree Tree
}

// TickEvent triggers the periodic work; it must arrive at least once a second.
type TickEvent struct{}

// HeadEvent reports the version read from the head row of the table.
type HeadEvent struct {
	// Version is empty where there is no document.
	Version ibissection.Version
}

// HeadFailedEvent reports that the head row could not be read.
type HeadFailedEvent struct{}

// HintEvent reports the version that a peer has in force, from a hint, a heartbeat or a heartbeat acknowledgement.
type HintEvent struct {
	// From is the peer.
	From ibisid.NodeName
	// Version is the version in force on the peer.
	Version ibissection.Version
}

// RecordsEvent is the response to FetchRecordsEffect.
type RecordsEvent struct {
	// Source is the source that sent the records.
	Source Source
	// Records lists the changes after the requested version, in order.
	Records []ibissection.Record
}

// SnapshotEvent is the response to FetchSnapshotEffect.
type SnapshotEvent struct {
	// Source is the source that sent the snapshot.
	Source Source
	// Version is the version of the snapshot.
	Version ibissection.Version
	// Sections is the whole document.
	Sections ibisdoc.Sections
}

// FetchFailedEvent reports that a fetch failed.
type FetchFailedEvent struct {
	// Source is the source that was asked.
	Source Source
}

// AppliedEvent reports that a version was compiled and is in force on this node.
type AppliedEvent struct {
	// Version is the applied version.
	Version ibissection.Version
	// Records lists the changes that were applied; it is empty after a snapshot.
	Records []ibissection.Record
}

// ApplyFailedEvent reports that a version could not be compiled, for example because the node runs an older release.
type ApplyFailedEvent struct {
	// Version is the rejected version.
	Version ibissection.Version
}

// ReportEvent is the report of a child in the tree.
type ReportEvent struct {
	// From is the child.
	From ibisid.NodeName
	// Report covers the child and all nodes below it.
	Report Report
}

func (MembersEvent) event()     {}
func (TickEvent) event()        {}
func (HeadEvent) event()        {}
func (HeadFailedEvent) event()  {}
func (HintEvent) event()        {}
func (RecordsEvent) event()     {}
func (SnapshotEvent) event()    {}
func (FetchFailedEvent) event() {}
func (AppliedEvent) event()     {}
func (ApplyFailedEvent) event() {}
func (ReportEvent) event()      {}

// Source is a source of records and snapshots: a peer or the object store.
type Source struct {
	// Peer is the name of the peer, empty for the object store.
	Peer ibisid.NodeName
}

// Effect is an action that Replica.Update requests.
type Effect interface{ effect() }

// ReadHeadEffect requests a read of the head row of the table.
type ReadHeadEffect struct{}

// FetchRecordsEffect requests the records after a version from a source.
type FetchRecordsEffect struct {
	// Source is the source to ask.
	Source Source
	// After is the version in force on this node.
	After ibissection.Version
	// To is the greatest version known to the node.
	To ibissection.Version
}

// FetchSnapshotEffect requests the whole document from a source.
type FetchSnapshotEffect struct {
	// Source is the source to ask.
	Source Source
	// To is the greatest version known to the node.
	To ibissection.Version
}

// ApplyRecordsEffect requests that records be applied to the document in force, which they follow without a gap. The effect
// is dropped if its first record no longer follows the version in force when it runs.
type ApplyRecordsEffect struct {
	// Records lists the changes in order.
	Records []ibissection.Record
}

// ApplySnapshotEffect requests that a whole document be applied.
type ApplySnapshotEffect struct {
	// Version is the version of the document.
	Version ibissection.Version
	// Sections is the whole document.
	Sections ibisdoc.Sections
}

// HintEffect sends peers the version in force on this node.
type HintEffect struct {
	// To lists the peers.
	To []ibisid.NodeName
	// Version is the version in force.
	Version ibissection.Version
}

// ReportEffect sends the parent the report of this node and the nodes below it.
type ReportEffect struct {
	// To is the parent.
	To ibisid.NodeName
	// Report is the report to send.
	Report Report
}

func (ReadHeadEffect) effect()      {}
func (FetchRecordsEffect) effect()  {}
func (FetchSnapshotEffect) effect() {}
func (ApplyRecordsEffect) effect()  {}
func (ApplySnapshotEffect) effect() {}
func (HintEffect) effect()          {}
func (ReportEffect) effect()        {}
