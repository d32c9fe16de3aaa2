package ibisadmission_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
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

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisadmission")
}

// backend records orders and answers each with the next value of the channel answers.
type backend struct {
	mu      sync.Mutex
	orders  []ibismessage.Order
	sentTo  []ibisroster.ServerIncarnation
	at      []time.Time
	clock   ibistimer.Service
	answers chan ibismessage.Answer
}

func (b *backend) Send(ctx context.Context, order ibismessage.Order, incarnation ibisroster.ServerIncarnation, _ time.Duration) ibismessage.Answer {
	b.mu.Lock()
	b.orders = append(b.orders, order)
	b.sentTo = append(b.sentTo, incarnation)
	b.at = append(b.at, b.clock.Now())
	b.mu.Unlock()
	select {
	case a := <-b.answers:
		return a
	case <-ctx.Done():
		return ibismessage.Unknown(ibismessage.ReasonCancelled, ctx.Err())
	}
}

// incarnations returns the incarnations of the server that orders were sent to.
func (b *backend) incarnations() []ibisroster.ServerIncarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.sentTo)
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}

// ownership reports the same state for every key.
type ownership struct {
	mu       sync.Mutex
	keyState ibisrange.KeyState
	changed  chan struct{}
	ended    []ibisroster.ServerIncarnation
	// refreshed is the number of requests for the newest page.
	refreshed int
}

func (o *ownership) StateOfKey(int) (ibisrange.KeyState, ibisid.NodeName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keyState, "other"
}

func (o *ownership) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *ownership) PageVersion() uint64 { return 5 }

func (o *ownership) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refreshed++
}

func (o *ownership) refreshes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refreshed
}

func (o *ownership) ReportServerEnded(incarnation ibisroster.ServerIncarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, incarnation)
}

func (o *ownership) setKeyState(state ibisrange.KeyState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyState = state
	close(o.changed)
	o.changed = make(chan struct{})
}

func okAnswer() ibismessage.Answer {
	return ibismessage.Answer{
		Outcome: ibisid.OutcomeDone,
		Arrived: true,
		Status:  http.StatusOK,
		Length:  2,
		Body:    io.NopCloser(bytes.NewReader([]byte("ok"))),
	}
}

var _ = Describe("A Guard", func() {
	var (
		clock       *ibistimer.Fake
		server      *backend
		keys        *ownership
		guard       *ibisadmission.Guard
		incarnation = ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}
		rules       = ibisadmission.Rules{Connections: 130, ColdPerSecond: 12, ColdStart: 3 * time.Second}
	)

	state := func(s ibisroster.State) ibisroster.Server {
		return ibisroster.Server{Incarnation: incarnation, Service: "desk", Slots: 2, State: s}
	}

	order := func() ibismessage.Order {
		return ibismessage.Order{
			ID: "r", Service: "desk", Class: "look", Key: ibismessage.NoKey,
			Target: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second),
		}
	}

	// send sends an order in the background; the channel receives its answer after the body has been read.
	send := func(ctx context.Context, o ibismessage.Order) chan ibismessage.Answer {
		out := make(chan ibismessage.Answer, 1)
		g := guard
		go func() {
			a := g.Send(ctx, o)
			if a.Body != nil {
				_, _ = io.ReadAll(a.Body)
				_ = a.Body.Close()
			}
			out <- a
		}()
		return out
	}

	limits := ibisadmission.Limits{
		AnswerBytes: 1 << 20,
		LinkRate:    1e6,
	}

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		server = &backend{clock: clock, answers: make(chan ibismessage.Answer)}
		keys = &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})}
		guard = ibisadmission.New(server, keys, limits, clock, zap.NewNop())
	})

	It("admits nothing before it has the rules, even after a heartbeat has reported a cold start", func() {
		guard.SetServer(state(ibisroster.StateServing), 3*time.Second)
		Expect(guard.Send(context.Background(), order()).Reason).To(Equal(ibismessage.ReasonNoConfig))
		guard.SetRules(rules)
		admitted := 0
		for range 100 {
			answer := send(context.Background(), order())
			select {
			case server.answers <- okAnswer():
				admitted++
				Eventually(answer).Should(Receive())
			case <-answer:
			case <-time.After(20 * time.Millisecond):
			}
		}
		Expect(admitted).To(BeNumerically("<=", 15), "the cold rate of one second times its factor, on a clock that does not advance")
		Expect(admitted).To(BeNumerically(">=", 12))
	})

	It("treats the server as cold after its failure domain returns to service", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		out := rules
		out.DomainOut = true
		guard.SetRules(out)
		Expect(guard.Send(context.Background(), order()).Reason).To(BeEquivalentTo(ibisadmit.ReasonDomainOut))
		guard.SetRules(rules)
		for range 15 {
			answer := send(context.Background(), order())
			server.answers <- okAnswer()
			Eventually(answer).Should(Receive())
		}
		waiting := send(context.Background(), order())
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		Expect(server.count()).To(Equal(15))
	})

	It("runs no more requests than slots, and starts the next one when a slot is free", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		for range 3 {
			send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(2))
		Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(1))
		server.answers <- okAnswer()
		Eventually(server.count).Should(Equal(3))
	})

	It("refuses new requests to a server that is leaving, and lets running ones finish", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		running := send(context.Background(), order())
		Eventually(server.count).Should(Equal(1))
		guard.SetServer(state(ibisroster.StateDraining), 0)
		Expect(guard.Send(context.Background(), order()).Outcome).To(Equal(ibisid.OutcomeNotRun))
		server.answers <- okAnswer()
		var a ibismessage.Answer
		Eventually(running).Should(Receive(&a))
		Expect(a.Outcome).To(Equal(ibisid.OutcomeDone))
	})

	It("sends nothing to the server when the key was given away, or the time ran out, while the request waited for a slot", func() {
		for _, meanwhile := range []func(){
			func() { keys.setKeyState(ibisrange.KeyStateElsewhere) },
			func() { clock.Advance(2 * time.Second) },
		} {
			keys.setKeyState(ibisrange.KeyStateHeld)
			sharded := rules
			sharded.Sharded = true
			guard = ibisadmission.New(server, keys, limits, clock, zap.NewNop())
			guard.SetRules(sharded)
			guard.SetServer(state(ibisroster.StateServing), 0)
			before := server.count()
			keyed := order()
			keyed.Key = 7
			for range 2 {
				long := keyed
				long.Deadline = clock.Now().Add(time.Hour)
				send(context.Background(), long)
			}
			Eventually(server.count).Should(Equal(before + 2))
			waiting := send(context.Background(), keyed)
			Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(1))
			meanwhile()
			server.answers <- okAnswer()
			var a ibismessage.Answer
			Eventually(waiting).Should(Receive(&a))
			Expect(a.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(server.count()).To(Equal(before + 2))
			server.answers <- okAnswer()
		}
	})

	It("refuses every new request once its node stops", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		guard.Stop()
		refused := send(context.Background(), order())
		var a ibismessage.Answer
		Eventually(refused).Should(Receive(&a))
		Expect(a.Reason).To(Equal(ibismessage.ReasonStopping))
		Expect(server.count()).To(BeZero())
	})

	It("drops a request whose caller leaves while it waits", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		for range 2 {
			send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(2))
		ctx, cancel := context.WithCancel(context.Background())
		waiting := send(ctx, order())
		Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(1))
		cancel()
		var a ibismessage.Answer
		Eventually(waiting).Should(Receive(&a))
		Expect(a.Outcome).To(Equal(ibisid.OutcomeNotRun))
		server.answers <- okAnswer()
		Consistently(server.count, 50*time.Millisecond).Should(Equal(2))
	})

	It("returns the owner of a key that another node holds, and waits for a key that is moving here", func() {
		sharded := rules
		sharded.Sharded = true
		guard.SetRules(sharded)
		guard.SetServer(state(ibisroster.StateServing), 0)
		o := order()
		o.Key = 7
		keys.setKeyState(ibisrange.KeyStateElsewhere)
		a := guard.Send(context.Background(), o)
		Expect(a.Reason).To(Equal(ibismessage.ReasonKeyElsewhere))
		Expect(a.Owner).To(BeEquivalentTo("other"))
		keys.setKeyState(ibisrange.KeyStatePending)
		waiting := send(context.Background(), o)
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		keys.setKeyState(ibisrange.KeyStateHeld)
		Eventually(server.count).Should(Equal(1))
	})

	It("waits for the next owner of a key that is being released, and refreshes the page when the sender has a newer one", func() {
		sharded := rules
		sharded.Sharded = true
		guard.SetRules(sharded)
		guard.SetServer(state(ibisroster.StateServing), 0)
		o := order()
		o.Key = 7
		keys.setKeyState(ibisrange.KeyStateUnavailable)
		waiting := send(context.Background(), o)
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		keys.setKeyState(ibisrange.KeyStateElsewhere)
		var a ibismessage.Answer
		Eventually(waiting).Should(Receive(&a))
		Expect(a.Reason).To(Equal(ibismessage.ReasonKeyElsewhere))
		Expect(a.PageVersion).To(BeEquivalentTo(5))
		o.PageVersion = 6
		waiting = send(context.Background(), o)
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		Expect(keys.refreshes()).To(BeNumerically(">", 0))
		keys.setKeyState(ibisrange.KeyStateHeld)
		Eventually(server.count).Should(Equal(1))
	})

	It("reports that the server has ended when its port accepts no connections", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		answer := send(context.Background(), order())
		server.answers <- ibismessage.NotRun(ibismessage.ReasonServerEnded, 0, nil)
		Eventually(answer).Should(Receive())
		Expect(keys.ended).To(ConsistOf(incarnation))
	})

	It("runs an order on the present incarnation of the server, also from a sender that has an earlier one", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		restarted := ibisroster.Server{Incarnation: ibisroster.ServerIncarnation{ID: "s2", StartedAt: 2}, Service: "desk", Slots: 2, State: ibisroster.StateServing}
		guard.SetServer(restarted, 0)
		answer := send(context.Background(), order())
		Eventually(func() int { return len(server.incarnations()) }).Should(Equal(1))
		Expect(server.incarnations()).To(ConsistOf(restarted.Incarnation))
		server.answers <- ibismessage.NotRun(ibismessage.ReasonServerFull, 0, nil)
		Eventually(answer).Should(Receive())
	})

	It("refuses an order for another service", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		o := order()
		o.Service = "floor"
		Expect(guard.Send(context.Background(), o).Reason).To(Equal(ibismessage.ReasonOtherServer))
	})
})
