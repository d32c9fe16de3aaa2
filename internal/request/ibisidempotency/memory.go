package ibisidempotency

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Memory stores the non-idempotent requests of the slots that a node owns. Its queue bodies holds the entries with stored
// headers or body, its queue expiry all entries that have ended.
type Memory struct {
	config        Config
	slots         map[ibisid.Slot]*slotMemory
	bytes         int
	lastRunNumber uint64
	latestTime    time.Time
	bodies        fifo
	expiry        fifo
}

// slotMemory holds the requests of one slot and the limits below which earlier runs may be missing from it.
type slotMemory struct {
	token               ibisid.Token
	ticketsIssued       uint64
	lossy               bool
	lossyToken          ibisid.Token
	lossyAt             time.Time
	newestExpiredTicket ticketWatermark
	moving              bool
	running             int
	entries             map[entryKey]*entry
}

type entryKey struct {
	tenant ibisid.TenantName
	key    string
}

type phase string

const (
	phaseAdmitted phase = "admitted"
	phaseSent     phase = "handed"
	phaseDone     phase = "done"
	phaseLost     phase = "lost"
)

type entry struct {
	slot        ibisid.Slot
	id          entryKey
	hash        uint64
	runNumber   uint64
	phase       phase
	fingerprint Fingerprint
	answer      Answer
	ended       time.Time
	dropped     bool
}

func (e *entry) size() int {
	return entryOverheadBytes + len(e.id.key) + len(e.id.tenant) + e.answer.size()
}

// New returns a memory without slots; it panics where the ticket key is shorter than 16 bytes.
func New(config Config) *Memory {
	if len(config.TicketKey) < minTicketKeyBytes {
		panic("ibisidempotency: the ticket key has fewer than 16 bytes")
	}
	return &Memory{
		config: config.withDefaults(),
		slots:  make(map[ibisid.Slot]*slotMemory),
	}
}

// Bytes returns the number of bytes charged for all entries, at most Config.MaxBytes.
func (m *Memory) Bytes() int { return m.bytes }

// Running returns the number of requests of the slot that have begun and not ended.
func (m *Memory) Running(slot ibisid.Slot) int {
	if s := m.slots[slot]; s != nil {
		return s.running
	}
	return 0
}

// Owns reports whether the memory holds the slot.
func (m *Memory) Owns(slot ibisid.Slot) bool { return m.slots[slot] != nil }

// Begin checks a request and admits it if it is new. A run that VerdictRun starts must end with Finish, Abandon, Retract
// or FinishUnknown.
func (m *Memory) Begin(e BeginEvent, now time.Time) Response {
	now = m.advanceClock(now)
	if e.Key == "" || len(e.Key) > maxKeyBytes && !isTicket(e.Key) {
		return refusedResponse(ReasonBadKey, 0)
	}
	s := m.slots[e.Slot]
	if s == nil {
		return refusedResponse(ReasonNotOwned, 0)
	}
	id := entryKey{
		tenant: e.Tenant,
		key:    canonicalKey(e.Key),
	}
	if known := s.entries[id]; known != nil {
		return known.response(e.Fingerprint)
	}
	if s.moving {
		return refusedResponse(ReasonMoving, movingRetryAfter)
	}
	response := m.verdictForNewKey(s, e, now)
	if response.Verdict != VerdictRun {
		return response
	}
	return m.admit(s, e, id)
}

func (e *entry) response(f Fingerprint) Response {
	if e.fingerprint != f {
		return refusedResponse(ReasonMismatch, 0)
	}
	switch e.phase {
	case phaseDone:
		return Response{
			Verdict: VerdictRepeat,
			Answer:  e.answer,
		}
	case phaseLost:
		return unknownResponse()
	case phaseAdmitted, phaseSent:
	}
	return Response{
		Verdict:    VerdictRunning,
		RetryAfter: runningRetryAfter,
	}
}

func (m *Memory) admit(s *slotMemory, e BeginEvent, id entryKey) Response {
	m.lastRunNumber++
	created := &entry{
		slot:        e.Slot,
		id:          id,
		hash:        e.Hash,
		runNumber:   m.lastRunNumber,
		phase:       phaseAdmitted,
		fingerprint: e.Fingerprint,
	}
	if !m.reserve(created.size()) {
		return refusedResponse(ReasonFull, fullRetryAfter)
	}
	s.entries[id] = created
	s.running++
	m.bytes += created.size()
	response := runResponse()
	response.Run = Run{
		slot:   e.Slot,
		id:     id,
		number: created.runNumber,
	}
	return response
}

// MarkSent marks a run as sent to the backend server; it must be called before the first byte is sent. It returns
// false where the run was already marked, has ended or was dropped with its slot; the request must then not be sent.
func (m *Memory) MarkSent(r Run) bool {
	e := m.find(r)
	if e == nil || e.phase != phaseAdmitted {
		return false
	}
	e.phase = phaseSent
	return true
}

// Abandon removes a run that was not marked as sent, so that its key can be used again; the caller may report "not run". It
// returns false where the run is not in that state.
func (m *Memory) Abandon(r Run) bool {
	e := m.find(r)
	if e == nil || e.phase != phaseAdmitted {
		return false
	}
	s := m.slots[e.slot]
	s.running--
	delete(s.entries, e.id)
	m.bytes -= e.size()
	return true
}

// Finish stores the answer of a run that was marked as sent; it returns false where the run is not in that state.
func (m *Memory) Finish(r Run, answer Answer, now time.Time) bool {
	e := m.find(r)
	if e == nil || e.phase != phaseSent {
		return false
	}
	m.endRun(e, phaseDone, now)
	m.storeAnswer(e, answer)
	return true
}

// FinishUnknown ends a run that was marked as sent and whose answer was not received; repeats of its key get VerdictUnknown.
// It returns false where the run is not in that state.
func (m *Memory) FinishUnknown(r Run, now time.Time) bool {
	e := m.find(r)
	if e == nil || e.phase != phaseSent {
		return false
	}
	m.endRun(e, phaseLost, now)
	return true
}

func (m *Memory) endRun(e *entry, p phase, now time.Time) {
	e.phase = p
	e.ended = now
	m.slots[e.slot].running--
	m.expiry.push(e)
}

func (m *Memory) find(r Run) *entry {
	s := m.slots[r.slot]
	if s == nil {
		return nil
	}
	e := s.entries[r.id]
	if e == nil || e.runNumber != r.number {
		return nil
	}
	return e
}
