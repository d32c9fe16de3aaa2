package ibiskeep

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// takeoverSlack is added to the term before a lapsed lease is taken, for the drift of the store's clock.
	takeoverSlack = 500 * time.Millisecond
	// aliveRenewals is after how many missed renewals a node is given no more ranges; leases are read at each second renewal.
	aliveRenewals = 4
	// rememberedRenewals is how many renewals without an answer are remembered, as they may have taken effect.
	rememberedRenewals = 8
)

// lease is the node's own lease.
type lease struct {
	version uint64
	until   time.Time
	// began is when the present run of unbroken validity began.
	began   time.Time
	sentAt  time.Time
	renewal *renewal
	lost    []renewal
	retryAt time.Time
}

// renewal is one renewal under way, or without an answer.
type renewal struct {
	id     uint64
	sentAt time.Time
	writer string
}

// leaseRow is the content of a lease.
type leaseRow struct {
	// Writer names the renewal, so that one without an answer is known again.
	Writer string `json:"writer"`
	// UntilMs is when the lease ends by the store's clock at the latest, in milliseconds; zero where the node had not seen
	// that clock yet.
	UntilMs int64 `json:"untilMs,omitempty"`
}

func (r leaseRow) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease can't be encoded: %v", err))
	}
	return value
}

// decodeLease reads a lease; one that can't be read names no writer and no end, and still stands.
func decodeLease(value []byte) leaseRow {
	var r leaseRow
	if json.Unmarshal(value, &r) != nil {
		return leaseRow{}
	}
	return r
}

// storeClock is an answer's view of the store's clock: it showed the reading no earlier than the question was sent.
type storeClock struct {
	reading time.Duration
	sent    time.Time
}

// latest returns the greatest reading that the store's clock may show at a time.
func (c storeClock) latest(at time.Time) time.Duration {
	return c.reading + time.Duration(float64(at.Sub(c.sent))*(1+driftShare))
}

// peerLease is another node's lease as the store showed it.
type peerLease struct {
	version uint64
	since   time.Duration
	seenAt  time.Duration
	until   time.Duration
}

func (k *Keeper) leaseValid(now time.Time) bool { return now.Before(k.lease.until) }

// wantsLease reports whether the node has a reason to hold a lease: a backend server that may hold keys.
func (k *Keeper) wantsLease(now time.Time) bool {
	s := &k.server
	if s.life.IsZero() {
		return false
	}
	return !s.ended || k.Owns() || now.Sub(s.lastBeat) < k.config.LeaseTerm
}

func (k *Keeper) planRenewal(now time.Time) {
	if k.lease.renewal != nil || now.Before(k.lease.retryAt) || !k.wantsLease(now) {
		return
	}
	if k.leaseValid(now) && now.Sub(k.lease.sentAt) < k.config.RenewEvery {
		return
	}
	k.lastID++
	r := &renewal{
		id:     k.lastID,
		sentAt: now,
		writer: fmt.Sprintf("%d/%d", k.config.Incarnation, k.lastID),
	}
	k.lease.renewal = r
	key := k.leaseKey(k.config.Node)
	row := leaseRow{
		Writer: r.writer,
	}
	if k.clock.reading > 0 {
		row.UntilMs = k.clock.latest(now.Add(k.config.LeaseTerm)).Milliseconds()
	}
	k.emit(CommitEffect{
		ID:      r.id,
		Purpose: PurposeRenew,
		Commit: ibisstore.Commit{
			Conditions: []ibisstore.Condition{{
				Key:     key,
				Version: k.lease.version,
			}},
			Writes: []ibisstore.Write{{
				Key:   key,
				Value: row.encode(),
			}},
		},
	})
}

func (k *Keeper) renewed(result ibisstore.Result, now time.Time) {
	r := k.lease.renewal
	k.lease.renewal = nil
	switch result.Outcome {
	case ibisstore.OutcomeApplied:
		k.takeClock(result.Clock, r.sentAt)
		k.lease.version = result.Version
		k.lease.lost = nil
		k.extend(r.sentAt, now)
	case ibisstore.OutcomeConflict:
		k.renewalConflict(result.Rows, now)
	case ibisstore.OutcomeUnknown:
		k.lease.lost = append(k.lease.lost, *r)
		if n := len(k.lease.lost); n > rememberedRenewals {
			k.lease.lost = k.lease.lost[n-rememberedRenewals:]
		}
		k.lease.retryAt = now.Add(retryAfter)
	case ibisstore.OutcomeRefused:
		k.lease.retryAt = now.Add(retryAfter)
	}
}

// takeClock notes the store's clock from the answer to a question.
func (k *Keeper) takeClock(reading time.Duration, sent time.Time) {
	if reading > 0 && sent.After(k.clock.sent) {
		k.clock = storeClock{
			reading: reading,
			sent:    sent,
		}
	}
}

// extend makes the lease last for a term from when its renewal was sent. After a lapse others may have taken the ranges,
// so the page must be read anew before anything is granted.
func (k *Keeper) extend(sentAt, now time.Time) {
	if !k.leaseValid(now) {
		k.pageStale = true
		k.lease.began = now
	}
	k.lease.sentAt = sentAt
	term := time.Duration(float64(k.config.LeaseTerm) * (1 - driftShare))
	if until := sentAt.Add(term); until.After(k.lease.until) {
		k.lease.until = until
	}
}

// renewalConflict goes on from the row as it stands: an own renewal that had no answer, or one of a former run.
func (k *Keeper) renewalConflict(rows []ibisstore.Row, now time.Time) {
	key := k.leaseKey(k.config.Node)
	var current ibisstore.Row
	for _, row := range rows {
		if row.Key == key && !row.Removed {
			current = row
		}
	}
	k.lease.version = current.Version
	writer := decodeLease(current.Value).Writer
	for _, lost := range k.lease.lost {
		if current.Version != 0 && writer == lost.writer {
			k.extend(lost.sentAt, now)
			return
		}
	}
	k.lease.until = time.Time{}
	k.pageStale = true
}

// takeLeases notes since when, by the store's clock, each lease has stood unchanged.
func (k *Keeper) takeLeases(snapshot ibisstore.Snapshot, now time.Time) {
	k.leasesAt = now
	seen := make(map[ibisid.NodeName]peerLease)
	for _, row := range snapshot.Rows {
		node := ibisid.NodeName(row.Key.Name)
		p := peerLease{
			version: row.Version,
			since:   snapshot.Clock,
			seenAt:  snapshot.Clock,
			until:   time.Duration(decodeLease(row.Value).UntilMs) * time.Millisecond,
		}
		if known, ok := k.peers[node]; ok && known.version == row.Version {
			p.since = known.since
		}
		seen[node] = p
	}
	for _, r := range k.page.Ranges {
		k.takeAbsence(seen, r.Owner.Node, snapshot.Clock)
	}
	k.peers = seen
}

// takeAbsence notes since when a node that owns ranges has had no lease.
func (k *Keeper) takeAbsence(seen map[ibisid.NodeName]peerLease, node ibisid.NodeName, clock time.Duration) {
	if _, ok := seen[node]; ok {
		return
	}
	p := peerLease{
		since:  clock,
		seenAt: clock,
	}
	if known, ok := k.peers[node]; ok && known.version == 0 {
		p.since = known.since
	}
	seen[node] = p
}

// lapsed reports whether no grant under the lease can still stand: its end by the store's clock has passed, or it has been
// seen unchanged for a whole term.
func (k *Keeper) lapsed(p peerLease) bool {
	if p.until > 0 && p.seenAt >= p.until+takeoverSlack {
		return true
	}
	return p.seenAt-p.since >= k.config.LeaseTerm+takeoverSlack
}

// alive reports whether a node renewed its lease lately.
func (k *Keeper) alive(node ibisid.NodeName) bool {
	if node == k.config.Node {
		return true
	}
	p, ok := k.peers[node]
	return ok && p.version != 0 && p.seenAt-p.since < aliveRenewals*k.config.RenewEvery
}
