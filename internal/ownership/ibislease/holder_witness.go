package ibislease

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// freshHeartbeatQuarters is the age, in quarters of a heartbeat period, from which an acknowledgement is no longer fresh.
	freshHeartbeatQuarters = 9
	// probeRetentionTerms is the number of terms for which an unresponsive witness is excluded from the choice.
	probeRetentionTerms = 8
	// replaceDelayPerNode is multiplied by the number of live nodes to give the period over which the replacements of witnesses
	// lost at the same time are spread: 42 s at 17,000 nodes, where the loss of a failure domain takes a witness from about 4,000
	// holders.
	replaceDelayPerNode = 2500 * time.Microsecond
	// replaceHashKey is hashed with the holder's member to give the delay of its replacements.
	replaceHashKey = "replace"
)

func (h *Holder) isFresh(w ibisid.Member, now time.Time) bool {
	at, acked := h.ackedSent[w]
	return acked && now.Sub(at) < freshHeartbeatQuarters*h.terms.Heartbeat/4
}

func (h *Holder) countFresh(witnesses []ibisid.Member, now time.Time) int {
	n := 0
	for _, w := range witnesses {
		if h.isFresh(w, now) {
			n++
		}
	}
	return n
}

// isUnresponsive reports whether a probed witness has no fresh acknowledgement although it had the time to send one.
func (h *Holder) isUnresponsive(w ibisid.Member, now time.Time) bool {
	since, tried := h.probedSince[w]
	return tried && !h.isFresh(w, now) && now.Sub(since) >= freshHeartbeatQuarters*h.terms.Heartbeat/4
}

// nextWitnesses keeps the witnesses with fresh acknowledgements and adds candidates that were not probed yet or had no time to
// answer.
//
// If these are in too few failure domains, it considers the unresponsive candidates again.
func (h *Holder) nextWitnesses(now time.Time) []ibisid.Member {
	usable := slices.DeleteFunc(slices.Clone(h.candidates), func(c Candidate) bool {
		return h.refused.Has(c.Member)
	})
	responsive := make([]Candidate, 0, len(usable))
	for _, c := range usable {
		if !h.isUnresponsive(c.Member, now) {
			responsive = append(responsive, c)
		}
	}
	var kept []ibisid.Member
	for w := range h.probedSince {
		if h.isFresh(w, now) {
			kept = append(kept, w)
		}
	}
	slices.SortFunc(kept, compareMembers)
	self := Candidate{
		Member: h.Self(),
		Place:  h.desired.Place,
	}
	if chosen := ChooseWitnesses(self, responsive, kept); chosen != nil {
		return chosen
	}
	h.retryUnresponsive(now)
	return ChooseWitnesses(self, usable, kept)
}

// retryUnresponsive drops the probes of unresponsive witnesses, except of those that the committed or pending row names.
func (h *Holder) retryUnresponsive(now time.Time) {
	for w := range h.probedSince {
		named := slices.Contains(h.committed.Witnesses, w)
		named = named || h.pending != nil && slices.Contains(h.pending.row.Witnesses, w)
		if !named && h.isUnresponsive(w, now) {
			h.forget(w)
		}
	}
}

// updateRow commits a change of the row if one is due: new witnesses, a direct renewal, or a new announcement or state.
func (h *Holder) updateRow(now time.Time) []Effect {
	if now.Before(h.nextCommit) {
		return nil
	}
	next := h.committed
	next.State = h.desired.State
	next.Announcement = h.desired.Announcement
	changed := next.State != h.committed.State || next.Announcement != h.committed.Announcement
	if h.countFresh(h.committed.Witnesses, now) == WitnessCount {
		h.replaceAt = time.Time{}
		return h.commitIf(changed, next, now)
	}
	witnesses := h.nextWitnesses(now)
	if h.countFresh(witnesses, now) == WitnessCount && h.mayReplace(now) {
		next.Witnesses = witnesses
		next.Direct = false
		return h.commit(next, now)
	}
	if h.committed.Direct || h.countFresh(h.committed.Witnesses, now) < WitnessCount-1 {
		next.Witnesses = nil
		next.Direct = true
		return h.commitDirect(next, now)
	}
	return h.commitIf(changed, next, now)
}

// commitDirect commits a direct row once the table has answered a moment ago. The commit of a holder that hears neither its witnesses
// nor the table would take effect all the same and make a takeover wait for another term.
func (h *Holder) commitDirect(next Row, now time.Time) []Effect {
	answered := !h.tableHeardAt.IsZero() && now.Sub(h.tableHeardAt) < h.terms.Heartbeat
	if h.committed.Direct || answered {
		return h.commit(next, now)
	}
	if now.Before(h.nextRead) {
		return nil
	}
	return h.readRows(now)
}

// mayReplace reports whether a lost witness may be replaced now: at once if fewer than two others renew the lease, otherwise
// after a delay that differs from holder to holder.
func (h *Holder) mayReplace(now time.Time) bool {
	if h.committed.Direct || h.countFresh(h.committed.Witnesses, now) < WitnessCount-1 {
		return true
	}
	if h.replaceAt.IsZero() {
		spread := uint64(h.liveNodes) * uint64(replaceDelayPerNode)
		h.replaceAt = now.Add(time.Duration(memberHash(replaceHashKey, h.Self()) % (spread + 1)))
	}
	return !now.Before(h.replaceAt)
}

func (h *Holder) commitIf(changed bool, next Row, now time.Time) []Effect {
	if !changed {
		return nil
	}
	return h.commit(next, now)
}
