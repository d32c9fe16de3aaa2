package ibisidempotency

import (
	"time"

	"github.com/google/uuid"
)

// fifo is a queue of ended entries, oldest first; peek skips entries that were dropped from the memory.
type fifo struct {
	items []*entry
}

func (f *fifo) push(e *entry) { f.items = append(f.items, e) }

func (f *fifo) peek() *entry {
	for len(f.items) > 0 && f.items[0].dropped {
		f.pop()
	}
	if len(f.items) == 0 {
		return nil
	}
	return f.items[0]
}

func (f *fifo) pop() {
	f.items[0] = nil
	f.items = f.items[1:]
}

// storeAnswer stores an answer; it drops headers and body where they exceed Config.MaxAnswer or don't fit into the memory
// after the older answers are dropped.
func (m *Memory) storeAnswer(e *entry, answer Answer) {
	if answer.size() > m.config.MaxAnswer || !m.reserve(answer.size()) {
		answer = truncated(answer)
	}
	e.answer = answer
	m.bytes += answer.size()
	if answer.size() > 0 {
		m.bodies.push(e)
	}
}

func truncated(a Answer) Answer {
	return Answer{
		Status:    a.Status,
		Truncated: true,
	}
}

// reserve drops the oldest headers and bodies until size more bytes fit, and reports whether they fit. It removes no key.
func (m *Memory) reserve(size int) bool {
	for m.bytes+size > m.config.MaxBytes {
		e := m.bodies.peek()
		if e == nil {
			return false
		}
		m.bodies.pop()
		m.bytes -= e.answer.size()
		e.answer = truncated(e.answer)
	}
	return true
}

// advanceClock expires old entries and returns the latest time seen, so that a clock that steps back does not make old
// keys count as recent.
func (m *Memory) advanceClock(now time.Time) time.Time {
	if now.After(m.latestTime) {
		m.latestTime = now
	}
	m.expire(m.latestTime)
	return m.latestTime
}

// expire removes requests that ended at least the retention time ago.
func (m *Memory) expire(now time.Time) {
	for {
		e := m.expiry.peek()
		if e == nil || now.Sub(e.ended) < m.config.Retention {
			return
		}
		m.expiry.pop()
		m.removeExpired(e)
	}
}

func (m *Memory) removeExpired(e *entry) {
	s := m.slots[e.slot]
	if t, ok := m.parseTicket(e.id.key); ok {
		s.newestExpiredTicket.raise(t)
	}
	delete(s.entries, e.id)
	e.dropped = true
	m.bytes -= e.size()
}

// canonicalKey returns the same key for every spelling of a UUID of version 7.
func canonicalKey(key string) string {
	if isTicket(key) {
		return key
	}
	if id, err := uuid.Parse(key); err == nil && id.Version() == uuidVersionTimeOrdered {
		return id.String()
	}
	return key
}
