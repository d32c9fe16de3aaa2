package ibislease

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Holder keeps the lease of one incarnation of a node.
//
// It commits the member row, renews the lease with the row's witnesses and replaces witnesses that stop answering.
type Holder struct {
	terms Terms
	// desired is the row to commit, except for its witnesses and direct flag.
	desired    Row
	deathsKey  string
	candidates []Candidate
	// liveNodes is the number of live nodes, which determines the delay of replacements.
	liveNodes int
	// replaceAt is the time from which a lost witness may be replaced, zero until a loss is noticed.
	replaceAt time.Time

	// previous is the row of the previous incarnation, zero if there was none or the node has joined.
	previous Row
	// joinAllowedAt is the time from which the first row may be committed, zero while a previous incarnation may be valid.
	joinAllowedAt time.Time
	// committed is the last row known to be in the table.
	committed Row
	version   ibisplatform.Version
	// committedSent is the time at which the commit of that row was first sent.
	committedSent time.Time
	deathsVersion ibisplatform.Version
	pending       *pendingRow

	// ackedSent holds, for each witness, the time at which the latest acknowledged heartbeat was sent.
	ackedSent map[ibisid.Member]time.Time
	// probedSince holds, for each witness, the time of the first heartbeat to it.
	probedSince map[ibisid.Member]time.Time
	// heardSent holds, for each witness, the time of the latest heartbeat that it answered in any way.
	heardSent map[ibisid.Member]time.Time
	// countedFrom holds, for each witness, the time of the earliest heartbeat whose acknowledgement still counts when it arrives.
	countedFrom map[ibisid.Member]time.Time
	// refused are the witnesses that promised never to renew this incarnation again.
	refused ibisset.Set[ibisid.Member]
	phase   phase
	valid   bool

	commits uint64
	reads   uint64
	// tableHeardAt is the time of the latest answer of the table to the latest read or commit.
	tableHeardAt  time.Time
	nextHeartbeat time.Time
	nextCommit    time.Time
	nextRead      time.Time
}

type phase uint8

const (
	phaseJoining phase = iota
	phaseJoined
	phaseDead
)

// NewHolder returns a holder that joins with the row's member, place, addresses, announcement and state.
//
// The incarnation must never have been used under the node's name. The row's witnesses and direct flag are ignored.
func NewHolder(terms Terms, row Row) *Holder {
	row.Witnesses = nil
	row.Direct = false
	return &Holder{
		terms:       terms,
		desired:     row,
		deathsKey:   DeathsKey(row.Place.Domain, row.Member.Name),
		ackedSent:   make(map[ibisid.Member]time.Time),
		probedSince: make(map[ibisid.Member]time.Time),
		heardSent:   make(map[ibisid.Member]time.Time),
		countedFrom: make(map[ibisid.Member]time.Time),
		refused:     ibisset.Of[ibisid.Member](),
	}
}

// Self returns the member that holds the lease.
func (h *Holder) Self() ibisid.Member { return h.desired.Member }

// Row returns the last row known to be committed, and whether the node has joined and the incarnation is not dead.
func (h *Holder) Row() (Row, bool) { return h.committed, h.phase == phaseJoined }

// Dead reports whether this incarnation can never be valid again.
func (h *Holder) Dead() bool { return h.phase == phaseDead }

// Update handles an event at the local monotonic time and returns the effects to carry out; a dead holder returns none.
func (h *Holder) Update(event Event, now time.Time) []Effect {
	if h.phase == phaseDead {
		return nil
	}
	var effects []Effect
	switch e := event.(type) {
	case TickEvent:
		effects = h.tick(now)
	case CandidatesEvent:
		h.setCandidates(e.Candidates)
		h.liveNodes = e.LiveNodes
	case AnnounceEvent:
		h.desired.Announcement = e.Announcement
		h.desired.State = e.State
	case AckEvent:
		h.handleAck(e, now)
	case CommitResultEvent:
		effects = h.handleCommitResult(e, now)
	case CommitUnknownEvent:
		if h.pending != nil && h.pending.commit.ID == e.ID {
			effects = h.readRows(now)
		}
	case ReadEvent:
		effects = h.handleRows(e, now)
	}
	return append(effects, h.updateValidity(now)...)
}

// Valid returns the local time at which the lease expires, and whether it is valid now. It is checked right before each
// order that is passed on to the backend server.
func (h *Holder) Valid(now time.Time) (time.Time, bool) {
	if h.terms.mutation == mutateNoPauseCheck {
		return now, h.valid
	}
	expiry, ok := h.expiry()
	return expiry, ok && now.Before(expiry)
}

// expiry returns the earliest expiry over the committed row and the pending one, since either may be in the table.
func (h *Holder) expiry() (time.Time, bool) {
	if h.phase != phaseJoined {
		return time.Time{}, false
	}
	expiry, ok := h.expiryUnder(h.committed, h.committedSent)
	if h.pending == nil || h.terms.mutation == mutateIgnorePending {
		return expiry, ok
	}
	pendingExpiry, pendingOK := h.expiryUnder(h.pending.row, h.pending.sent)
	if pendingExpiry.Before(expiry) {
		expiry = pendingExpiry
	}
	return expiry, ok && pendingOK
}

// expiryUnder returns the expiry under one row: that of the second most recent acknowledgement of its witnesses, or of the
// commit of a direct row.
func (h *Holder) expiryUnder(row Row, sent time.Time) (time.Time, bool) {
	if row.State == StateLeft {
		return time.Time{}, false
	}
	if row.Direct {
		return sent.Add(h.terms.Validity()), !sent.IsZero()
	}
	var first, second time.Time
	for _, w := range row.Witnesses {
		at := h.ackedSent[w]
		switch {
		case at.After(first):
			first, second = at, first
		case at.After(second):
			second = at
		}
	}
	return second.Add(h.terms.Validity()), !second.IsZero()
}

func (h *Holder) updateValidity(now time.Time) []Effect {
	wasValid := h.valid
	expiry, ok := h.expiry()
	h.valid = ok && now.Before(expiry)
	if wasValid && !h.valid {
		return []Effect{LapsedEffect{}}
	}
	return nil
}

// setCandidates replaces the candidates and drops the refusals of members that are no longer candidates.
func (h *Holder) setCandidates(candidates []Candidate) {
	h.candidates = candidates
	refused := ibisset.Of[ibisid.Member]()
	for _, c := range candidates {
		if h.refused.Has(c.Member) {
			refused.Add(c.Member)
		}
	}
	h.refused = refused
}

// handleAck applies the answer of a witness. After one that doesn't renew, the next tick sends a heartbeat, which shows the witness
// that it is heard.
func (h *Holder) handleAck(e AckEvent, now time.Time) {
	if e.Holder != h.Self() {
		return
	}
	if _, known := h.probedSince[e.Witness]; !known {
		return
	}
	heard := e.Sent.After(h.heardSent[e.Witness])
	if heard {
		h.heardSent[e.Witness] = e.Sent
	}
	if e.Refused {
		h.refused.Add(e.Witness)
		delete(h.ackedSent, e.Witness)
		return
	}
	if e.Unrenewed {
		if heard {
			h.nextHeartbeat = now
		}
		return
	}
	if e.Sent.Before(h.countedFrom[e.Witness]) && h.terms.mutation != mutateCountVoid {
		return
	}
	if e.Sent.After(h.ackedSent[e.Witness]) {
		h.ackedSent[e.Witness] = e.Sent
	}
}

func (h *Holder) tick(now time.Time) []Effect {
	if h.phase == phaseJoining {
		return h.join(now)
	}
	effects := h.sendHeartbeats(now)
	if h.pending != nil {
		return append(effects, h.resendPending(now)...)
	}
	return append(effects, h.updateRow(now)...)
}

// sendHeartbeats sends heartbeats to the witnesses of the committed and the pending row, and to possible replacements of
// witnesses that don't answer.
func (h *Holder) sendHeartbeats(now time.Time) []Effect {
	if now.Before(h.nextHeartbeat) {
		return nil
	}
	h.nextHeartbeat = now.Add(h.terms.Heartbeat)
	to := slices.Clone(h.committed.Witnesses)
	if h.pending != nil {
		to = append(to, h.pending.row.Witnesses...)
	}
	if h.countFresh(h.committed.Witnesses, now) < WitnessCount {
		to = append(to, h.nextWitnesses(now)...)
	}
	slices.SortFunc(to, compareMembers)
	to = slices.Compact(to)
	h.updateProbes(to, now)
	if len(to) == 0 {
		return nil
	}
	return []Effect{HeartbeatEffect{
		Holder:    h.Self(),
		Witnesses: to,
		Sent:      now,
		Unheard:   h.voidUnheard(to, now),
	}}
}

// voidUnheard returns the witnesses whose latest acknowledgement is no longer valid because the holder has not heard them since,
// with the age of the latest heartbeat that they answered. The holder ignores acknowledgements of earlier heartbeats from now
// on, so that a witness may count its term from that heartbeat.
func (h *Holder) voidUnheard(to []ibisid.Member, now time.Time) map[ibisid.Member]time.Duration {
	var unheard map[ibisid.Member]time.Duration
	for _, w := range to {
		heard, ever := h.heardSent[w]
		if !ever || now.Sub(heard) < h.terms.Validity() {
			continue
		}
		if unheard == nil {
			unheard = make(map[ibisid.Member]time.Duration)
		}
		unheard[w] = now.Sub(heard)
		h.countedFrom[w] = now
	}
	return unheard
}

// updateProbes records the time of the first heartbeat to each of the witnesses in use. It drops other witnesses that were first
// probed more than probeRetentionTerms terms ago, which bounds the memory.
func (h *Holder) updateProbes(to []ibisid.Member, now time.Time) {
	for _, w := range to {
		if _, known := h.probedSince[w]; !known {
			h.probedSince[w] = now
			h.countedFrom[w] = now
		}
	}
	for w, since := range h.probedSince {
		if !slices.Contains(to, w) && now.Sub(since) > probeRetentionTerms*h.terms.Term {
			h.forget(w)
		}
	}
}

// forget drops what the holder knows of a witness that its rows don't name.
func (h *Holder) forget(w ibisid.Member) {
	delete(h.probedSince, w)
	delete(h.ackedSent, w)
	delete(h.heardSent, w)
	delete(h.countedFrom, w)
}
