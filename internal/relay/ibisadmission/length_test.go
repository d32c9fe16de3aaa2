package ibisadmission_test

import (
	"bytes"
	"context"
	"io"
	"math"
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

// announcingBackend answers every order with a body that may have another length than it announces.
type announcingBackend struct {
	announced int64
	bytes     int
}

func (b *announcingBackend) Send(context.Context, ibismessage.Order, ibisroster.ServerIncarnation, time.Duration) ibismessage.Answer {
	body := io.Reader(bytes.NewReader(make([]byte, b.bytes)))
	if b.announced > int64(b.bytes) {
		body = io.MultiReader(body, failingReader{io.ErrUnexpectedEOF})
	}
	return ibismessage.Answer{
		Outcome: ibisid.OutcomeDone,
		Arrived: true,
		Status:  200,
		Length:  b.announced,
		Body:    io.NopCloser(body),
	}
}

var _ = Describe("A Guard whose backend server announces lengths of answers", func() {
	const length = 100_000
	var (
		clock  *ibistimer.Fake
		server *announcingBackend
		guard  *ibisadmission.Guard
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		server = &announcingBackend{
			announced: length,
			bytes:     length,
		}
		guard = ibisadmission.New(server, &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})},
			ibisadmission.Limits{AnswerBytes: 10 * length, LinkRate: 20 * length}, clock, zap.NewNop())
		guard.SetRules(ibisadmission.Rules{Connections: 10})
		guard.SetServer(ibisroster.Server{
			Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}, Service: "desk", Slots: 2, State: ibisroster.StateServing,
		}, 0)
	})

	send := func() ibismessage.Answer {
		return guard.Send(context.Background(), ibismessage.Order{
			ID: "r", Service: "desk", Class: "export", Key: ibismessage.NoKey,
			Target: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second),
		})
	}
	read := func(answer ibismessage.Answer) {
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeDone))
		_, _ = io.Copy(io.Discard, answer.Body)
		Expect(answer.Body.Close()).To(Succeed())
	}

	It("buffers no answer whose announced length overflows the count of held bytes", func() {
		held := send()
		server.announced = math.MaxInt64
		read(send())
		read(held)
		Expect(guard.Stats().LinkBytes).To(BeZero())
	})

	It("expects no answers as long as one that announced more bytes than it sent", func() {
		server.announced = math.MaxInt64
		read(send())
		server.announced = length
		read(send())
	})

	// Guards against one answer that shuts its class out at this node: it was refused until the node's restart.
	DescribeTable("serves a class again within a second of an answer that", func(announced int64, sent int, readBytes int64) {
		server.announced, server.bytes = announced, sent
		faulty := send()
		_, _ = io.CopyN(io.Discard, faulty.Body, readBytes)
		Expect(faulty.Body.Close()).To(Succeed())
		server.announced, server.bytes = length, length
		began := clock.Now()
		for served := 0; served < 3; clock.Advance(50 * time.Millisecond) {
			answer := send()
			if answer.Outcome == ibisid.OutcomeDone {
				served++
				read(answer)
				continue
			}
			Expect(answer.RetryAfter).To(BeNumerically("<=", 2*time.Second), "no longer than the class has to be served")
			Expect(clock.Now().Sub(began)).To(BeNumerically("<", time.Second))
		}
	},
		Entry("claims a length and breaks off", int64(1<<62), 10, int64(11)),
		Entry("claims a length, and whose caller leaves", int64(1<<62), 100*length, int64(10)),
		Entry("has no end, until its caller leaves", int64(-1), 1000*length, int64(400*length)),
		Entry("has no end and claims one, until its caller leaves", int64(1<<62), 1000*length, int64(400*length)),
		Entry("has a length that none before had", int64(400*length), 400*length, int64(400*length+1)),
	)

	// A class whose answers are in fact too long for the link is refused but for one try in half a second.
	It("tries a class again that it refuses for its length, one answer at a time", func() {
		server.announced, server.bytes = 30*length, 30*length
		read(send())
		served := 0
		for range 60 {
			answer := send()
			if answer.Outcome == ibisid.OutcomeDone {
				served++
				Expect(send().Reason).To(BeEquivalentTo(ibisadmit.ReasonLink), "while the link carries that answer")
				read(answer)
			}
			clock.Advance(50 * time.Millisecond)
		}
		Expect(served).To(BeNumerically("~", 6, 1))
	})

	It("refuses a long answer without announced length that the end of the node's process would cut off", func() {
		server.announced = -1
		read(send())
		guard.SetAnswersEnd(clock.Now().Add(25 * time.Millisecond))
		Expect(send().Reason).To(Equal(ibismessage.ReasonStopping))
	})
})
