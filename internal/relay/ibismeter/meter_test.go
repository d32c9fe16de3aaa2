package ibismeter_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibismeter")
}

var _ = Describe("A Meter", func() {
	render := func(m *ibismeter.Meter) string {
		var b bytes.Buffer
		m.Write(&b)
		return b.String()
	}

	It("counts requests by class, outcome and reason, with a histogram for each class", func() {
		m := ibismeter.New()
		m.RecordRequest("print", ibismessage.Answer{Outcome: ibisid.OutcomeDone}, 30*time.Millisecond)
		m.RecordRequest("print", ibismessage.NotRun(ibismessage.ReasonBusy, 0, nil), time.Millisecond)
		Expect(render(m)).To(ContainSubstring(`ibisridge_requests_total{class="print",outcome="done",reason=""} 1`))
		Expect(render(m)).To(ContainSubstring(`ibisridge_requests_total{class="print",outcome="notRun",reason="busy"} 1`))
		Expect(render(m)).To(ContainSubstring(`ibisridge_request_seconds_count{class="print"} 2`))
	})

	It("bounds its size when thousands of classes are used", func() {
		m := ibismeter.New()
		for i := range 5000 {
			m.RecordRequest(ibisid.ClassName(fmt.Sprint("r", i)), ibismessage.Answer{Outcome: ibisid.OutcomeDone}, time.Millisecond)
		}
		Expect(len(render(m))).To(BeNumerically("<", 64<<10))
		Expect(render(m)).To(ContainSubstring(`class="other",outcome="done",reason=""} 4936`))
	})
})
