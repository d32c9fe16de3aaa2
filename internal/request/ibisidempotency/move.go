package ibisidempotency

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Takeover is the kind of takeover of a slot without a record of its earlier requests.
type Takeover string

const (
	// TakeoverFresh means that the slot has had no owner before.
	TakeoverFresh Takeover = "fresh"
	// TakeoverLossy means that the memory of an earlier owner was not imported.
	TakeoverLossy Takeover = "lossy"
)

// Acquire starts an empty memory of a slot under the committed token. The time now must be read after that commit: after a
// lossy takeover, keys that are newer than now by the clock margins count as new, so an earlier time could admit a key that
// the previous owner has run.
func (m *Memory) Acquire(slot ibisid.Slot, token ibisid.Token, takeover Takeover, now time.Time) {
	m.Drop(slot)
	m.slots[slot] = &slotMemory{
		token:      token,
		lossy:      takeover != TakeoverFresh,
		lossyToken: token,
		lossyAt:    now,
		entries:    make(map[entryKey]*entry),
	}
}

// Drop removes a slot that the node no longer owns; Finish, Abandon and FinishUnknown return false for its runs.
func (m *Memory) Drop(slot ibisid.Slot) {
	s := m.slots[slot]
	if s == nil {
		return
	}
	for _, e := range s.entries {
		m.bytes -= e.size()
		e.dropped = true
	}
	delete(m.slots, slot)
	m.bodies.compact()
	m.expiry.compact()
}

func (f *fifo) compact() {
	f.items = slices.DeleteFunc(f.items, func(e *entry) bool { return e.dropped })
}

// Record is the memory of one slot or hot key in the form in which it is sent to a new owner.
type Record struct {
	// Slot is the slot or the hot key.
	Slot ibisid.Slot
	// Token is the fencing token of the exporting owner.
	Token ibisid.Token
	// Sequence is the number of tickets issued under the token.
	Sequence uint64
	// Lossy reports that an owner took over without the earlier memory.
	Lossy bool
	// LossyToken is the fencing token of that takeover.
	LossyToken ibisid.Token
	// LossyAt is the time of that takeover.
	LossyAt time.Time
	// ForgottenToken is the token of the newest ticket whose entry expired.
	ForgottenToken uint64
	// ForgottenSequence is the sequence of that ticket.
	ForgottenSequence uint64
	// Entries lists the ended requests, oldest first.
	Entries []EntryRecord
}

// EntryRecord is one ended request.
type EntryRecord struct {
	// Tenant is the tenant.
	Tenant ibisid.TenantName
	// Key is the idempotency key.
	Key string
	// Hash is the hash of the request's sharding key, zero where it is not recorded.
	Hash uint64
	// Fingerprint distinguishes a repeat from another request under the same key.
	Fingerprint Fingerprint
	// Lost reports that the answer was not received.
	Lost bool
	// Answer is the first answer.
	Answer Answer
	// Ended is when the request ended.
	Ended time.Time
}

// StopAdmission stops admission of new requests to a slot that is to be moved; repeats are still answered.
func (m *Memory) StopAdmission(slot ibisid.Slot) {
	if s := m.slots[slot]; s != nil {
		s.moving = true
	}
}

// ResumeAdmission admits requests again after a cancelled move. It may be called only once it is certain that the move's commit
// did not and will not take effect.
func (m *Memory) ResumeAdmission(slot ibisid.Slot) {
	if s := m.slots[slot]; s != nil {
		s.moving = false
	}
}

// Export returns the record of a slot that is held and has no running request, and false otherwise. The slot stays held
// until Drop or ResumeAdmission.
func (m *Memory) Export(slot ibisid.Slot, now time.Time) (Record, bool) {
	m.advanceClock(now)
	s := m.slots[slot]
	if s == nil || !s.moving || s.running > 0 {
		return Record{}, false
	}
	return s.export(slot, func(*entry) bool { return true }), true
}

// export returns the included entries and the state of the slot as a record under the slot or hot key to.
func (s *slotMemory) export(to ibisid.Slot, include func(*entry) bool) Record {
	r := Record{
		Slot:              to,
		Token:             s.token,
		Sequence:          s.ticketsIssued,
		Lossy:             s.lossy,
		LossyToken:        s.lossyToken,
		LossyAt:           s.lossyAt,
		ForgottenToken:    s.newestExpiredTicket.token,
		ForgottenSequence: s.newestExpiredTicket.sequence,
	}
	for _, e := range s.entries {
		if include(e) {
			r.Entries = append(r.Entries, e.record())
		}
	}
	slices.SortFunc(r.Entries, func(a, b EntryRecord) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Key, b.Key))
	})
	return r
}

func (e *entry) record() EntryRecord {
	return EntryRecord{
		Tenant:      e.id.tenant,
		Key:         e.id.key,
		Hash:        e.hash,
		Fingerprint: e.fingerprint,
		Lost:        e.phase == phaseLost,
		Answer:      e.answer,
		Ended:       e.ended,
	}
}

// Import restores a slot from the record of its previous owner, under the token that the move committed; it drops any
// memory that the node has of the slot first. It returns false and restores nothing where the keys without their answers
// don't fit or a key occurs twice; the caller must then cancel the move or acquire the slot as TakeoverLossy.
func (m *Memory) Import(r Record, token ibisid.Token, now time.Time) bool {
	m.advanceClock(now)
	m.Drop(r.Slot)
	s := m.slotMemoryFrom(r, token)
	if len(s.entries) != len(r.Entries) {
		return false
	}
	size := 0
	for _, e := range s.entries {
		size += e.size() - e.answer.size()
	}
	if !m.reserve(size) {
		return false
	}
	m.bytes += size
	m.slots[r.Slot] = s
	for _, k := range r.Entries {
		e := s.entries[entryKey{
			tenant: k.Tenant,
			key:    k.Key,
		}]
		answer := e.answer
		e.answer = Answer{}
		if e.phase == phaseDone {
			m.storeAnswer(e, answer)
		}
		m.expiry.push(e)
	}
	m.expiry.sort()
	m.bodies.sort()
	return true
}

func (f *fifo) sort() {
	slices.SortStableFunc(f.items, func(a, b *entry) int { return a.ended.Compare(b.ended) })
}

func (m *Memory) slotMemoryFrom(r Record, token ibisid.Token) *slotMemory {
	s := &slotMemory{
		token:      token,
		lossy:      r.Lossy,
		lossyToken: r.LossyToken,
		lossyAt:    r.LossyAt,
		entries:    make(map[entryKey]*entry),
		newestExpiredTicket: ticketWatermark{
			token:    r.ForgottenToken,
			sequence: r.ForgottenSequence,
		},
	}
	if token == r.Token {
		s.ticketsIssued = r.Sequence
	}
	for _, k := range r.Entries {
		e := k.entry(r.Slot)
		s.entries[e.id] = e
	}
	return s
}

func (k EntryRecord) entry(slot ibisid.Slot) *entry {
	p := phaseDone
	if k.Lost {
		p = phaseLost
	}
	return &entry{
		slot: slot,
		id: entryKey{
			tenant: k.Tenant,
			key:    k.Key,
		},
		hash:        k.Hash,
		phase:       p,
		fingerprint: k.Fingerprint,
		answer:      k.Answer,
		ended:       k.Ended,
	}
}

// EncodeRecord returns the gob encoding of a record; it returns an error where gob cannot encode it.
func EncodeRecord(r Record) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r); err != nil {
		return nil, fmt.Errorf("encode the idempotency record of slot %s: %w", r.Slot, err)
	}
	return b.Bytes(), nil
}

// DecodeRecord decodes a record; it returns an error where the data is damaged.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode an idempotency record of %d bytes: %w", len(data), err)
	}
	return r, nil
}
