package ibiskeep_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// rowBytes is the most that a row of the users' store takes.
const rowBytes = 64 << 10

// pageOf returns a page of so many owners, each with so many ranges that have been handed over.
func pageOf(owners, each int) ibiskeep.Page {
	var page ibiskeep.Page
	n := owners * each
	for i := range n {
		owner := i % owners
		page.Ranges = append(page.Ranges, ibiskeep.Range{
			Span: ibiskeep.Span{From: i * ibiskeep.Keys / n, To: (i+1)*ibiskeep.Keys/n - 1},
			Owner: ibiskeep.Owner{
				Node: ibisid.NodeName(fmt.Sprintf("sidecar-failuredomain-a-%d@10.1.12.%d", owner, owner)),
				Life: ibisroster.Life{ID: fmt.Sprintf("i-%010x", owner), Born: 1782495306000},
			},
			Token:    ibisid.Token(100 + i),
			Handover: fmt.Sprintf("%016x", i),
		})
	}
	return page
}

var _ = Describe("A page's row", func() {
	It("holds all that the page does", func() {
		page := pageOf(7, 3)
		page.Ranges[4].Next = "n9"
		page.Ranges[5].Handover = ""
		decoded, err := ibiskeep.DecodePage(page.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(page))
	})

	It("bears 120 owners with eight ranges each, all handed over", func() {
		Expect(len(pageOf(120, 8).Encode())).To(BeNumerically("<=", rowBytes))
	})

	DescribeTable("that can't be used is refused with its fault",
		func(row, fault string) {
			_, err := ibiskeep.DecodePage([]byte(row))
			Expect(err).To(MatchError(ContainSubstring(fault)))
		},
		Entry("no JSON", `{`, "row of a page"),
		Entry("a column is short", `{"owners":[{}],"to":[65535],"owner":[],"token":[1]}`, "1 ranges have 0 owners and 1 tokens"),
		Entry("ranges overlap", `{"owners":[{}],"to":[9,5],"owner":[0,0],"token":[1,1]}`, "ends at 5 where it must begin at 10"),
		Entry("an owner that isn't listed", `{"owners":[{}],"to":[65535],"owner":[1],"token":[1]}`, "owner 1 of 1"),
		Entry("keys are missing", `{"owners":[{}],"to":[9],"owner":[0],"token":[1]}`, "end at 10 and must end at 65536"),
		Entry("too many keys", `{"owners":[{}],"to":[65536],"owner":[0],"token":[1]}`, "end at 65537"),
	)
})

var _ = Describe("A service of 120 backend servers", func() {
	It("has its keys divided in a row that the store takes", func() {
		w := newWorld(20, 120)
		w.lateBeats = 0
		w.run(8 * time.Second)
		Expect(w.served()).To(Equal(ibiskeep.Keys))
		for key, row := range w.rows {
			if key.Table == ibiskeep.TablePages {
				Expect(len(row.Value)).To(BeNumerically("<=", rowBytes))
			}
		}
	})
})

func FuzzPage(f *testing.F) {
	f.Add(pageOf(3, 2).Encode())
	f.Add([]byte(`{"owners":[{}],"to":[65535],"owner":[0],"token":[1]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		page, err := ibiskeep.DecodePage(value)
		if err != nil {
			return
		}
		for key := range ibiskeep.Keys {
			if _, ok := page.Find(key); !ok {
				t.Fatalf("key %d is in no range", key)
			}
		}
	})
}
