package ibispursue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibispursue"
)

func TestPursue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibispursue")
}

var start = time.Unix(1000, 0)

func request(change func(r *ibispursue.Request)) ibispursue.Request {
	r := ibispursue.Request{
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
	refused    = ibispursue.Try{Outcome: ibisid.OutcomeNotRun}
	full       = ibispursue.Try{Outcome: ibisid.OutcomeNotRun, Full: true}
	rejected   = ibispursue.Try{Outcome: ibisid.OutcomeNotRun, Arrived: true}
	broken     = ibispursue.Try{Outcome: ibisid.OutcomeUnknown, Arrived: true}
	callerGone = ibispursue.Try{Outcome: ibisid.OutcomeUnknown, Gone: true}
	redirected = ibispursue.Try{Outcome: ibisid.OutcomeNotRun, Redirected: true}
)

var _ = DescribeTable("The step after a try",
	func(change func(r *ibispursue.Request), tries []ibispursue.Try, after time.Duration, want ibispursue.Step) {
		p := ibispursue.New(request(change))
		budget := ibispursue.NewBudget()
		var step ibispursue.Step
		for _, t := range tries {
			step = p.After(t, budget, start.Add(after))
		}
		Expect(step).To(Equal(want))
	},
	Entry("an answer", nil, []ibispursue.Try{{Outcome: ibisid.OutcomeDone}}, time.Duration(0), ibispursue.StepAnswer),
	Entry("refused without load on a server: retried", nil, []ibispursue.Try{refused}, time.Second, ibispursue.StepAgain),
	Entry("refused early by a full gate: retried", nil, []ibispursue.Try{full}, 40*time.Millisecond, ibispursue.StepAgain),
	Entry("refused by a full gate when a later refusal would be late", nil, []ibispursue.Try{full}, 60*time.Millisecond, ibispursue.StepGiveUp),
	Entry("no time left", nil, []ibispursue.Try{refused}, 4950*time.Millisecond, ibispursue.StepGiveUp),
	Entry("four refusals", nil, []ibispursue.Try{refused, refused, refused, refused}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("rejected by a server", nil, []ibispursue.Try{rejected}, time.Duration(0), ibispursue.StepAgain),
	Entry("rejected by as many servers as allowed", nil, []ibispursue.Try{rejected, rejected}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("connection broken, idempotent", nil, []ibispursue.Try{broken}, time.Duration(0), ibispursue.StepAgain),
	Entry("connection broken, not idempotent", func(r *ibispursue.Request) { r.Repeatable = false }, []ibispursue.Try{broken}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("body cannot be sent again", func(r *ibispursue.Request) { r.Resendable = false }, []ibispursue.Try{refused}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("the caller has left", nil, []ibispursue.Try{callerGone}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("keyed, refused by the owner", func(r *ibispursue.Request) { r.Keyed = true }, []ibispursue.Try{refused}, time.Duration(0), ibispursue.StepGiveUp),
	Entry("keyed, redirected to another owner", func(r *ibispursue.Request) { r.Keyed = true }, []ibispursue.Try{redirected}, time.Duration(0), ibispursue.StepAgain),
)

var _ = Describe("A Pursuit", func() {
	It("does not report a request as not run if a try may have run", func() {
		p := ibispursue.New(request(nil))
		p.After(broken, ibispursue.NewBudget(), start)
		p.After(refused, ibispursue.NewBudget(), start)
		Expect(p.Final(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeUnknown))
		Expect(ibispursue.New(request(nil)).Final(ibisid.OutcomeNotRun)).To(Equal(ibisid.OutcomeNotRun))
	})

	It("retries a tenth of the requests when every server rejects them", func() {
		budget := ibispursue.NewBudget()
		retries := 0
		for range 1000 {
			budget.Earn()
			if ibispursue.New(request(nil)).After(rejected, budget, start) == ibispursue.StepAgain {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 100, 3))
	})
})

var _ = Describe("Ages", func() {
	It("estimates how long a caller has been trying, and forgets removed classes", func() {
		ages := ibispursue.NewAges()
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
			d := ibispursue.Return(time.Second, random)
			Expect(d).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 1300*time.Millisecond)))
			seen.Add(d)
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
	})
})
