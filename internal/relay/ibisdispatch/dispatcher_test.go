package ibisdispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/relay/ibisshutdown"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisdispatch")
}

// peers answers orders with a function and records the orders and their nodes.
type peers struct {
	sent   []ibisid.NodeName
	orders []ibismessage.Order
	answer func(n int, node ibisid.NodeName) ibismessage.Answer
}

func (p *peers) Send(_ context.Context, m ibisroster.Member, order ibismessage.Order) ibismessage.Answer {
	p.sent = append(p.sent, m.Node)
	p.orders = append(p.orders, order)
	return p.answer(len(p.sent)-1, m.Node)
}

// brokenBody returns io.ErrUnexpectedEOF after its bytes.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

func done(status int, body string) ibismessage.Answer {
	return ibismessage.Answer{
		Outcome: ibisid.OutcomeDone,
		Arrived: true,
		Status:  status,
		Header:  make(http.Header),
		Length:  int64(len(body)),
		Body:    io.NopCloser(bytes.NewReader([]byte(body))),
	}
}

func arrivedNotRun() ibismessage.Answer {
	a := ibismessage.NotRun(ibismessage.ReasonServerFull, 0, nil)
	a.Arrived = true
	return a
}

// verifyFunc is a verifier of the configuration.
type verifyFunc func() bool

func (f verifyFunc) Verify(context.Context) bool { return f() }

var _ = Describe("A Dispatcher", func() {
	var (
		clock      *ibistimer.Fake
		p          *peers
		dispatcher *ibisdispatch.Dispatcher
	)

	member := func(name, region, domain string, service ibisid.ServiceName) ibisroster.Member {
		return ibisroster.Member{
			Node:    ibisid.NodeName(name),
			Place:   ibisid.Place{Region: ibisid.RegionName(region), Domain: ibisid.DomainName(domain)},
			Address: "127.0.0.1:1",
			Server: ibisroster.Server{
				Incarnation: ibisroster.ServerIncarnation{ID: "s-" + name, StartedAt: 1},
				Service:     service,
				Slots:       12,
				State:       ibisroster.StateServing,
			},
		}
	}

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		p = &peers{answer: func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }}
		dispatcher = ibisdispatch.New(ibisdispatch.Config{
			Node:  "a",
			Place: ibisid.Place{Region: "central", Domain: "kandy-a"},
		}, p, ibismeter.New(), nil, clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
		route := func(name string, kind ibisroute.Kind, service ibisid.ServiceName, homes ...ibisid.RegionName) ibisroute.Route {
			return ibisroute.Route{
				Name: ibisid.ClassName(name), Host: "mats.example", Prefix: "/" + name + "/", Kind: kind, Priority: 1,
				Target: 800 * time.Millisecond, Timeout: 2500 * time.Millisecond, MaxAttempts: 2, Homes: homes,
				Services: []ibisroute.WeightedService{{Service: service, Weight: 1}},
			}
		}
		config := ibisroute.New(3, ibisroute.Limits{BodyBytes: 1 << 20},
			[]ibisroute.Service{{Name: "desk"}, {Name: "floor", Sharded: true}},
			[]ibisroute.Route{
				route("look", ibisroute.KindIdempotent, "desk"),
				route("order", ibisroute.KindNonIdempotent, "desk"),
				route("home", ibisroute.KindIdempotent, "desk", "western"),
				route("key", ibisroute.KindIdempotent, "floor"),
				route("lost", ibisroute.KindIdempotent, "gone"),
			})
		Expect(dispatcher.SetConfig(config)).To(BeTrue())
		dispatcher.UpdateRoster(func(r *ibisroster.Roster) {
			r.Put(member("a", "central", "kandy-a", "desk"), 1)
			r.Put(member("b", "central", "kandy-b", "desk"), 2)
			r.Put(member("c", "western", "colombo-a", "desk"), 3)
			r.Put(member("f", "western", "colombo-a", "floor"), 4)
			r.Put(member("g", "central", "kandy-a", "floor"), 5)
		})
		dispatcher.SetPage("floor", ibisrange.Page{Ranges: []ibisrange.Range{
			{Span: ibisrange.Span{From: 0, To: 999}, Owner: ibisrange.Owner{Node: "f"}},
			{Span: ibisrange.Span{From: 1000, To: ibisrange.Keys - 1}, Owner: ibisrange.Owner{Node: "g"}},
		}}, 6)
	})

	serve := func(path string) ibismessage.Answer {
		return dispatcher.Serve(context.Background(), ibisdispatch.Request{
			ID: "r1", Method: http.MethodPost, URI: path, Path: path, Host: "mats.example", Key: 7,
			CallerTimeout: 5 * time.Second, Arrived: clock.Now(), Length: 2, Body: bytes.NewReader([]byte("ok")),
		})
	}

	It("repeats to a node what its backend server said last, until it says nothing or has been replaced", func() {
		limited := ibismessage.ServerNotice{
			Server:    ibisroster.ServerIncarnation{ID: "s-f", StartedAt: 1},
			RateLimit: ibisset.Some(2.5),
		}
		said := ibisset.Some(limited)
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			a := done(200, "whole")
			a.Notice = said
			return a
		}
		// repeated serves a request and returns the notice that went out with it.
		repeated := func() ibismessage.ServerNotice {
			serve("/key/1")
			return p.orders[len(p.orders)-1].Notice
		}
		restarted := member("f", "western", "colombo-a", "floor")
		Expect(repeated().IsEmpty()).To(BeTrue())
		dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Remove("f", 7) })
		dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Put(restarted, 8) })
		said = ibisset.None[ibismessage.ServerNotice]()
		Expect(repeated()).To(Equal(limited), "the node has restarted, its server has not")
		Expect(repeated()).To(Equal(limited), "the last answer said nothing that can be read")
		said = ibisset.Some(ibismessage.ServerNotice{})
		Expect(repeated()).To(Equal(limited))
		Expect(repeated().IsEmpty()).To(BeTrue())
		said = ibisset.Some(limited)
		repeated()
		restarted.Server.Incarnation.StartedAt = 2
		dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Put(restarted, 9) })
		Expect(repeated().IsEmpty()).To(BeTrue())
	})

	It("chooses no backend server that said in an answer that it leaves, before any row of the store says so", func() {
		p.answer = func(_ int, node ibisid.NodeName) ibismessage.Answer {
			a := done(200, "whole")
			if node != "b" {
				a.Notice = ibisset.Some(ibismessage.ServerNotice{
					Server:  ibisroster.ServerIncarnation{ID: "s-" + string(node), StartedAt: 1},
					Leaving: true,
				})
			}
			return a
		}
		look := func() {
			for range 40 {
				Expect(serve("/look/1").Body.Close()).To(Succeed())
			}
		}
		look()
		told := len(p.sent)
		look()
		Expect(p.sent[told:]).To(HaveEach(ibisid.NodeName("b")))
		serve("/key/1")
		told = len(p.sent)
		answer := serve("/key/1")
		Expect(answer.Reason).To(Equal(ibismessage.ReasonKeyMoving))
		Expect(p.sent).To(HaveLen(told), "the owner of the key leaves")
	})

	It("never retries a non-idempotent request that may have run", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			return ibismessage.Unknown(ibismessage.ReasonConnectionFailed, nil)
		}
		answer := serve("/order/1")
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeUnknown))
		Expect(p.sent).To(HaveLen(1))
	})

	// Guards against a full server that is avoided like a failing one, by all classes, and against work that runs twice.
	It("sends no non-idempotent request again after a reset by a full server, and counts neither that nor a failure by calls as a failing server", func() {
		failedByCalls := done(500, "")
		failedByCalls.FailedByCalls = true
		for _, c := range []struct {
			answer  ibismessage.Answer
			failing bool
		}{
			{ibismessage.Unknown(ibismessage.ReasonServerReset, nil), false},
			{ibismessage.Unknown(ibismessage.ReasonConnectionFailed, nil), true},
			{failedByCalls, false},
			{done(500, ""), true},
		} {
			p.sent = nil
			p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return c.answer }
			clock.Advance(time.Minute)
			for range 2 {
				answer := serve("/order/1")
				Expect(answer.Outcome).To(Equal(c.answer.Outcome))
				if answer.Body != nil {
					Expect(answer.Body.Close()).To(Succeed())
				}
			}
			Expect(p.sent).To(HaveLen(2))
			p.sent = nil
			p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }
			for range 20 {
				answer := serve("/look/1")
				Expect(answer.Outcome).To(Equal(ibisid.OutcomeDone))
				Expect(answer.Body.Close()).To(Succeed())
			}
			near := ContainElements(ibisid.NodeName("a"), ibisid.NodeName("b"))
			if !c.failing {
				Expect(p.sent).To(near)
			} else {
				Expect(p.sent).NotTo(near)
			}
		}
	})

	It("retries a request that has not run on another node, with its body", func() {
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			if n == 0 {
				return ibismessage.NotRun(ibismessage.ReasonUnreachable, 0, nil)
			}
			return done(200, "whole")
		}
		Expect(serve("/order/1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(p.sent).To(HaveLen(2))
		Expect(p.sent[0]).NotTo(Equal(p.sent[1]))
		Expect(p.orders[1].Body).To(Equal([]byte("ok")))
	})

	It("retries an idempotent request whose short answer was truncated", func() {
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			a := done(200, "half")
			if n == 0 {
				a.Length = 10
				a.Body = brokenBody{Reader: bytes.NewReader([]byte("half"))}
			}
			return a
		}
		Expect(serve("/look/1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(p.sent).To(HaveLen(2))
	})

	It("refuses a long answer that ended before its first byte, and returns the rest of one that has begun", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			a := done(200, "")
			a.Length = 1 << 20
			a.Body = brokenBody{Reader: bytes.NewReader(nil)}
			return a
		}
		Expect(serve("/order/1").Outcome).To(Equal(ibisid.OutcomeUnknown))
		long := bytes.Repeat([]byte("mat "), 1<<18)
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return done(200, string(long)) }
		answer := serve("/order/1")
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(io.ReadAll(answer.Body)).To(Equal(long))
	})

	It("does not report a request as not run if its first try may have run", func() {
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			if n == 0 {
				return ibismessage.Unknown(ibismessage.ReasonConnectionFailed, nil)
			}
			return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonTarget), time.Second, nil)
		}
		answer := serve("/look/1")
		Expect(len(p.sent)).To(BeNumerically(">=", 2))
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeUnknown))
	})

	It("does not exceed the maximum of attempts of the route", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return arrivedNotRun() }
		answer := serve("/look/1")
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(p.sent).To(HaveLen(2))
	})

	It("keeps retries below a tenth of the requests when every backend server rejects them", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return arrivedNotRun() }
		const requests = 1000
		for range requests {
			serve("/look/1")
			clock.Advance(200 * time.Millisecond)
		}
		Expect(len(p.sent) - requests).To(BeNumerically("<=", requests/10+3))
	})

	It("does not try further nodes after a full gate once the refusal would be late", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			clock.Advance(60 * time.Millisecond)
			return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonTarget), time.Second, nil)
		}
		answer := serve("/look/1")
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(answer.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(p.sent).To(HaveLen(1))
	})

	It("excludes a gate after refusals only for the class that it refused", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonTarget), time.Second, nil)
		}
		for range 5 {
			serve("/look/1")
		}
		p.sent = nil
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }
		Expect(serve("/order/1").Outcome).To(Equal(ibisid.OutcomeDone))
	})

	It("counts the target from the caller's first attempt, estimated from its remaining timeout", func() {
		ask := func(callerTimeout time.Duration) ibismessage.Order {
			dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: "r", Method: http.MethodGet, URI: "/look/1", Path: "/look/1", Host: "mats.example", CallerTimeout: callerTimeout, Arrived: clock.Now(),
			})
			return p.orders[len(p.orders)-1]
		}
		Expect(ask(5 * time.Second).Target).To(Equal(clock.Now().Add(800 * time.Millisecond)))
		Expect(ask(4500*time.Millisecond).Target).To(Equal(clock.Now().Add(800*time.Millisecond)), "the timeout of callers at their first attempt differs by a seventh")
		Expect(ask(4200 * time.Millisecond).Target).To(Equal(clock.Now().Add(375 * time.Millisecond)))
	})

	// Guards against answers that the end of a stopping node cut off although another node still worked on them.
	It("gives an order no more time than the stopping node has for its answer", func() {
		allowed := 2 * time.Second
		ask := func() ibismessage.Answer {
			return dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: "r", Method: http.MethodGet, URI: "/look/1", Path: "/look/1", Host: "mats.example", CallerTimeout: allowed, Arrived: clock.Now(),
			})
		}
		ask()
		Expect(p.orders[0].Deadline).To(Equal(clock.Now().Add(allowed)), "it does not stop")
		schedule := ibisshutdown.New(clock.Now(), 4*time.Second)
		dispatcher.BeginShutdown(schedule)
		clock.Advance(1700 * time.Millisecond)
		ask()
		Expect(p.orders[1].Deadline).To(Equal(schedule.WorkEnd()))
	})

	// Guards against requests that a stopping node passed on and cut off at its end, unanswered, while the backend server worked.
	It("refuses at a node that stops what would not be answered before its end, untouched and with a time to come back", func() {
		schedule := ibisshutdown.New(clock.Now(), 4*time.Second)
		dispatcher.BeginShutdown(schedule)
		clock.Advance(2 * time.Second)
		for _, callerTimeout := range []time.Duration{schedule.WorkEnd().Sub(clock.Now()) + time.Millisecond, 5 * time.Second, 0} {
			answer := dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: "r", Method: http.MethodPost, URI: "/order/1", Path: "/order/1", Host: "mats.example", CallerTimeout: callerTimeout, Arrived: clock.Now(),
			})
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(answer.Reason).To(Equal(ibismessage.ReasonStopping))
			Expect(answer.RetryAfter).To(BeNumerically(">=", time.Second))
		}
		Expect(p.sent).To(BeEmpty())
	})

	It("does not send a request again that a stopping node has taken earlier and could not answer before its end", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			dispatcher.BeginShutdown(ibisshutdown.New(clock.Now(), time.Second))
			clock.Advance(700 * time.Millisecond)
			return ibismessage.NotRun(ibismessage.ReasonOtherServer, 0, nil)
		}
		Expect(serve("/order/1").Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(p.sent).To(HaveLen(1))
	})

	It("sends a request with a key to its owner, then to the owner that the refusal names", func() {
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			if n == 0 {
				a := ibismessage.NotRun(ibismessage.ReasonKeyElsewhere, 0, nil)
				a.Owner = "g"
				return a
			}
			return done(200, "whole")
		}
		Expect(serve("/key/1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(p.sent).To(Equal([]ibisid.NodeName{"f", "g"}))
	})

	It("sends requests only to the home regions of their route", func() {
		for range 20 {
			serve("/home/1")
		}
		Expect(p.sent).To(HaveEach(ibisid.NodeName("c")))
	})

	It("sends no requests to a failure domain that is out of service", func() {
		dispatcher.SetOutDomains(ibisset.Of[ibisid.DomainName]("kandy-a", "kandy-b"))
		for range 20 {
			serve("/look/1")
		}
		Expect(p.sent).To(HaveEach(ibisid.NodeName("c")))
	})

	It("refuses at once, with a retry-after time, if no backend server is available", func() {
		dispatcher.SetOutDomains(ibisset.Of[ibisid.DomainName]("kandy-a", "kandy-b", "colombo-a"))
		for _, path := range []string{"/look/1", "/key/1"} {
			answer := serve(path)
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(answer.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(p.sent).To(BeEmpty())
	})

	It("refuses for now what matches a route that can't be served, and answers others as unknown", func() {
		answer := serve("/lost/1")
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(answer.Reason).To(Equal(ibismessage.ReasonFaultyRoute))
		Expect(answer.RetryAfter).To(BeNumerically(">", 0))
		Expect(serve("/nobody/1").Reason).To(Equal(ibismessage.ReasonNoRoute))
		Expect(p.sent).To(BeEmpty())
	})

	// Guards against 404 for a route that other nodes have had for seconds (incident 004).
	DescribeTable("answers that there is no route only if other nodes have no newer configuration",
		func(verify verifyFunc, want types.GomegaMatcher) {
			dispatcher.SetConfigVerifier(verify)
			Expect(serve("/added/1")).To(want)
		},
		Entry("they have none", verifyFunc(func() bool { return true }), HaveField("Reason", ibismessage.ReasonNoRoute)),
		Entry("they don't answer", verifyFunc(func() bool { return false }),
			And(HaveField("Reason", ibismessage.ReasonConfigUnverified), HaveField("RetryAfter", BeNumerically(">", 0)), HaveField("Outcome", ibisid.OutcomeNotRun))),
		Entry("they have one with the route", verifyFunc(func() bool {
			return dispatcher.SetConfig(ibisroute.New(4, ibisroute.Limits{}, []ibisroute.Service{{Name: "desk"}}, []ibisroute.Route{{
				Name: "added", Host: "mats.example", Prefix: "/added/", Target: time.Second, Timeout: time.Second, MaxAttempts: 1,
				Services: []ibisroute.WeightedService{{Service: "desk", Weight: 1}},
			}}))
		}), HaveField("Outcome", ibisid.OutcomeDone)),
	)

	It("serves routes of one name with splits of different lengths, and tells their callers apart", func() {
		split := func(host string, patience time.Duration, services ...ibisid.ServiceName) ibisroute.Route {
			r := ibisroute.Route{
				Name: "same", Host: host, Prefix: "/", Kind: ibisroute.KindIdempotent, Target: patience, Timeout: patience, MaxAttempts: 1,
			}
			for _, service := range services {
				r.Services = append(r.Services, ibisroute.WeightedService{Service: service, Weight: 1})
			}
			return r
		}
		Expect(dispatcher.SetConfig(ibisroute.New(4, ibisroute.Limits{}, []ibisroute.Service{{Name: "desk"}, {Name: "floor"}, {Name: "print"}}, []ibisroute.Route{
			split("two.example", 5*time.Second, "desk", "floor"),
			split("three.example", time.Second, "desk", "floor", "print"),
		}))).To(BeTrue())
		ask := func(host string, patience time.Duration) ibismessage.Answer {
			return dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: "r1", Method: http.MethodGet, URI: "/1", Path: "/1", Host: host, CallerTimeout: patience, Arrived: clock.Now(),
			})
		}
		for range 4 {
			Expect(ask("two.example", 5*time.Second).Outcome).To(Equal(ibisid.OutcomeDone))
		}
		three := []ibismessage.Answer{ask("three.example", time.Second), ask("three.example", time.Second), ask("three.example", time.Second)}
		Expect(three).To(ConsistOf(HaveField("Outcome", ibisid.OutcomeDone), HaveField("Outcome", ibisid.OutcomeDone), HaveField("Reason", ibismessage.ReasonNoServer)))
		Expect(p.orders[len(p.orders)-1].Target).To(Equal(clock.Now().Add(time.Second)), "not counted as a later attempt of a caller of the other route")
	})

	It("sends a retry of a service that a new configuration drops to no node that has left or whose domain is out", func() {
		for _, leave := range []func(){
			func() { dispatcher.SetOutDomains(ibisset.Of[ibisid.DomainName]("kandy-a", "kandy-b", "colombo-a")) },
			func() {
				dispatcher.UpdateRoster(func(r *ibisroster.Roster) {
					for _, node := range []ibisid.NodeName{"a", "b", "c"} {
						r.Remove(node, 10)
					}
				})
			},
		} {
			p.sent = nil
			p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
				dispatcher.SetConfig(ibisroute.New(dispatcher.Config().Version()+1, ibisroute.Limits{}, nil, nil))
				leave()
				return ibismessage.NotRun(ibismessage.ReasonUnreachable, 0, nil)
			}
			route, _ := dispatcher.Config().Match("mats.example", "/look/1")
			Expect(serve("/look/1").Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(p.sent).To(HaveLen(1))
			dispatcher.SetOutDomains(nil)
			dispatcher.SetConfig(ibisroute.New(dispatcher.Config().Version()+1, ibisroute.Limits{}, []ibisroute.Service{{Name: "desk"}}, []ibisroute.Route{*route}))
		}
	})

	It("does not count tries that panicked as unanswered for ever", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { panic("a fault") }
		for range 100 {
			Expect(func() { serve("/look/1") }).To(Panic())
			clock.Advance(time.Minute)
		}
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }
		Expect(serve("/look/1").Outcome).To(Equal(ibisid.OutcomeDone))
	})

	It("rejects an older configuration", func() {
		Expect(dispatcher.SetConfig(ibisroute.New(2, ibisroute.Limits{}, nil, nil))).To(BeFalse())
		Expect(dispatcher.Config().Version()).To(BeEquivalentTo(3))
	})

	Describe("with a body of unknown length", func() {
		const limit = 1 << 20
		var received int64

		send := func(length int) ibismessage.Answer {
			return dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID:            "r1",
				Method:        http.MethodPost,
				URI:           "/order/1",
				Path:          "/order/1",
				Host:          "mats.example",
				CallerTimeout: 5 * time.Second,
				Arrived:       clock.Now(),
				Length:        -1,
				Body:          bytes.NewReader(make([]byte, length)),
			})
		}

		BeforeEach(func() {
			p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
				var err error
				if received, err = io.Copy(io.Discard, p.orders[n].BodyReader()); err != nil {
					return ibismessage.Unknown(ibismessage.ReasonConnectionFailed, err)
				}
				return done(200, "whole")
			}
		})

		It("sends all that is allowed", func() {
			Expect(send(limit).Outcome).To(Equal(ibisid.OutcomeDone))
			Expect(received).To(BeEquivalentTo(limit))
		})

		It("refuses one that is longer than allowed while it is sent, and doesn't claim that it was not run", func() {
			answer := send(limit + 1)
			Expect(answer.Reason).To(Equal(ibismessage.ReasonTooLong))
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeUnknown))
			Expect(received).To(BeNumerically("<=", limit))
			Expect(p.sent).To(HaveLen(1))
		})

		It("refuses one that is longer than a short limit before it is sent", func() {
			Expect(dispatcher.SetConfig(ibisroute.New(4, ibisroute.Limits{BodyBytes: 10}, []ibisroute.Service{{Name: "desk"}}, []ibisroute.Route{{
				Name:        "order",
				Host:        "mats.example",
				Prefix:      "/order/",
				Kind:        ibisroute.KindNonIdempotent,
				Timeout:     time.Second,
				MaxAttempts: 1,
				Services:    []ibisroute.WeightedService{{Service: "desk", Weight: 1}},
			}}))).To(BeTrue())
			answer := send(11)
			Expect(answer.Reason).To(Equal(ibismessage.ReasonTooLong))
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(p.sent).To(BeEmpty())
		})
	})

	// Guards against bodies that are held before anything bounds their sum.
	DescribeTable("refuses a body that does not fit into the memory, as not run, and before reading it",
		func(length int, wants int64) {
			body := bytes.NewReader(make([]byte, 100))
			asked := int64(0)
			answer := dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: "r1", Method: http.MethodPost, URI: "/order/1", Path: "/order/1", Host: "mats.example",
				Arrived: clock.Now(), Length: int64(length), Body: body,
				HoldBody: func(bytes int64) (func(), bool) {
					asked = bytes
					return func() {}, false
				},
			})
			Expect(answer.Reason).To(Equal(ibismessage.ReasonMemory))
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(answer.RetryAfter).To(BeNumerically(">", 0))
			Expect(asked).To(Equal(wants))
			Expect(body.Len()).To(Equal(100))
			Expect(p.sent).To(BeEmpty())
		},
		Entry("of known length", 60, int64(61)),
		Entry("that streams", 70_000, int64(4<<10)),
		Entry("of unknown length", -1, int64(2*(64<<10+1))),
	)

	It("gives back what it held of a body once the request has been answered", func() {
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }
		held := int64(0)
		answer := dispatcher.Serve(context.Background(), ibisdispatch.Request{
			ID: "r1", Method: http.MethodPost, URI: "/order/1", Path: "/order/1", Host: "mats.example",
			Arrived: clock.Now(), Length: 3, Body: strings.NewReader("abc"), CallerTimeout: 5 * time.Second,
			HoldBody: func(bytes int64) (func(), bool) {
				held += bytes
				return func() { held -= bytes }, true
			},
		})
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(held).To(BeZero())
	})

	It("refuses a body that is longer than allowed before reading it", func() {
		answer := dispatcher.Serve(context.Background(), ibisdispatch.Request{
			ID: "r1", Method: http.MethodPost, URI: "/order/1", Path: "/order/1", Host: "mats.example",
			Arrived: clock.Now(), Length: 2 << 20, Body: bytes.NewReader(nil),
		})
		Expect(answer.Reason).To(Equal(ibismessage.ReasonTooLong))
	})
})

var _ = Describe("A Splitter", func() {
	It("distributes requests by the exact weights over any run", func() {
		s := ibisroute.NewSplitter()
		r := &ibisroute.Route{Name: "r", Services: []ibisroute.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 7}, {Service: "c", Weight: 3}}}
		counts := make(map[ibisid.ServiceName]int)
		for i := range 1000 {
			counts[s.Next(1, r)]++
			if i >= 99 {
				Expect(float64(counts["a"])/float64(i+1)).To(BeNumerically("~", 0.9, 0.02), fmt.Sprint(i))
			}
		}
		Expect(counts).To(Equal(map[ibisid.ServiceName]int{"a": 900, "b": 70, "c": 30}))
	})
})
