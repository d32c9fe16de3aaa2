package ibisnode_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

var _ = Describe("a rule that pins keys", func() {
	It("moves the keys under traffic: none runs outside the pinned domain, no request fails, and no order runs twice", func(ctx SpecContext) {
		const pinned = 16
		token, hash := ibisdoc.NewTeamToken("floor")
		document := ibisdoc.Sections{}
		for name, text := range sections() {
			document[ibisdoc.SectionName(name)] = json.RawMessage(text)
		}
		document["teams"] = json.RawMessage(fmt.Sprintf(`{"floor":{"sections":["classes","keySpaces","routes","services","teams","tenants","topology","rules/*"],"tokens":[{"salt":%q,"sha256":%q}]}}`, hash.Salt, hash.SHA256))
		store := ibisstore.New()
		editor := ibissection.New(store, store, ibistimer.New())
		outcome := editor.Init(ctx, "first", document)
		Expect(outcome.Status).To(Equal(ibissection.StatusApplied), "%+v", outcome)
		first, unpinnedServer := startWithServer("node-1", "helsinki-a", store)
		_, pinnedServer := startWithServer("node-2", "espoo-b", store)
		address := first.CallerAddress()
		Eventually(func() int { return failedReads(address, 64) }).WithTimeout(20 * time.Second).Should(BeZero())
		for key := range 64 {
			Expect(sendOrder(address, key)).To(Equal("first"))
		}
		outcome = editor.Put(ctx, token, ibissection.Change{
			ID: "pin",
			Edits: []ibissection.Edit{{
				Section: "rules/floor",
				Content: json.RawMessage(fmt.Sprintf(`{"p":{"kind":"pin","service":"print-floor","keys":[{"scheme":"mat/urn","from":"urn:kk:mat:0","to":"urn:kk:mat:%d"}],"domains":["espoo-b"]}}`, pinned-1)),
			}},
		})
		Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
		runsOutsidePin := func() int {
			before := unpinnedServer.Counts().Runs
			Expect(failedReads(address, pinned)).To(BeZero())
			return unpinnedServer.Counts().Runs - before
		}
		Eventually(runsOutsidePin).WithTimeout(20 * time.Second).Should(BeZero())
		Expect(runsOutsidePin()).To(BeZero())
		for key := range 64 {
			Expect(sendOrder(address, key)).To(Equal("repeated"))
		}
		Expect(failedReads(address, 64)).To(BeZero())
		Expect(unpinnedServer.Counts().Runs).To(BeNumerically(">", 0))
		Expect(pinnedServer.Counts().Runs).To(BeNumerically(">", 0))
	})
})
