package ibisadmission_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
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
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
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
	leaving  []ibisroster.ServerIncarnation
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

func (o *ownership) ReportServerLeaving(incarnation ibisroster.ServerIncarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = append(o.leaving, incarnation)
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
		start       = time.Unix(1_000_000, 0)
		incarnation = ibisroster.ServerIncarnation{ID: "s1", StartedAt: start.UnixMilli()}
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
		clock = ibistimer.NewFake(start)
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

	// Guards against a cold server that gets the requests of two seconds in one: those of an earlier run of the node, or of the gate
	// before, and those of the present gate.
	DescribeTable("counts what another gate may have admitted to a cold server", func(startedAfter, sinceStart time.Duration, slots int, coldFor time.Duration, admitted bool) {
		present := state(ibisroster.StateServing)
		present.Incarnation.StartedAt = clock.Now().Add(startedAfter).UnixMilli()
		guard.SetRules(rules)
		guard.SetServer(present, coldFor)
		clock.Advance(sinceStart)
		present.Slots = slots
		guard.SetServer(present, coldFor)
		answer := send(context.Background(), order())
		if !admitted {
			Eventually(answer).Should(Receive(HaveField("Outcome", ibisid.OutcomeNotRun)), "it would wait past its target")
			clock.Advance(1200 * time.Millisecond)
			answer = send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(1))
		server.answers <- okAnswer()
		Eventually(answer).Should(Receive())
	},
		Entry("before the start of the node", -time.Minute, time.Duration(0), 2, 3*time.Second, false),
		Entry("until the server named other slots", time.Duration(0), time.Second, 3, 3*time.Second, false),
		// A sound server waits no longer than that, and not at all if it is warm or no other gate can have admitted to it.
		Entry("but not long before", -time.Minute, 1200*time.Millisecond, 2, 3*time.Second, true),
		Entry("but not to a warm one", -time.Minute, time.Duration(0), 2, time.Duration(0), true),
		Entry("but none to one that started together with the node", -500*time.Millisecond, time.Duration(0), 2, 3*time.Second, true),
		Entry("but none to one that started after the node", time.Duration(0), time.Duration(0), 2, 3*time.Second, true),
	)

	// Guards against keys that stay with a backend server that ended midway through an answer until its lease has run out.
	DescribeTable("reports the end of a server whose answer breaks off", func(broken error, reported int) {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		answer := send(context.Background(), order())
		Eventually(server.count).Should(Equal(1))
		breaking := okAnswer()
		breaking.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)))
		server.answers <- breaking
		var got ibismessage.Answer
		Eventually(answer).Should(Receive(&got))
		_, err := io.ReadAll(got.Body)
		Expect(err).To(MatchError(broken))
		Expect(keys.ended).To(HaveLen(reported))
		Expect(guard.Stats().Running).To(BeZero())
	},
		Entry("as its process ended", &ibismessage.ServerEndedError{Err: io.ErrUnexpectedEOF}, 1),
		Entry("but not if it goes on", io.ErrUnexpectedEOF, 0),
	)

	// Guards against a gate that doesn't learn an order's account and priority: the account's order, which comes first, would run first.
	It("admits the order with the more urgent priority first, that of its account or else that of its class", func() {
		guard.SetRules(ibisadmission.Rules{Connections: 130, Policy: ibisadmit.Policy{Classes: map[ibisid.ClassName]ibisadmit.ClassPolicy{
			"look": ibisadmission.ClassPolicy(1),
		}}})
		guard.SetServer(state(ibisroster.StateServing), 0)
		for range 2 {
			send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(2))
		ofClass, ofAccount := order(), order()
		ofAccount.Tenant, ofAccount.Priority = "kandy", 2
		for i, o := range []ibismessage.Order{ofAccount, ofClass} {
			send(context.Background(), o)
			Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(i + 1))
		}
		server.answers <- okAnswer()
		Eventually(server.count).Should(Equal(3))
		for range 3 {
			server.answers <- okAnswer()
		}
		Expect(server.orders[2].Tenant).To(BeEmpty())
		Expect(server.orders[3].Tenant).To(BeEquivalentTo("kandy"))
	})

	// Guards against an order that runs long after its key was removed since it waited at the gate.
	DescribeTable("checks the key of an order that has waited by a newer configuration", func(version ibisroute.Version, key string, reason ibismessage.Reason) {
		withKey := func(version ibisroute.Version, key string) ibisadmission.Rules {
			accounts := ibisroute.NewAccounts([]ibisroute.AccountEntry{{
				Account: ibisroute.Account{Name: "kandy"},
				Keys:    []ibisroute.KeyHash{ibisroute.HashKey(key)},
			}})
			return ibisadmission.Rules{Connections: 130, Config: ibisroute.New(version, ibisroute.Limits{}, nil, nil).WithAccounts(accounts)}
		}
		guard.SetRules(withKey(5, "k-1"))
		guard.SetServer(state(ibisroster.StateServing), 0)
		for range 2 {
			send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(2))
		o := order()
		o.Tenant, o.KeyDigest, o.ConfigVersion = "kandy", uint64(ibisroute.HashKey("k-1").Digest()), 5
		waiting := send(context.Background(), o)
		Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(1))
		guard.SetRules(withKey(version, key))
		for range 2 {
			server.answers <- okAnswer()
		}
		if reason == "" {
			server.answers <- okAnswer()
		}
		Eventually(waiting).Should(Receive(HaveField("Reason", reason)))
		Expect(server.count() == 3).To(Equal(reason == ""))
	},
		Entry("kept", ibisroute.Version(6), "k-1", ibismessage.Reason("")),
		Entry("removed", ibisroute.Version(6), "k-2", ibismessage.ReasonUnauthorized),
		Entry("added by a newer one than the gate's", ibisroute.Version(4), "k-2", ibismessage.Reason("")),
	)

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

	// Guards against a full server that counts as failing, and against a failing connection of a server with free slots that counts as full.
	It("takes a reset for that of a full server only while all slots are in use, and admits less after it", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		reset := ibismessage.Unknown(ibismessage.ReasonConnectionFailed, nil)
		reset.Reset = true
		outcomes := make(map[ibismessage.Reason]int)
		one := send(context.Background(), order())
		server.answers <- reset
		outcomes[(<-one).Reason]++
		answers := []chan ibismessage.Answer{send(context.Background(), order()), send(context.Background(), order())}
		Eventually(server.count).Should(Equal(3))
		server.answers <- reset
		for len(outcomes) < 2 {
			select {
			case a := <-answers[0]:
				outcomes[a.Reason]++
				Expect(a.Outcome).To(Equal(ibisid.OutcomeUnknown))
			case a := <-answers[1]:
				outcomes[a.Reason]++
				Expect(a.Outcome).To(Equal(ibisid.OutcomeUnknown))
			}
		}
		Expect(outcomes).To(Equal(map[ibismessage.Reason]int{ibismessage.ReasonConnectionFailed: 1, ibismessage.ReasonServerReset: 1}))
		Expect(guard.Stats().Resets).To(Equal(uint64(1)))
		send(context.Background(), order())
		Consistently(server.count, 50*time.Millisecond).Should(Equal(3), "one slot of two is used right after a reset")
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

	It("frees the slot of a request whose handler panics", func() {
		guard = ibisadmission.New(panickingBackend{}, keys, limits, clock, zap.NewNop())
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		Expect(func() { guard.Send(context.Background(), order()) }).To(Panic())
		Expect(guard.Stats().Running).To(BeZero())
	})

	It("serves others after a panic in its own decisions", func() {
		faulty := &panickingClock{Fake: clock}
		guard = ibisadmission.New(server, keys, limits, faulty, zap.NewNop())
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		faulty.panics = true
		o := order()
		Expect(func() { guard.Send(context.Background(), o) }).To(Panic())
		faulty.panics = false
		answer := send(context.Background(), o)
		Eventually(server.count).Should(Equal(1))
		server.answers <- okAnswer()
		Eventually(answer).Should(Receive(HaveField("Outcome", ibisid.OutcomeDone)))
	})

	It("does not send a request that waits to a server that changes its service", func() {
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		for range 2 {
			send(context.Background(), order())
		}
		Eventually(server.count).Should(Equal(2))
		waiting := send(context.Background(), order())
		Eventually(func() int { return guard.Stats().Waiting }).Should(Equal(1))
		other := state(ibisroster.StateServing)
		other.Service = "floor"
		guard.SetServer(other, 0)
		Eventually(waiting).Should(Receive(HaveField("Outcome", ibisid.OutcomeNotRun)))
	})

	It("answers every request and loses no slot while servers and rules change", func() {
		random := rand.New(rand.NewPCG(1, 2))
		guard.SetRules(rules)
		guard.SetServer(state(ibisroster.StateServing), 0)
		stopAnswers := make(chan struct{})
		go func() {
			for {
				select {
				case server.answers <- okAnswer():
				case <-stopAnswers:
					return
				}
			}
		}()
		const requests = 400
		answers := make([]chan ibismessage.Answer, 0, requests)
		for n := range requests {
			ctx, cancel := context.WithCancel(context.Background())
			o := order()
			o.Class = ibisid.ClassName([]string{"look", "print"}[random.IntN(2)])
			answers = append(answers, send(ctx, o))
			changed := state(ibisroster.StateServing)
			changed.Incarnation.StartedAt = int64(1 + random.IntN(2))
			changed.Slots = 1 + random.IntN(3)
			switch random.IntN(8) {
			case 0:
				guard.SetServer(changed, 0)
			case 1:
				changed.State = ibisroster.StateDraining
				guard.SetServer(changed, 0)
			case 2:
				changed.Service = "floor"
				guard.SetServer(changed, 0)
			case 3:
				r := rules
				r.DomainOut = random.IntN(4) == 0
				r.ColdPerSecond = float64(random.IntN(2) * 1000)
				if random.IntN(2) == 0 {
					r.Policy.Classes = map[ibisid.ClassName]ibisadmit.ClassPolicy{"look": ibisadmission.ClassPolicy(1)}
				}
				guard.SetRules(r)
			case 4:
				cancel()
			case 5:
				clock.Advance(time.Duration(n%3) * ibisadmit.TickPeriod)
			}
			DeferCleanup(cancel)
		}
		guard.Stop()
		for _, a := range answers {
			Eventually(a, time.Minute).Should(Receive())
		}
		close(stopAnswers)
		Eventually(func() ibisadmission.Stats { return guard.Stats() }, time.Minute).Should(And(HaveField("Running", 0), HaveField("Waiting", 0)))
	})
})

// panickingBackend panics at each order.
type panickingBackend struct{}

func (panickingBackend) Send(context.Context, ibismessage.Order, ibisroster.ServerIncarnation, time.Duration) ibismessage.Answer {
	panic("a fault")
}

// panickingClock panics when it is asked for the time.
type panickingClock struct {
	*ibistimer.Fake
	panics bool
}

func (c *panickingClock) Now() time.Time {
	if c.panics {
		panic("a fault")
	}
	return c.Fake.Now()
}

var _ = Describe("A Guard whose backend server rejects requests that only it can run", func() {
	// Without it, each call of another server that this one turns away fails the run that made it.
	DescribeTable("sends them again within the budget and the deadline",
		func(change func(o *ibismessage.Order), rejections, arrivals int) {
			clock := ibistimer.NewFake(time.Unix(1_000_000, 0))
			server := &backend{clock: clock, answers: make(chan ibismessage.Answer, 10)}
			keys := &ownership{keyState: ibisrange.KeyStateHeld, changed: make(chan struct{})}
			guard := ibisadmission.New(server, keys, ibisadmission.Limits{}, clock, zap.NewNop())
			guard.SetRules(ibisadmission.Rules{Connections: 130, Sharded: true})
			guard.SetServer(ibisroster.Server{Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}, Service: "desk", Slots: 2, State: ibisroster.StateServing}, 0)
			for range 30 {
				server.answers <- okAnswer()
				warm := guard.Send(context.Background(), ibismessage.Order{Service: "desk", Key: 7, Deadline: clock.Now().Add(time.Second)})
				Expect(warm.Body.Close()).To(Succeed())
			}
			before := server.count()
			for range rejections {
				rejected := ibismessage.NotRun(ibismessage.ReasonServerFull, 0, nil)
				rejected.Arrived = true
				server.answers <- rejected
			}
			server.answers <- okAnswer()
			o := ibismessage.Order{Service: "desk", Key: 7, Deadline: clock.Now().Add(time.Second)}
			change(&o)
			answer := guard.Send(context.Background(), o)
			Expect(server.count() - before).To(Equal(arrivals))
			Expect(answer.Outcome == ibisid.OutcomeDone).To(Equal(arrivals > rejections))
			if answer.Body != nil {
				Expect(answer.Body.Close()).To(Succeed())
			}
			Expect(guard.Stats().Running).To(BeZero())
		},
		Entry("once rejected", func(*ibismessage.Order) {}, 1, 2),
		Entry("rejected more often than a request is sent again", func(*ibismessage.Order) {}, 4, 4),
		Entry("no time left", func(o *ibismessage.Order) { o.Deadline = o.Deadline.Add(-994 * time.Millisecond) }, 1, 1),
		Entry("another server may run it", func(o *ibismessage.Order) { o.Key = ibismessage.NoKey }, 1, 1),
		Entry("its body can't be sent again", func(o *ibismessage.Order) { o.BodyRest = bytes.NewReader([]byte("b")) }, 1, 1),
	)
})
