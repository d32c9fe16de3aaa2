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

func TestRetryPolicy(t *testing.T) {
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
	gateFull   = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, GateFull: true}
	rejected   = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, Arrived: true}
	broken     = ibisretrypolicy.Try{Outcome: ibisid.OutcomeUnknown, Arrived: true}
	callerGone = ibisretrypolicy.Try{Outcome: ibisid.OutcomeUnknown, CallerGone: true}
	redirected = ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun, Redirected: true}
)

var _ = DescribeTable("The step after a try",
	func(change func(r *ibisretrypolicy.Request), tries []ibisretrypolicy.Try, after time.Duration, want ibisretrypolicy.Step) {
		retrier := ibisretrypolicy.New(request(change))
		budget := ibisretrypolicy.NewBudget()
		var step ibisretrypolicy.Step
		for _, t := range tries {
			step = retrier.Next(t, budget, start.Add(after))
		}
		Expect(step).To(Equal(want))
	},
	Entry("an answer", nil, []ibisretrypolicy.Try{{Outcome: ibisid.OutcomeDone}}, time.Duration(0), ibisretrypolicy.StepAnswer),
	Entry("refused without load on a server: retried", nil, []ibisretrypolicy.Try{refused}, time.Second, ibisretrypolicy.StepRetry),
	Entry("refused early by a full gate: retried", nil, []ibisretrypolicy.Try{gateFull}, 40*time.Millisecond, ibisretrypolicy.StepRetry),
	Entry("refused by a full gate when a later refusal would be late", nil, []ibisretrypolicy.Try{gateFull}, 60*time.Millisecond, ibisretrypolicy.StepFail),
	Entry("no time left", nil, []ibisretrypolicy.Try{refused}, 4950*time.Millisecond, ibisretrypolicy.StepFail),
	Entry("four refusals", nil, []ibisretrypolicy.Try{refused, refused, refused, refused}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("rejected by a server", nil, []ibisretrypolicy.Try{rejected}, time.Duration(0), ibisretrypolicy.StepRetry),
	Entry("rejected by as many servers as allowed", nil, []ibisretrypolicy.Try{rejected, rejected}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("connection broken, idempotent", nil, []ibisretrypolicy.Try{broken}, time.Duration(0), ibisretrypolicy.StepRetry),
	Entry("connection broken, not idempotent", func(r *ibisretrypolicy.Request) { r.Repeatable = false }, []ibisretrypolicy.Try{broken}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("body cannot be sent again", func(r *ibisretrypolicy.Request) { r.Resendable = false }, []ibisretrypolicy.Try{refused}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("the caller has left", nil, []ibisretrypolicy.Try{callerGone}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("keyed, refused by the owner", func(r *ibisretrypolicy.Request) { r.Keyed = true }, []ibisretrypolicy.Try{refused}, time.Duration(0), ibisretrypolicy.StepFail),
	Entry("keyed, redirected to another owner", func(r *ibisretrypolicy.Request) { r.Keyed = true }, []ibisretrypolicy.Try{redirected}, time.Duration(0), ibisretrypolicy.StepRetry),
)

var _ = Describe("A Retrier", func() {
	It("does not report a request as not run if a try may have run", func() {
		retrier := ibisretrypolicy.New(request(nil))
		retrier.Next(broken, ibisretrypolicy.NewBudget(), start)
		retrier.Next(refused, ibisretrypolicy.NewBudget(), start)
		Expect(retrier.FinalOutcome(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeUnknown))
		Expect(ibisretrypolicy.New(request(nil)).FinalOutcome(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeNotRun))
	})

	It("retries a tenth of the requests when every server rejects them", func() {
		budget := ibisretrypolicy.NewBudget()
		retries := 0
		for range 1000 {
			budget.AddRequest()
			if ibisretrypolicy.New(request(nil)).Next(rejected, budget, start) == ibisretrypolicy.StepRetry {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 100, 3))
	})
})

var _ = Describe("CallerAges", func() {
	It("estimates how long a caller has been trying, and forgets removed classes", func() {
		callerAges := ibisretrypolicy.NewCallerAges()
		Expect(callerAges.Estimate("look", 5*time.Second)).To(BeZero())
		Expect(callerAges.Estimate("look", 4300*time.Millisecond)).To(BeZero(), "the timeout of callers at their first attempt differs")
		Expect(callerAges.Estimate("look", 3*time.Second)).To(Equal(1625 * time.Millisecond))
		Expect(callerAges.Estimate("look", 0)).To(BeZero())
		callerAges.RetainOnly(ibisset.Of[ibisid.ClassName]("order"))
		Expect(callerAges.Estimate("look", 3*time.Second)).To(BeZero())
	})
})

var _ = Describe("A retry-after time", func() {
	It("is never shortened, and has jitter", func() {
		random := rand.New(rand.NewPCG(1, 2))
		seen := ibisset.Of[time.Duration]()
		for range 100 {
			d := ibisretrypolicy.AddJitter(time.Second, random)
			Expect(d).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1300*time.Millisecond)))
			seen.Add(d)
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
	})
})
