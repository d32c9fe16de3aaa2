package ibisslot_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

func init() { flag.Set("rapid.seed", "7") } // the same drawn values in each run

func TestSlot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisslot")
}

var space = ibisid.SlotSpace{Service: "print-floor"}

func member(i int) ibisid.Member {
	return ibisid.Member{
		Name:        ibisid.NodeName(fmt.Sprintf("node-%d", i)),
		Incarnation: 1,
	}
}

// TestPageRoundTrip checks that a page survives encoding and decoding, that Decode rejects every truncated value, and that
// every change of a page gives a valid replacement.
func TestPageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := ibisslot.PageID{Space: space}
		page := ibisslot.NewPage(id, 16)
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			next := page.Clone()
			m, key := member(rapid.IntRange(0, 5).Draw(t, "member")), ibisslot.KeyHash(rapid.IntRange(0, 64).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next.AssignKey(key, m, true)
			case 1:
				next.ReleaseKey(key)
			case 2:
				next.SetStandbys(next.Position(key), [ibisslot.MaxStandbys]ibisid.Member{m})
			default:
				next.Assign(next.Position(key), m, false)
			}
			if err := next.ValidateReplacement(page); err != nil {
				t.Fatal(err)
			}
			page = next
		}
		value := page.Encode()
		read, err := ibisslot.DecodePage(id, 0, value)
		if err != nil || string(read.Encode()) != string(value) {
			t.Fatal("page changed by encoding and decoding:", err)
		}
		if _, err := ibisslot.DecodePage(id, 0, value[:rapid.IntRange(0, len(value)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("truncated page was decoded")
		}
	})
}

var _ = Describe("Map", func() {
	It("applies only higher versions and finds slots, hot keys and the slots of an owner", func() {
		m := ibisslot.NewMap()
		m.AddSpace(space, 1024)
		page := ibisslot.NewPage(ibisslot.PageID{
			Space:  space,
			Number: 1,
		}, 1024)
		page.Assign(3, member(1), false)
		key := ibisslot.KeyHash(512 + 3)
		Expect(m.Apply(page.WithVersion(5))).To(BeTrue())
		found, ok := m.LocateKey(space, key)
		Expect(ok).To(BeTrue())
		Expect(found.Owner).To(Equal(member(1)))
		Expect(m.SlotsOf(space, member(1))).To(Equal([]ibisid.SlotIndex{515}))

		page.AssignKey(key, member(2), true)
		Expect(m.Apply(page.WithVersion(5))).To(BeFalse())
		Expect(m.Apply(page.WithVersion(6))).To(BeTrue())
		found, _ = m.LocateKey(space, key)
		Expect(found.Owner).To(Equal(member(2)))
		Expect(found.Token).To(Equal(ibisid.Token(2)))
		page.Assign(3, member(3), false)
		Expect(m.Apply(page.WithVersion(7))).To(BeTrue())
		Expect(m.SlotsOf(space, member(1))).To(BeEmpty())
		_, ok = m.Locate(ibisid.Slot{
			Space: space,
			Index: 4,
		})
		Expect(ok).To(BeFalse())
	})
})
