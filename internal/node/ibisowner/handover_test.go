package ibisowner

import (
	"bytes"
	"encoding/gob"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

var _ = Describe("A hand-over", func() {
	It("is refused if a record does not match its transfer", func() {
		c := newSettledCluster(21, 4, 4, true)
		from, to := c.nodes[0], c.nodes[1]
		slot := from.anyOwnedSlot()
		a, _ := from.routes.locate(slot, "")
		send := func(recordIndex int, ahead ibisid.Token) error {
			record := ibisidempotency.Record{
				Slot:  testSlot(recordIndex),
				Token: a.Token,
			}
			var data bytes.Buffer
			Expect(gob.NewEncoder(&data).Encode([]ibisidempotency.Record{record})).To(Succeed())
			return to.acceptHandOver(HandOverArgs{
				From:   from.Self().Member,
				Target: to.Self().Member,
				Page: ibisslot.PageID{
					Space:  slot.Space,
					Number: slot.Page(),
				},
				Sequence: 1,
				Transfers: []ibismove.Transfer{{
					Unit: ibismove.Unit{
						Position: int(slot.Index),
					},
					Target: to.Self().Member,
					Token:  a.Token + ahead,
				}},
				Parts: 1,
			}, data.Bytes())
		}
		Expect(send(int(slot.Index)+1, 0)).To(MatchError(errHandOverRefused))
		Expect(send(int(slot.Index), 1)).To(MatchError(errHandOverRefused))
		Expect(send(int(slot.Index), 0)).To(Succeed())
	})

	It("shares a bound on memory with all other incomplete hand-overs", func() {
		h := newHandOvers()
		now := time.Unix(1_700_000_000, 0)
		chunk := make([]byte, chunkBytes)
		kept := 0
		for sequence := range uint64(2 * maxPartialHandOvers) {
			for part := range 4 {
				_, _, err := h.add(HandOverArgs{
					Sequence: sequence,
					Part:     part,
					Parts:    5,
					Data:     chunk,
				}, now)
				if err == nil {
					kept++
				}
			}
		}
		Expect(h.bytes).To(BeNumerically("<=", maxHandOverBytes))
		Expect(kept).To(BeNumerically(">", 0))
		h.expire(now.Add(2 * handOverTTL))
		Expect(h.bytes).To(BeZero())
	})
})
