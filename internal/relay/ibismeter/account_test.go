package ibismeter_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
)

var _ = Describe("Counters of accounts", func() {
	series := func(m *ibismeter.Meter) []string {
		var out strings.Builder
		m.Write(&out)
		var lines []string
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, "ibisridge_account_requests_total") {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
		return lines
	}

	// Guards against metrics that grow with the number of accounts, and against busy accounts that are hidden among the rest.
	It("exist for the 20 busiest accounts and for the rest together", func() {
		m := ibismeter.New()
		done := ibismessage.Answer{Outcome: ibisid.OutcomeDone}
		for i := range 40_000 {
			m.RecordAccount(ibisid.TenantName(fmt.Sprintf("quiet-%d", i%5000)), done)
			m.RecordAccount(ibisid.TenantName(fmt.Sprintf("busy-%d", i%20)), done)
		}
		lines := series(m)
		Expect(lines).To(HaveLen(21))
		for i := range 20 {
			Expect(lines).To(ContainElement(HavePrefix(fmt.Sprintf("ibisridge_account_requests_total{account=%q", fmt.Sprintf("busy-%d", i)))))
		}
		Expect(lines).To(ContainElement(HavePrefix(`ibisridge_account_requests_total{account="other",outcome="done",reason=""}`)))
	})
})
