package ibisadmission_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// callingBackend makes one call during each run, and fails with the call.
type callingBackend struct {
	clock *ibistimer.Fake
	call  func() bool
}

func (b *callingBackend) Send(context.Context, ibismessage.Order, ibisroster.ServerIncarnation, time.Duration) ibismessage.Answer {
	b.clock.Advance(40 * time.Millisecond)
	answer := okAnswer()
	if !b.call() {
		answer.Status = http.StatusInternalServerError
	}
	b.clock.Advance(10 * time.Millisecond)
	return answer
}

var _ = It("A guard learns the calls of its server's runs, and refuses runs whose calls fail until one is answered", func() {
	clock := ibistimer.NewFake(time.Unix(1_000_000, 0))
	lines, logged := observer.New(zap.InfoLevel)
	server := &callingBackend{clock: clock}
	keys := &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})}
	guard := ibisadmission.New(server, keys, ibisadmission.Limits{}, clock, zap.New(lines))
	guard.SetRules(ibisadmission.Rules{Connections: 10})
	guard.SetServer(ibisroster.Server{
		Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}, Service: "desk", Slots: 2, State: ibisroster.StateServing,
	}, 0)
	callsFail, inherited := false, false
	server.call = func() bool {
		id, from, ok := guard.BeginCall("register")
		inherited = ok
		if ok {
			Expect(from.Rank).To(Equal(2))
			Expect(from.Deadline.Sub(clock.Now())).To(BeNumerically("~", 2*time.Second-40*time.Millisecond))
		}
		clock.Advance(30 * time.Millisecond)
		guard.EndCall(id, callsFail, false)
		return !callsFail
	}
	random := rand.New(rand.NewPCG(1, 1))
	// serve sends orders at random times and returns how many the guard refused for their calls.
	serve := func(orders int) int {
		before := guard.Stats().RefusedForCalls
		for range orders {
			a := guard.Send(context.Background(), ibismessage.Order{
				Service: "desk", Class: "look", Key: ibismessage.NoKey, Priority: 2,
				Target: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second),
			})
			if a.Body != nil {
				Expect(a.Body.Close()).To(Succeed())
			} else {
				Expect(a.Reason).To(Equal(ibismessage.Reason("calls")))
				Expect(a.RetryAfter).To(BeNumerically(">", 0))
			}
			clock.Advance(time.Duration(20+random.IntN(200)) * time.Millisecond)
		}
		return int(guard.Stats().RefusedForCalls - before)
	}
	Expect(serve(200)).To(BeZero())
	Expect(inherited).To(BeTrue())
	callsFail = true
	Expect(serve(100)).To(BeNumerically(">", 50))
	callsFail = false
	serve(30)
	Expect(serve(30)).To(BeZero())
	Expect(guard.Stats().Calls).To(BeNumerically(">", 100))
	Expect(guard.Stats().FailedByCalls).To(BeNumerically(">", 3))
	for _, message := range []string{
		"runs of a class make calls; these get the rank, target and remaining time of the runs",
		"runs fail because of their calls; refusing what would fail",
		"calls of runs are answered again; admitting all",
	} {
		Expect(logged.FilterMessage(message).Len()).To(BeNumerically(">", 0), message)
	}
})
