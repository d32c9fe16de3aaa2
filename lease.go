package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// LeaseTerms are the durations of the lease protocol; all nodes must use the same.
	LeaseTerms = ibislease.Terms
	// Holder renews the lease of one incarnation of a node.
	Holder = ibislease.Holder
	// MemberRow is the content of a member row.
	MemberRow = ibislease.Row
	// Announcement is the data that a backend server announced to its node.
	Announcement = ibislease.Announcement
	// MemberState is the life-cycle state of a member.
	MemberState = ibislease.State
	// LeaseCandidate is a live node that may be a witness or a coordinator.
	LeaseCandidate = ibislease.Candidate
)

const (
	// MemberJoining means that the member accepts no slots yet.
	MemberJoining = ibislease.StateJoining
	// MemberLive means that the member may own slots.
	MemberLive = ibislease.StateLive
	// MemberLeaving means that the member is handing its slots over.
	MemberLeaving = ibislease.StateLeaving
	// MemberLeft means that the member ended its own lease permanently; its name is free.
	MemberLeft = ibislease.StateLeft
	// WitnessCount is the number of witnesses of a member row.
	WitnessCount = ibislease.WitnessCount
)

// ErrInvalidLeaseTerms is returned for lease terms with a negative guard, a heartbeat period that is not positive, a drift
// outside [0, 0.1], or a validity shorter than two heartbeat periods.
var ErrInvalidLeaseTerms = ibislease.ErrInvalidTerms

// NewLeaseTerms returns the terms that every member of a system must share; it fails with ErrInvalidLeaseTerms.
//
// With the defaults, the slots of a lost member have new owners within 5 s.
func NewLeaseTerms(options ...LeaseOption) (LeaseTerms, error) {
	terms := ibislease.DefaultTerms()
	for _, option := range options {
		option(&terms)
	}
	return terms, terms.Validate()
}

// NewHolder returns the holder of one run of a member; no earlier run of the node may have
// had the incarnation of the row.
func NewHolder(terms LeaseTerms, row MemberRow) *Holder { return ibislease.NewHolder(terms, row) }

// DecodeMemberRow decodes the value of a member row.
func DecodeMemberRow(value []byte) (MemberRow, error) { return ibislease.DecodeRow(value) }

// MemberRowKey returns the table key of a member row.
func MemberRowKey(name NodeName) string { return ibislease.RowKey(name) }
