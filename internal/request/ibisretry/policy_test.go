package ibisretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisretry")
}

var start = time.Unix(1_000_000, 0)

func newPolicy() *ibisretry.Policy {
	return ibisretry.New(ibisretry.Config{}, rand.New(rand.NewPCG(1, 1)))
}

// runRequest starts a request and ends its attempts with the given outcomes in turn; further attempts end with the last
// outcome. It returns the final outcome and the number of attempts.
func runRequest(p *ibisretry.Policy, id ibisretry.RequestID, idempotent bool, outcomes ...ibisid.Outcome) (ibisid.Outcome, int) {
	now := start
	effects := p.Update(ibisretry.StartEvent{
		ID:         id,
		Class:      "stock",
		Idempotent: idempotent,
		Deadline:   start.Add(time.Second),
	}, now)
	sent := 0
	for len(effects) > 0 {
		switch e := effects[0].(type) {
		case ibisretry.SendEffect:
			sent++
			effects = p.Update(ibisretry.AttemptEndEvent{
				ID:      id,
				Attempt: e.Attempt,
				Outcome: outcomes[min(sent, len(outcomes))-1],
				Latency: 10 * time.Millisecond,
			}, now)
		case ibisretry.WakeEffect:
			now = e.At
			effects = p.Update(ibisretry.WakeEvent{
				ID: id,
			}, now)
		case ibisretry.FinishEffect:
			return e.Outcome, sent
		}
	}
	return "", sent
}

var _ = Describe("Policy", func() {
	DescribeTable("repeats only what did not run or is idempotent",
		func(idempotent bool, outcomes []ibisid.Outcome, want ibisid.Outcome, attempts int) {
			outcome, sent := runRequest(newPolicy(), 1, idempotent, outcomes...)
			Expect(outcome).To(Equal(want))
			Expect(sent).To(Equal(attempts))
		},
		Entry("not run, then done", false, []ibisid.Outcome{ibisid.OutcomeNotRun, ibisid.OutcomeDone}, ibisid.OutcomeDone, 2),
		Entry("unknown stays unknown", false, []ibisid.Outcome{ibisid.OutcomeUnknown}, ibisid.OutcomeUnknown, 1),
		Entry("unknown and idempotent", true, []ibisid.Outcome{ibisid.OutcomeUnknown, ibisid.OutcomeDone}, ibisid.OutcomeDone, 2),
		Entry("failed is final", true, []ibisid.Outcome{ibisid.OutcomeFailed}, ibisid.OutcomeFailed, 1),
		Entry("not run after unknown stays unknown", true, []ibisid.Outcome{ibisid.OutcomeUnknown, ibisid.OutcomeNotRun}, ibisid.OutcomeUnknown, 4),
		Entry("bounded number of attempts", false, []ibisid.Outcome{ibisid.OutcomeNotRun}, ibisid.OutcomeNotRun, 4),
	)

	It("requests another wake-up after an early one", func() {
		p := newPolicy()
		p.Update(ibisretry.StartEvent{
			ID:       1,
			Class:    "stock",
			Deadline: start.Add(time.Second),
		}, start)
		wake := p.Update(ibisretry.AttemptEndEvent{
			ID:      1,
			Attempt: 1,
			Outcome: ibisid.OutcomeNotRun,
		}, start)
		at := wake[0].(ibisretry.WakeEffect).At
		Expect(p.Update(ibisretry.WakeEvent{ID: 1}, at.Add(-time.Nanosecond))).To(Equal(wake))
		Expect(p.Update(ibisretry.WakeEvent{ID: 1}, at)).To(ConsistOf(ibisretry.SendEffect{
			ID:      1,
			Attempt: 2,
		}))
	})

	It("stops retrying when no request succeeds", func() {
		p := newPolicy()
		for i := range 1000 {
			runRequest(p, ibisretry.RequestID(i), true, ibisid.OutcomeNotRun)
		}
		Expect(p.Counts().Attempts).To(BeNumerically("<=", 1010))
	})

	It("hedges a slow idempotent request within its budget and cancels the loser", func() {
		p := newPolicy()
		for i := range 1000 {
			runRequest(p, ibisretry.RequestID(i), true, ibisid.OutcomeDone)
		}
		hedges := 0
		for i := range 1000 {
			id := ibisretry.RequestID(10_000 + i)
			p.Update(ibisretry.StartEvent{
				ID:         id,
				Class:      "stock",
				Idempotent: true,
				Hedge:      true,
				Deadline:   start.Add(time.Second),
			}, start)
			if len(p.Update(ibisretry.WakeEvent{ID: id}, start.Add(50*time.Millisecond))) == 0 {
				continue
			}
			hedges++
			if hedges == 1 {
				Expect(p.Update(ibisretry.AttemptEndEvent{
					ID:      id,
					Attempt: 2,
					Outcome: ibisid.OutcomeDone,
				}, start)).To(ContainElement(ibisretry.CancelEffect{
					ID:      id,
					Attempt: 1,
				}))
			}
		}
		Expect(hedges).To(Equal(10))
	})

	It("hedges no request that is not idempotent, even if its class allows hedges", func() {
		p := newPolicy()
		for id := range ibisretry.RequestID(200) {
			runRequest(p, id+1, true, ibisid.OutcomeDone)
		}
		effects := p.Update(ibisretry.StartEvent{
			ID:       1000,
			Class:    "stock",
			Hedge:    true,
			Deadline: start.Add(time.Second),
		}, start)
		Expect(effects).To(HaveLen(1), "one attempt and no wake-up for a hedge")
	})
})
