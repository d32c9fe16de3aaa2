package ibisadmission_test

import (
	"context"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// noticeServer answers each order at once and adds its notice.
type noticeServer struct {
	clock ibistimer.Service

	mu     sync.Mutex
	notice ibismessage.ServerNotice
	at     []time.Time
	// silent means that its answers say nothing that can be read.
	silent bool
	// held, if not nil, holds back all answers until it is closed.
	held chan struct{}
}

func (s *noticeServer) Send(_ context.Context, _ ibismessage.Order, incarnation ibisroster.ServerIncarnation, _ time.Duration) ibismessage.Answer {
	s.mu.Lock()
	s.at = append(s.at, s.clock.Now())
	held := s.held
	s.mu.Unlock()
	if held != nil {
		<-held
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := okAnswer()
	notice := s.notice
	notice.Server = incarnation
	if !s.silent {
		answer.Notice = ibisset.Some(notice)
	}
	return answer
}

// hold holds back all answers until the end of the spec.
func (s *noticeServer) hold() {
	held := make(chan struct{})
	DeferCleanup(func() { close(held) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

func (s *noticeServer) setNotice(notice ibismessage.ServerNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = notice
}

// arrivals returns the number of orders that arrived from the given time on.
func (s *noticeServer) arrivals(from time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for _, t := range s.at {
		if !t.Before(from) {
			out = append(out, t)
		}
	}
	return out
}

// mostWithin returns the greatest number of times in any window of the length.
func mostWithin(window time.Duration, at []time.Time) int {
	most := 0
	for i := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(at[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func rateLimit(perSecond float64) ibismessage.ServerNotice {
	return ibismessage.ServerNotice{
		RateLimit: ibisset.Some(perSecond),
	}
}

var _ = Describe("A Guard whose backend server says something about itself", func() {
	const step = 20 * time.Millisecond
	s1 := ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}
	var (
		clock  *ibistimer.Fake
		server *noticeServer
		keys   *ownership
		guard  *ibisadmission.Guard
		sent   uint64
		hint   ibismessage.Order
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		server = &noticeServer{clock: clock}
		keys = &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})}
		guard = ibisadmission.New(server, keys, ibisadmission.Limits{AnswerBytes: 1 << 20, LinkRate: 1e6}, clock, zap.NewNop())
		guard.SetRules(ibisadmission.Rules{Connections: 130})
		guard.SetServer(ibisroster.Server{Incarnation: s1, Service: "desk", Slots: 12, State: ibisroster.StateServing}, 0)
		sent, hint = 0, ibismessage.Order{}
	})

	// settled reports whether each order so far waits, was refused or has its answer.
	settled := func() bool {
		s := guard.Stats()
		return s.Admitted+s.Refused+uint64(s.Waiting) == sent && s.Running == 0
	}

	sendOne := func() {
		o := hint
		o.ID, o.Service, o.Class, o.Key = "r", "desk", "look", ibismessage.NoKey
		o.Target, o.Deadline = clock.Now().Add(time.Second), clock.Now().Add(5*time.Second)
		if a := guard.Send(context.Background(), o); a.Outcome == ibisid.OutcomeDone {
			_, _ = io.ReadAll(a.Body)
			_ = a.Body.Close()
		}
	}

	// load sends an order in each step for the duration.
	load := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(step) {
			sent++
			go sendOne()
			Eventually(settled).WithPolling(50 * time.Microsecond).Should(BeTrue())
		}
	}

	for _, perSecond := range []float64{11.3, 2.5} {
		It("sends it no more than the rate limit that it names, counted over all callers", func() {
			load(time.Second)
			server.setNotice(rateLimit(perSecond))
			named := clock.Now()
			load(8 * time.Second)
			after := server.arrivals(named.Add(time.Second))
			Expect(mostWithin(4*time.Second, after)).To(BeNumerically("<=", 1.5*perSecond*4+5))
			Expect(len(after)).To(BeNumerically(">=", 0.8*perSecond*7), "the limit is used")
		})
	}

	It("keeps to another rate limit as soon as the server names that", func() {
		server.setNotice(rateLimit(20))
		load(2 * time.Second)
		server.setNotice(rateLimit(2.5))
		load(time.Second)
		Expect(guard.Stats().RateLimit).To(BeEquivalentTo(2.5))
		lowered := clock.Now()
		load(4 * time.Second)
		Expect(len(server.arrivals(lowered))).To(BeNumerically("<=", 1.5*2.5*4+5))
	})

	It("sends it as much as before once its answers name no limit", func() {
		server.setNotice(rateLimit(5))
		load(2 * time.Second)
		server.setNotice(ibismessage.ServerNotice{})
		load(2 * time.Second)
		Expect(len(server.arrivals(clock.Now().Add(-time.Second)))).To(BeNumerically(">=", 45), "one every 20 ms")
	})

	It("learns from a request now and then that a server that takes none takes some again", func() {
		server.setNotice(rateLimit(0))
		load(8 * time.Second)
		Expect(len(server.arrivals(clock.Now().Add(-7 * time.Second)))).To(BeNumerically("<=", 2))
		server.setNotice(ibismessage.ServerNotice{})
		load(6 * time.Second)
		Expect(len(server.arrivals(clock.Now().Add(-time.Second)))).To(BeNumerically(">=", 45))
	})

	It("keeps to the limit from its first request on after the node has restarted, as other nodes repeat what they heard", func() {
		server.setNotice(rateLimit(2))
		hint.Notice = rateLimit(2)
		hint.Notice.Server = s1
		server.hold()
		sent = 12
		for range sent {
			go sendOne()
		}
		Eventually(func() int {
			return len(server.arrivals(time.Time{})) + guard.Stats().Waiting + int(guard.Stats().Refused)
		}).Should(Equal(12))
		Expect(server.arrivals(time.Time{})).To(HaveLen(1))
		Expect(guard.Stats().RateLimit).To(BeEquivalentTo(2))
	})

	It("ignores what other nodes heard from an earlier run of the server, or before its own last answer", func() {
		hint.Notice = rateLimit(2)
		hint.Notice.Server = ibisroster.ServerIncarnation{ID: "s1", StartedAt: 0}
		// The answers say nothing that can be read, and then that there is no limit.
		server.silent = true
		load(step)
		Expect(guard.Stats().RateLimit).To(BeZero())
		server.silent = false
		load(step)
		hint.Notice.Server = s1
		server.silent = true
		load(step)
		Expect(guard.Stats().RateLimit).To(BeZero())
	})

	It("keeps the limit when the gate is replaced for another number of slots, and has none for a server that has started anew", func() {
		server.setNotice(rateLimit(10))
		load(2 * time.Second)
		next := ibisroster.Server{Incarnation: s1, Service: "desk", Slots: 6, State: ibisroster.StateServing}
		guard.SetServer(next, 0)
		replaced := clock.Now()
		load(2 * time.Second)
		Expect(len(server.arrivals(replaced))).To(BeNumerically("<=", 22), "two seconds and a burst")
		next.Incarnation.StartedAt = 2
		guard.SetServer(next, 0)
		Expect(guard.Stats().RateLimit).To(BeZero())
	})

	leaving := func() ibismessage.ServerNotice {
		return ibismessage.ServerNotice{
			Leaving: true,
		}
	}

	It("sends it nothing more once an answer says that it leaves, whatever later answers and heartbeats say", func() {
		server.setNotice(leaving())
		load(step)
		server.setNotice(ibismessage.ServerNotice{})
		guard.SetServer(ibisroster.Server{Incarnation: s1, Service: "desk", Slots: 6, State: ibisroster.StateServing}, 0)
		load(time.Second)
		Expect(server.arrivals(time.Time{})).To(HaveLen(1))
		Expect(keys.leaving).To(Equal([]ibisroster.ServerIncarnation{s1}))
		guard.SetServer(ibisroster.Server{Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 2}, Service: "desk", Slots: 6, State: ibisroster.StateServing}, 0)
		load(time.Second)
		Expect(len(server.arrivals(time.Time{}))).To(BeNumerically(">", 40), "its next run is another server")
	})

	It("sends it nothing if the node has restarted and another node heard that it leaves", func() {
		hint.Notice = leaving()
		hint.Notice.Server = s1
		load(time.Second)
		Expect(server.arrivals(time.Time{})).To(BeEmpty())
		Expect(keys.leaving).To(Equal([]ibisroster.ServerIncarnation{s1}))
	})
})
