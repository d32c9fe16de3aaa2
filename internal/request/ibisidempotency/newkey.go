package ibisidempotency

import (
	"time"

	"github.com/google/uuid"
)

// verdictForNewKey decides about a key without an entry in the slot: it may run only where the entry of an earlier run
// cannot have expired or been lost in a takeover.
func (m *Memory) verdictForNewKey(s *slotMemory, e BeginEvent, now time.Time) Response {
	if isTicket(e.Key) {
		return m.verdictForTicket(s, e)
	}
	if at, ok := uuidTime(e.Key); ok {
		return m.verdictForUUID(s, at, now)
	}
	if s.lossy && now.Before(s.lossyAt.Add(m.config.Retention+m.config.NodeSkew)) {
		return unknownResponse()
	}
	return runResponse()
}

func (m *Memory) verdictForTicket(s *slotMemory, e BeginEvent) Response {
	t, ok := m.parseTicket(e.Key)
	if !ok || t.Slot != e.Slot.WithoutHotKey() || t.Tenant != e.Tenant {
		return refusedResponse(ReasonBadTicket, 0)
	}
	if s.lossy && t.Token < s.lossyToken {
		return unknownResponse()
	}
	if !s.newestExpiredTicket.olderThan(t) {
		return unknownResponse()
	}
	return runResponse()
}

// verdictForUUID compares the key's time with the takeover and the retention time. Every owner refuses keys whose time is
// further ahead of its clock than Skew, so the time in a key that ran before the takeover is at most the takeover plus
// Skew and NodeSkew, whichever clock generated the key.
func (m *Memory) verdictForUUID(s *slotMemory, at, now time.Time) Response {
	if ahead := at.Sub(now); ahead > m.config.Skew {
		return refusedResponse(ReasonFuture, ahead-m.config.Skew)
	}
	margin := m.config.Skew + m.config.NodeSkew
	if s.lossy && !at.After(s.lossyAt.Add(margin)) {
		return unknownResponse()
	}
	if !at.After(now.Add(margin - m.config.Retention)) {
		return unknownResponse()
	}
	return runResponse()
}

// ticketWatermark is the token and sequence of the newest ticket whose entry has expired.
type ticketWatermark struct {
	token    uint64
	sequence uint64
}

// olderThan reports whether the ticket was issued after that of the watermark: under a later token, or under the same token
// with a higher sequence.
func (w ticketWatermark) olderThan(t ticket) bool {
	if uint64(t.Token) != w.token {
		return uint64(t.Token) > w.token
	}
	return t.Sequence > w.sequence
}

func (w *ticketWatermark) raise(t ticket) {
	if w.olderThan(t) {
		w.token = uint64(t.Token)
		w.sequence = t.Sequence
	}
}

const uuidVersionTimeOrdered = 7

func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionTimeOrdered {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

func runResponse() Response {
	return Response{
		Verdict: VerdictRun,
	}
}

func unknownResponse() Response {
	return Response{
		Verdict: VerdictUnknown,
	}
}

func refusedResponse(reason Reason, retryAfter time.Duration) Response {
	return Response{
		Verdict:    VerdictRefused,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
