package ibisrange_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// maxRowBytes is the maximum length of a row in the users' store.
const maxRowBytes = 64 << 10

// pageOf returns a page with the given numbers of owners and ranges per owner; each range has a handover text.
func pageOf(owners, rangesPerOwner int) ibisrange.Page {
	var page ibisrange.Page
	n := owners * rangesPerOwner
	for i := range n {
		owner := i % owners
		page.Ranges = append(page.Ranges, ibisrange.Range{
			Span: ibisrange.Span{From: i * ibisrange.Keys / n, To: (i+1)*ibisrange.Keys/n - 1},
			Owner: ibisrange.Owner{
				Node:        ibisid.NodeName(fmt.Sprintf("sidecar-failuredomain-a-%d@10.1.12.%d", owner, owner)),
				Incarnation: ibisroster.ServerIncarnation{ID: fmt.Sprintf("i-%010x", owner), StartedAt: 1782495306000},
			},
			Token:    ibisid.Token(100 + i),
			Handover: fmt.Sprintf("%016x", i),
		})
	}
	return page
}

var _ = Describe("A page's row", func() {
	It("preserves every field of the page", func() {
		page := pageOf(7, 3)
		page.Ranges[4].Next = "n9"
		page.Ranges[5].Handover = ""
		decoded, err := ibisrange.DecodePage(page.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(page))
	})

	It("has room for 120 owners with eight ranges each, all with handover texts", func() {
		Expect(len(pageOf(120, 8).Encode())).To(BeNumerically("<=", maxRowBytes))
	})

	DescribeTable("with invalid content is rejected with an error that names the cause",
		func(row, fault string) {
			_, err := ibisrange.DecodePage([]byte(row))
			Expect(err).To(MatchError(ContainSubstring(fault)))
		},
		Entry("invalid JSON", `{`, "decode page row"),
		Entry("a column is short", `{"owners":[{}],"to":[65535],"owner":[],"token":[1]}`, "page row: columns differ in length: 1 ranges, 0 owners, 1 tokens"),
		Entry("ranges overlap", `{"owners":[{}],"to":[9,5],"owner":[0,0],"token":[1,1]}`, "page row: a range ends at key 5 but must begin at key 10"),
		Entry("an owner isn't listed", `{"owners":[{}],"to":[65535],"owner":[1],"token":[1]}`, "page row: the range that ends at key 65535 has owner index 1, but 1 owners are listed"),
		Entry("keys are missing", `{"owners":[{}],"to":[9],"owner":[0],"token":[1]}`, "page row: ranges contain 10 keys but must contain 65536"),
		Entry("a range ends far beyond the keys", `{"owners":[{}],"to":[9223372036854775807,65535],"owner":[0,0],"token":[1,1]}`, "page row: a range ends at key 9223372036854775807, but there are 65536 keys"),
		Entry("a token has none above it", `{"owners":[{}],"to":[65535],"owner":[0],"token":[18446744073709551615]}`, "has token 18446744073709551615, must be at most 9007199254740991"),
		Entry("too many keys", `{"owners":[{}],"to":[65536],"owner":[0],"token":[1]}`, "page row: ranges contain 65537 keys but must contain 65536"),
	)
})

var _ = Describe("A service of 120 backend servers", func() {
	It("has a page row that fits into the store", func() {
		sim := newSimulation(20, 120, ibisrange.DeliveryHeartbeat)
		sim.lateHeartbeatShare = 0
		sim.run(8 * time.Second)
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
		for key, row := range sim.store.rows {
			if key.Table == ibisrange.TablePages {
				Expect(len(row.Value)).To(BeNumerically("<=", maxRowBytes))
			}
		}
	})
})

func FuzzPage(f *testing.F) {
	f.Add(pageOf(3, 2).Encode())
	f.Add([]byte(`{"owners":[{}],"to":[65535],"owner":[0],"token":[1]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		page, err := ibisrange.DecodePage(value)
		if err != nil {
			return
		}
		for key := range ibisrange.Keys {
			if _, ok := page.Find(key); !ok {
				t.Fatalf("key %d is in no range", key)
			}
		}
	})
}
