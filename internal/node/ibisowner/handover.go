package ibisowner

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

const (
	// chunkBytes is the largest payload of one HandOver call.
	chunkBytes = 256 << 10
	// maxHandOverBytes bounds the memory of all incomplete incoming hand-overs.
	maxHandOverBytes = 64 << 20
	// handOverTTL is the age after which an incomplete incoming hand-over is dropped.
	handOverTTL         = 10 * time.Second
	maxPartialHandOvers = 256
)

var errHandOverRefused = errors.New("hand-over refused")

// unitID identifies a slot or hot key whose at-most-once memory was handed over.
type unitID struct {
	page     ibisslot.PageID
	position int
	key      ibisslot.KeyHash
}

func unitIDOf(id ibisslot.PageID, unit ibismove.Unit) unitID {
	return unitID{
		page:     id,
		position: unit.Position,
		key:      unit.Key,
	}
}

// handOver sends the at-most-once memory of the units to their target.
func (m *Manager) handOver(e ibismove.HandOverEffect) {
	known, ok := m.currentMember(e.Target)
	from := m.holder.Self()
	m.spawn(handOverTimeout, func(ctx context.Context) outcome {
		err := errHandOverRefused
		if ok {
			err = m.sendHandOver(ctx, known.row.PeerAddress, from, e)
		}
		return func(now time.Time) {
			if err != nil {
				m.moveEvent(e.Page, ibismove.TargetFailedEvent{Target: e.Target}, now)
				return
			}
			m.moveEvent(e.Page, ibismove.HandOverAckedEvent{
				Target:   e.Target,
				Sequence: e.Sequence,
			}, now)
		}
	})
}

func (m *Manager) sendHandOver(ctx context.Context, address string, from ibisid.Member, e ibismove.HandOverEffect) error {
	data, err := m.export(e)
	if err != nil {
		return err
	}
	parts := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	for part := range parts {
		args := HandOverArgs{
			From:      from,
			Target:    e.Target,
			Page:      e.Page,
			Sequence:  e.Sequence,
			Transfers: e.Transfers,
			Part:      part,
			Parts:     parts,
			Data:      data[part*chunkBytes : min(len(data), (part+1)*chunkBytes)],
		}
		if err := m.call(ctx, address, "HandOver", args, &struct{}{}); err != nil {
			return err
		}
	}
	return nil
}

// export returns the encoded at-most-once memory of the units; no request of theirs runs any more.
func (m *Manager) export(e ibismove.HandOverEffect) ([]byte, error) {
	records := make([]ibisidempotency.Record, 0, len(e.Transfers))
	var missing bool
	m.memory.WithCore(func(core *ibisidempotency.Memory) {
		for _, t := range e.Transfers {
			record, ok := m.exportUnit(core, m.unitSlot(e.Page, t.Unit))
			missing = missing || !ok || record.Token != t.Token
			records = append(records, record)
		}
	})
	if missing {
		return nil, errHandOverRefused
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(records); err != nil {
		return nil, fmt.Errorf("encode a hand-over to %s: %w", e.Target.Name, err)
	}
	return b.Bytes(), nil
}

func (m *Manager) cancelHandOver(e ibismove.CancelEffect) {
	known, ok := m.currentMember(e.Target)
	if !ok {
		return
	}
	address := known.row.PeerAddress
	m.spawn(callTimeout, func(ctx context.Context) outcome {
		_ = m.call(ctx, address, "Cancel", CancelArgs{
			Target:    e.Target,
			Page:      e.Page,
			Sequence:  e.Sequence,
			Transfers: e.Transfers,
		}, &struct{}{})
		return nil
	})
}

// handOvers collects the parts of incomplete incoming hand-overs.
type handOvers struct {
	mu      sync.Mutex
	partial map[handOverID]*partialHandOver
	bytes   int
}

type handOverID struct {
	from     ibisid.Member
	page     ibisslot.PageID
	sequence uint64
}

type partialHandOver struct {
	data    []byte
	part    int
	started time.Time
}

func newHandOvers() *handOvers {
	return &handOvers{partial: make(map[handOverID]*partialHandOver)}
}

// add appends a part to the earlier ones, and returns the data and true once the last part has arrived. It returns
// errHandOverRefused for a part that is out of order or exceeds the bounds on number and size.
func (h *handOvers) add(args HandOverArgs, now time.Time) ([]byte, bool, error) {
	id := handOverID{
		from:     args.From,
		page:     args.Page,
		sequence: args.Sequence,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	p := h.partial[id]
	if args.Part == 0 {
		h.drop(id)
		if len(h.partial) >= maxPartialHandOvers {
			return nil, false, errHandOverRefused
		}
		p = &partialHandOver{started: now}
		h.partial[id] = p
	}
	if p == nil || p.part != args.Part || h.bytes+len(args.Data) > maxHandOverBytes {
		h.drop(id)
		return nil, false, errHandOverRefused
	}
	p.data = append(p.data, args.Data...)
	h.bytes += len(args.Data)
	p.part++
	if p.part < args.Parts {
		return nil, false, nil
	}
	h.drop(id)
	return p.data, true, nil
}

func (h *handOvers) drop(id handOverID) {
	if p := h.partial[id]; p != nil {
		h.bytes -= len(p.data)
		delete(h.partial, id)
	}
}

func (h *handOvers) expire(now time.Time) {
	for id, p := range h.partial {
		if now.Sub(p.started) > handOverTTL {
			h.drop(id)
		}
	}
}

// acceptHandOver keeps the records of a complete hand-over until the page assigns the units. It returns an error if the
// node accepts no slots or a record does not match its transfer.
func (m *Manager) acceptHandOver(args HandOverArgs, data []byte) error {
	var records []ibisidempotency.Record
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&records); err != nil {
		return fmt.Errorf("decode a hand-over: %w", err)
	}
	if len(records) != len(args.Transfers) {
		return errHandOverRefused
	}
	err := errHandOverRefused
	m.update(func(now time.Time) {
		if _, valid := m.holder.Valid(now); !valid || m.leaving || m.evicting() {
			return
		}
		if !m.recordsMatch(args, records) || !m.receiver.HandOver(now, args.From, args.effect()) {
			return
		}
		for i, t := range args.Transfers {
			m.receivedRecords[unitIDOf(args.Page, t.Unit)] = records[i]
		}
		err = nil
	})
	return err
}

// recordsMatch reports whether each record has the slot and token of its transfer, so that no memory is kept under
// another unit or token.
func (m *Manager) recordsMatch(args HandOverArgs, records []ibisidempotency.Record) bool {
	for i, t := range args.Transfers {
		if records[i].Slot != m.unitSlot(args.Page, t.Unit) || records[i].Token != t.Token {
			return false
		}
	}
	return true
}

func (m *Manager) dropReceivedRecord(refused ibismove.RejectedUnit) {
	delete(m.receivedRecords, unitIDOf(refused.Page, refused.Unit))
	m.holdings.notify(m.unitSlot(refused.Page, refused.Unit))
}
