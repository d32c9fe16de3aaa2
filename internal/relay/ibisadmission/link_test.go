package ibisadmission_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// fixedLengthBackend answers every order with a body of the given length, which fails with err after half of its bytes if err is set.
type fixedLengthBackend struct {
	length int
	err    error
	// working, if set, keeps answers back until it is closed.
	working chan struct{}
	// left is the time in nanoseconds that the last order came with.
	left atomic.Int64
}

func (b *fixedLengthBackend) Send(_ context.Context, _ ibismessage.Order, _ ibisroster.ServerIncarnation, left time.Duration) ibismessage.Answer {
	b.left.Store(int64(left))
	if b.working != nil {
		<-b.working
	}
	body := io.Reader(bytes.NewReader(make([]byte, b.length)))
	if b.err != nil {
		body = io.MultiReader(bytes.NewReader(make([]byte, b.length/2)), failingReader{b.err})
	}
	return ibismessage.Answer{
		Outcome: ibisid.OutcomeDone, Arrived: true, Status: 200, Length: int64(b.length), Body: io.NopCloser(body),
	}
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

var _ = Describe("A Guard before a slow link", func() {
	const length = 100_000
	var (
		clock  *ibistimer.Fake
		server *fixedLengthBackend
		guard  *ibisadmission.Guard
	)

	order := func() ibismessage.Order {
		return ibismessage.Order{
			ID: "r", Service: "desk", Class: "export", Key: ibismessage.NoKey,
			Target: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second),
		}
	}

	start := func(limits ibisadmission.Limits) {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		server = &fixedLengthBackend{length: length}
		guard = ibisadmission.New(server, &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})}, limits, clock, zap.NewNop())
		guard.SetRules(ibisadmission.Rules{Connections: 10})
		guard.SetServer(ibisroster.Server{
			Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}, Service: "desk", Slots: 2, State: ibisroster.StateServing,
		}, 0)
	}

	It("frees the slot once the backend server has sent its answer, however slowly the caller reads it", func() {
		start(ibisadmission.Limits{AnswerBytes: 10 * length, LinkRate: 100 * length})
		answer := guard.Send(context.Background(), order())
		Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
		Expect(io.ReadAll(answer.Body)).To(HaveLen(length))
		Expect(answer.Body.Close()).To(Succeed())
	})

	It("keeps the slot occupied for answers that do not fit into the buffer", func() {
		start(ibisadmission.Limits{AnswerBytes: length / 2, LinkRate: 100 * length})
		answer := guard.Send(context.Background(), order())
		Consistently(func() int { return guard.Stats().Running }, 50*time.Millisecond).Should(Equal(1))
		Expect(io.ReadAll(answer.Body)).To(HaveLen(length))
		Expect(guard.Stats().Running).To(BeZero())
	})

	// Guards against buffered answers that are not counted, or no longer while their callers read them slowly.
	It("buffers an answer only if it fits into the memory, and counts it until it is closed", func() {
		memory := &answerMemory{left: length}
		start(ibisadmission.Limits{AnswerBytes: 10 * length, LinkRate: 100 * length, Memory: memory})
		first := guard.Send(context.Background(), order())
		Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
		second := guard.Send(context.Background(), order())
		Consistently(func() int { return guard.Stats().Running }, 50*time.Millisecond).Should(Equal(1))
		for _, answer := range []ibismessage.Answer{first, second} {
			Expect(io.ReadAll(answer.Body)).To(HaveLen(length))
		}
		Expect(memory.left).To(BeZero())
		Expect(first.Body.Close()).To(Succeed())
		Expect(first.Body.Close()).To(Succeed())
		Expect(memory.left).To(BeEquivalentTo(length))
	})

	It("returns the error of an answer that ends early", func() {
		start(ibisadmission.Limits{AnswerBytes: 10 * length, LinkRate: 100 * length})
		server.err = errors.New("reset")
		answer := guard.Send(context.Background(), order())
		body, err := io.ReadAll(answer.Body)
		Expect(err).To(MatchError(server.err))
		Expect(len(body)).To(Equal(length / 2))
	})

	It("refuses at once an order that would be late because of the link alone, until the link has drained", func() {
		start(ibisadmission.Limits{AnswerBytes: 100 * length, LinkRate: 2 * length})
		var held []ibismessage.Answer
		refused := ibismessage.Answer{}
		for range 20 {
			answer := guard.Send(context.Background(), order())
			if answer.Outcome != ibisid.OutcomeDone {
				refused = answer
				break
			}
			held = append(held, answer)
			Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
		}
		Expect(len(held)).To(BeNumerically("~", 2, 1), "the answers that the link carries in one second")
		Expect(refused.Reason).To(BeEquivalentTo(ibisadmit.ReasonLink))
		Expect(refused.RetryAfter).To(BeNumerically("~", 1500*time.Millisecond, 300*time.Millisecond))

		look := order()
		look.Class = "look"
		Expect(guard.Send(context.Background(), look).Outcome).To(Equal(ibisid.OutcomeDone), "a class of short answers does not wait for the link")

		for _, answer := range held {
			_ = answer.Body.Close()
		}
		Expect(guard.Send(context.Background(), order()).Outcome).To(Equal(ibisid.OutcomeDone))
	})

	// Guards against answers queued on the link that the end of a stopping node's process cut off.
	It("refuses an order whose answer would still wait for the link when the node ends, whatever its target", func() {
		start(ibisadmission.Limits{AnswerBytes: 100 * length, LinkRate: 2 * length})
		patient := func() ibismessage.Answer {
			o := order()
			o.Target, o.Deadline = clock.Now().Add(time.Minute), clock.Now().Add(time.Minute)
			return guard.Send(context.Background(), o)
		}
		for range 4 {
			Expect(patient().Outcome).To(Equal(ibisid.OutcomeDone))
			Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
		}
		guard.SetAnswersEnd(clock.Now().Add(2500 * time.Millisecond))
		Expect(patient().Outcome).To(Equal(ibisid.OutcomeDone), "the fifth of two answers a second")
		Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
		refused := patient()
		Expect(refused.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(refused.Reason).To(Equal(ibismessage.ReasonStopping))
		Expect(guard.Stats().Refused).To(BeEquivalentTo(1), "before it waits for a slot")
	})

	It("gives the backend server of a node that stops no more time than the node has, and no order that takes longer as a rule", func() {
		start(ibisadmission.Limits{})
		patient := func() ibismessage.Answer {
			o := order()
			o.Deadline = clock.Now().Add(time.Minute)
			answer := guard.Send(context.Background(), o)
			if answer.Body != nil {
				clock.Advance(400 * time.Millisecond)
				Expect(answer.Body.Close()).To(Succeed())
			}
			return answer
		}
		Expect(patient().Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(server.left.Load()).To(BeEquivalentTo(time.Minute))
		guard.SetAnswersEnd(clock.Now().Add(700 * time.Millisecond))
		Expect(patient().Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(server.left.Load()).To(BeEquivalentTo(700 * time.Millisecond))
		refused := patient()
		Expect(refused.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(refused.Reason).To(Equal(ibismessage.ReasonStopping))
	})

	It("refuses an order that waits for a slot when the node begins to stop, if the answers before it fill the link until then", func() {
		start(ibisadmission.Limits{AnswerBytes: 100 * length, LinkRate: 2 * length})
		first := guard.Send(context.Background(), order())
		Expect(io.ReadAll(first.Body)).To(HaveLen(length))
		Expect(first.Body.Close()).To(Succeed())
		server.working = make(chan struct{})
		answers := make(chan ibismessage.Answer, 3)
		for range cap(answers) {
			o := order()
			o.Target, o.Deadline = clock.Now().Add(time.Minute), clock.Now().Add(time.Minute)
			go func() { answers <- guard.Send(context.Background(), o) }()
		}
		Eventually(guard.Stats).Should(And(HaveField("Running", 2), HaveField("Waiting", 1)))
		guard.SetAnswersEnd(clock.Now().Add(1250 * time.Millisecond))
		close(server.working)
		outcomes := []ibisid.Outcome{(<-answers).Outcome, (<-answers).Outcome, (<-answers).Outcome}
		Expect(outcomes).To(ConsistOf(ibisid.OutcomeDone, ibisid.OutcomeDone, ibisid.OutcomeNotRun))
		Eventually(func() int { return guard.Stats().Running }).Should(BeZero())
	})
})

// answerMemory has room for a number of bytes.
type answerMemory struct{ left int }

func (m *answerMemory) Reserve(bytes int) bool {
	if bytes > m.left {
		return false
	}
	m.left -= bytes
	return true
}

func (m *answerMemory) Release(bytes int) { m.left += bytes }
