package ibislease

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Effect is an action that the caller of a Holder, Witness or Claimant carries out.
type Effect any

// HeartbeatEffect sends one heartbeat to each of the witnesses.
type HeartbeatEffect struct {
	// Holder is the sender.
	Holder ibisid.Member
	// Witnesses are the receivers.
	Witnesses []ibisid.Member
	// Sent is the holder's local time; the acknowledgement returns it.
	Sent time.Time
	// Unheard holds, for each witness whose answers no longer arrive, the age of the latest heartbeat whose answer arrived. The
	// holder ignores all later acknowledgements of heartbeats that it sent before this one.
	Unheard map[ibisid.Member]time.Duration
}

// AckEffect sends the acknowledgement of a heartbeat to its holder.
type AckEffect struct {
	// Witness is the acknowledging member.
	Witness ibisid.Member
	// Holder is the receiver.
	Holder ibisid.Member
	// Sent is the holder's local time from the heartbeat.
	Sent time.Time
	// Refused reports that the witness promised never to renew the incarnation again.
	Refused bool
	// Unrenewed reports that the witness answers without renewing the lease, so that a holder that hears again can say so.
	Unrenewed bool
}

// CommitEffect sends a commit to the table; the caller reports its result by a CommitResultEvent or CommitUnknownEvent.
type CommitEffect struct {
	// Commit is the commit to send.
	Commit ibisplatform.Commit
}

// ReadEffect reads rows of the table; the caller returns them in one ReadEvent.
type ReadEffect struct {
	// Sequence numbers the reads of one Holder or Claimant; the read must begin after the effect was returned.
	Sequence uint64
	// Keys are the table keys of the rows.
	Keys []string
}

// JoinedEffect reports that the first commit of the member row took effect.
type JoinedEffect struct {
	// Row is the committed row.
	Row Row
}

// LapsedEffect reports that the lease expired; a later renewal may make it valid again.
type LapsedEffect struct{}

// RejoinEffect reports that the incarnation is dead, so that the node must join under a greater one.
type RejoinEffect struct {
	// After is the incarnation that the new one must exceed.
	After ibisid.Incarnation
}

// SuspectEffect reports suspects to coordinators.
//
// A witness reports the members without heartbeats, all of a tick in one batch. A joining holder reports the previous incarnation
// of its node, which may still be valid.
type SuspectEffect struct {
	// Members are the suspects in order of name and incarnation.
	Members []ibisid.Member
}

// PromiseRequestEffect asks a witness for promises never to renew the leases of the suspects again.
type PromiseRequestEffect struct {
	// Witness is the member to ask.
	Witness ibisid.Member
	// Members are the suspects.
	Members []ibisid.Member
}

// PromisesEffect answers a PromiseRequestEvent.
type PromisesEffect struct {
	// Witness is the promising member.
	Witness ibisid.Member
	// Members are the suspects whose leases the witness never renews again.
	Members []ibisid.Member
}

// DeadEffect reports members that can never be valid again, so that their slots may be taken over.
type DeadEffect struct {
	// Members are the dead members.
	Members []ibisid.Member
}
