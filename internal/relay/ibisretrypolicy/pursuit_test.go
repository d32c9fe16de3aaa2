package ibisretrypolicy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
)

func TestPursue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisretrypolicy")
}

var start = time.Unix(1000, 0)

func request(change func(r *ibisretrypolicy.Request)) ibisretrypolicy.Request {
	r := ibisretrypolicy.Request{
		Arrived:     start,
		Deadline:    start.Add(5 * time.Second),
		Target:      800 * time.Millisecond,
		MaxAttempts: 2,
		Repeatable:  true,
		Resendable:  true,
	}
	if change != nil {
		change(&r)
	}
	return r
}

var (
	refused    = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun}
	full       = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, Full: true}
	rejected   = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, Arrived: true}
	broken     = ibisretrypolicy.Try{Outcome: ibisid.OutcomeUnknown, Arrived: true}
	callerGone = ibisretrypolicy.Try{Outcome: ibisid.OutcomeUnknown, Gone: true}
	redirected = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, Redirected: true}
)

var _ = DescribeTable("The step after a try",
	func(change func(r *ibisretrypolicy.Request), tries []ibisretrypolicy.Try, after time.Duration, want ibisretrypolicy.Step) {
		p := ibisretrypolicy.New(request(change))
		budget := ibisretrypolicy.NewBudget()
		var step ibisretrypolicy.Step
		for _, t := range tries {
			step = p.After(t, budget, start.Add(after))
		}
		Expect(step).To(Equal(want))
	},
	Entry("an answer", nil, []ibisretrypolicy.Try{{Outcome: ibisid.OutcomeDone}}, time.Duration(0), ibisretrypolicy.StepAnswer),
	Entry("refused without load on a server: retried", nil, []ibisretrypolicy.Try{refused}, time.Second, ibisretrypolicy.StepAgain),
	Entry("refused early by a full gate: retried", nil, []ibisretrypolicy.Try{full}, 40*time.Millisecond, ibisretrypolicy.StepAgain),
	Entry("refused by a full gate when a later refusal would be late", nil, []ibisretrypolicy.Try{full}, 60*time.Millisecond, ibisretrypolicy.StepGiveUp),
	Entry("no time left", nil, []ibisretrypolicy.Try{refused}, 4950*time.Millisecond, ibisretrypolicy.StepGiveUp),
	Entry("four refusals", nil, []ibisretrypolicy.Try{refused, refused, refused, refused}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("rejected by a server", nil, []ibisretrypolicy.Try{rejected}, time.Duration(0), ibisretrypolicy.StepAgain),
	Entry("rejected by as many servers as allowed", nil, []ibisretrypolicy.Try{rejected, rejected}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("connection broken, idempotent", nil, []ibisretrypolicy.Try{broken}, time.Duration(0), ibisretrypolicy.StepAgain),
	Entry("connection broken, not idempotent", func(r *ibisretrypolicy.Request) { r.Repeatable = false }, []ibisretrypolicy.Try{broken}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("body cannot be sent again", func(r *ibisretrypolicy.Request) { r.Resendable = false }, []ibisretrypolicy.Try{refused}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("the caller has left", nil, []ibisretrypolicy.Try{callerGone}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("keyed, refused by the owner", func(r *ibisretrypolicy.Request) { r.Keyed = true }, []ibisretrypolicy.Try{refused}, time.Duration(0), ibisretrypolicy.StepGiveUp),
	Entry("keyed, redirected to another owner", func(r *ibisretrypolicy.Request) { r.Keyed = true }, []ibisretrypolicy.Try{redirected}, time.Duration(0), ibisretrypolicy.StepAgain),
)

var _ = Describe("A Pursuit", func() {
	It("does not report a request as not run if a try may have run", func() {
		p := ibisretrypolicy.New(request(nil))
		p.After(broken, ibisretrypolicy.NewBudget(), start)
		p.After(refused, ibisretrypolicy.NewBudget(), start)
		Expect(p.Final(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeUnknown))
		Expect(ibisretrypolicy.New(request(nil)).Final(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeNotRun))
	})

	It("retries a tenth of the requests when every server rejects them", func() {
		budget := ibisretrypolicy.NewBudget()
		retries := 0
		for range 1000 {
			budget.Earn()
			if ibisretrypolicy.New(request(nil)).After(rejected, budget, start) == ibisretrypolicy.StepAgain {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 100, 3))
	})
})

var _ = Describe("Ages", func() {
	It("estimates how long a caller has been trying, and forgets removed classes", func() {
		ages := ibisretrypolicy.NewAges()
		Expect(ages.Of("look", 5*time.Second)).To(BeZero())
		Expect(ages.Of("look", 4300*time.Millisecond)).To(BeZero(), "the patience of callers at their first attempt differs")
		Expect(ages.Of("look", 3*time.Second)).To(Equal(1625 * time.Millisecond))
		Expect(ages.Of("look", 0)).To(BeZero())
		ages.Keep(ibisset.Of[ibisid.ClassName]("order"))
		Expect(ages.Of("look", 3*time.Second)).To(BeZero())
	})
})

var _ = Describe("A retry-after time", func() {
	It("is never shortened, and has jitter", func() {
		random := rand.New(rand.NewPCG(1, 2))
		seen := ibisset.Of[time.Duration]()
		for range 100 {
			d := ibisretrypolicy.Return(time.Second, random)
			Expect(d).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1300*time.Millisecond)))
			seen.Add(d)
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
	})
})
