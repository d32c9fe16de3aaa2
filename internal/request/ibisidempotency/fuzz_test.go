package ibisidempotency

import (
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var fuzzSlot = ibisid.Slot{
	Space: ibisid.SlotSpace{Service: "print-floor"},
	Index: 3,
}

func fuzzMemory(now time.Time) *Memory {
	m := New(Config{
		TicketKey: []byte("a key of sixteen bytes"),
		MaxBytes:  4096,
	})
	m.Acquire(fuzzSlot, 1, TakeoverFresh, now)
	return m
}

// FuzzRecord checks that importing a damaged or forged record keeps the byte count within its limit, and that the count
// returns to zero when the slot is dropped.
func FuzzRecord(f *testing.F) {
	now := time.Unix(1_800_000_000, 0).UTC()
	m := fuzzMemory(now)
	for _, key := range []string{"one", "two"} {
		run := m.Begin(BeginEvent{
			Slot: fuzzSlot,
			Key:  key,
		}, now).Run
		m.MarkSent(run)
		m.Finish(run, Answer{
			Status: 201,
			Body:   []byte(key),
		}, now)
	}
	m.StopAdmission(fuzzSlot)
	record, _ := m.Export(fuzzSlot, now)
	seed := func(r Record) {
		data, err := EncodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(record)
	twice := record
	twice.Entries = append(twice.Entries, record.Entries...)
	seed(twice)
	seed(Record{})
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		m := fuzzMemory(now)
		m.Import(r, r.Token+1, now)
		for _, e := range r.Entries {
			m.Begin(BeginEvent{
				Slot:        r.Slot,
				Tenant:      e.Tenant,
				Key:         e.Key,
				Fingerprint: e.Fingerprint,
			}, now)
		}
		if m.Bytes() < 0 || m.Bytes() > 4096 {
			t.Fatalf("the memory counts %d bytes, want 0 to 4096", m.Bytes())
		}
		m.Drop(r.Slot)
		if m.Bytes() != 0 {
			t.Fatalf("the memory counts %d bytes after its slot was dropped", m.Bytes())
		}
	})
}

// FuzzTicket checks that no text but an issued ticket is accepted as a ticket.
func FuzzTicket(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	issued, _ := fuzzMemory(now).IssueTicket(fuzzSlot, "shop")
	for _, text := range []string{issued, issued[:len(issued)-1], "ibt_", "ibt_AAAA", "0199e1b0-7b5c-7000-8000-000000000000", "\x00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		m := fuzzMemory(now)
		if _, ok := m.TicketSlot(text); ok && text != issued {
			t.Fatalf("%q is accepted as a ticket but was not issued", text)
		}
		m.Begin(BeginEvent{
			Slot:   fuzzSlot,
			Tenant: "shop",
			Key:    text,
		}, now)
		if m.Bytes() < 0 {
			t.Fatalf("the memory counts %d bytes, want at least 0", m.Bytes())
		}
	})
}
