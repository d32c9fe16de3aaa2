package ibislease

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Event is an input to the Update method of a Holder, Witness or Claimant.
type Event any

// TickEvent is sent several times in each heartbeat period and triggers everything that is due.
type TickEvent struct{}

// CandidatesEvent gives a holder the nodes that may be its witnesses.
type CandidatesEvent struct {
	// Candidates are live nodes; a few in each failure domain suffice.
	Candidates []Candidate
	// LiveNodes is the number of live nodes. The delay before a holder replaces one lost witness grows with it, so that the
	// holders that lost a witness at the same time don't commit at the same time.
	LiveNodes int
}

// AnnounceEvent gives a holder the announcement of its backend server and the desired state of the member.
type AnnounceEvent struct {
	// Announcement is the latest announcement of the backend server.
	Announcement Announcement
	// State is the desired state.
	State State
}

// AckEvent is an acknowledgement that reached the holder.
type AckEvent struct {
	// Witness is the witness that answered, with its incarnation.
	Witness ibisid.Member
	// Holder is the member that sent the heartbeat.
	Holder ibisid.Member
	// Sent is the holder's local time at which it sent the heartbeat.
	Sent time.Time
	// Refused reports that the witness promised never to renew the incarnation again.
	Refused bool
	// Unrenewed reports that the witness answered without renewing the lease.
	Unrenewed bool
}

// CommitResultEvent reports the table's answer to a commit.
type CommitResultEvent struct {
	// ID is the id of the commit.
	ID string
	// Result is the table's answer.
	Result ibisplatform.CommitResult
}

// CommitUnknownEvent reports that a commit got no answer and may still take effect.
type CommitUnknownEvent struct {
	// ID is the id of the commit.
	ID string
}

// ReadEvent carries rows that were read from the table, or replicated copies of them.
type ReadEvent struct {
	// Sequence is that of the ReadEffect, or zero for copies that arrived without one.
	Sequence uint64
	// Rows are the rows; a row that does not exist has version zero.
	Rows []ibisplatform.Row
}

// HeartbeatEvent is a heartbeat that reached a witness.
type HeartbeatEvent struct {
	// Holder is the member whose lease is to be renewed.
	Holder ibisid.Member
	// Witness is the member that the heartbeat was addressed to.
	Witness ibisid.Member
	// Sent is the holder's local time at which it sent the heartbeat.
	Sent time.Time
	// Unheard is that of the HeartbeatEffect for this witness. It must not be passed on without Sent, which orders heartbeats.
	Unheard time.Duration
}

// PromiseRequestEvent asks a witness for promises never to renew the leases of the members again.
type PromiseRequestEvent struct {
	// Witness is the member that the request was addressed to.
	Witness ibisid.Member
	// Members are the suspects.
	Members []ibisid.Member
}

// SuspectEvent reports members without heartbeats to a claimant.
type SuspectEvent struct {
	// Members are the suspects.
	Members []ibisid.Member
	// Delay is how long the claimant waits, so that coordinators of better rank can act first.
	Delay time.Duration
}

// PromisesEvent is a witness's answer to a claimant.
type PromisesEvent struct {
	// Witness is the witness that promised, with its incarnation.
	Witness ibisid.Member
	// Members are the requested members whose leases the witness never renews again.
	Members []ibisid.Member
}

// PrunableEvent lists dead incarnations that may be removed from the deaths rows: no page refers to them and their nodes
// have joined under a greater incarnation.
type PrunableEvent struct {
	// Members are the dead incarnations.
	Members []ibisid.Member
}

// DeadEvent reports to a witness the members that the table lists as dead, which it then no longer reports as suspects.
type DeadEvent struct {
	// Members are the dead members.
	Members []ibisid.Member
}
