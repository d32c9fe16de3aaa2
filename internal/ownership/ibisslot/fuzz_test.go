package ibisslot

import (
	"bytes"
	"math"
	"testing"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// FuzzPage checks that a decoded page survives encoding and decoding, that its slots can change owner, and that a map that
// applied it handles lookups of every slot and of a hot key without a panic.
func FuzzPage(f *testing.F) {
	id := PageID{Space: ibisid.SlotSpace{Service: "print-floor"}}
	page := NewPage(id, 8)
	page.Assign(3, ibisid.Member{
		Name:        "helsinki-1",
		Incarnation: 7,
	}, true)
	page.AssignKey(HashKey("mat:4711"), ibisid.Member{
		Name:        "oulu-1",
		Incarnation: 9,
	}, false)
	f.Add(page.Encode())
	f.Add(NewPage(id, 16).Encode())
	last := NewPage(id, 8)
	last.assignments[0].Token = math.MaxUint64
	f.Add(last.Encode())
	f.Add([]byte{pageFormat, 0, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{pageFormat, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := DecodePage(id, 1, value)
		if err != nil {
			return
		}
		again, err := DecodePage(id, 1, p.Encode())
		if err != nil || !bytes.Equal(again.Encode(), p.Encode()) {
			t.Fatalf("page changed by encoding and decoding: %v", err)
		}
		for _, o := range p.Overrides() {
			if a, ok := p.Override(o.Key); !ok || a != o.Assignment {
				t.Fatalf("hot key %x not found in its page", o.Key)
			}
		}
		next := p.Clone()
		next.Assign(0, ibisid.Member{Name: "heir"}, false)
		if err := next.ValidateReplacement(p); err != nil {
			t.Fatalf("change of owner of a slot rejected: %v", err)
		}
		m := NewMap()
		m.AddSpace(id.Space, 8)
		if !m.Apply(p) {
			return
		}
		for i := range ibisid.SlotIndex(8) {
			m.Locate(ibisid.Slot{
				Space: id.Space,
				Index: i,
			})
		}
		m.LocateKey(id.Space, HashKey("mat:4711"))
		m.SlotsOf(id.Space, p.Slot(0).Owner)
		_ = p.ValidateReplacement(page)
		_ = page.ValidateReplacement(p)
	})
}
