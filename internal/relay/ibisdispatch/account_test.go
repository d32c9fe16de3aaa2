package ibisdispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

// scriptedQuota has a token unless refusal is set, and counts tokens that were taken and not returned.
type scriptedQuota struct {
	taken   int
	refusal *ibisdispatch.Refusal
}

func (q *scriptedQuota) Take(context.Context, *ibisroute.Account) (func(), ibisdispatch.Refusal, bool) {
	if q.refusal != nil {
		return nil, *q.refusal, false
	}
	q.taken++
	return func() { q.taken-- }, ibisdispatch.Refusal{}, true
}

var _ = Describe("A Dispatcher with accounts", func() {
	var (
		p          *peers
		dispatcher *ibisdispatch.Dispatcher
		logs       *observer.ObservedLogs
	)

	entry := func(name string, priority int, key string, homes ...ibisid.RegionName) ibisroute.AccountEntry {
		return ibisroute.AccountEntry{
			Account: ibisroute.Account{Name: ibisid.TenantName(name), Priority: priority, Rate: 5, Homes: homes},
			Keys:    []ibisroute.KeyHash{ibisroute.HashKey(key)},
		}
	}
	config := func(version ibisroute.Version, entries ...ibisroute.AccountEntry) *ibisroute.Config {
		var routes []ibisroute.Route
		for _, name := range []ibisid.ClassName{"look", "free", "west"} {
			r := ibisroute.Route{
				Name: name, Host: "mats.example", Prefix: "/" + string(name) + "/", Kind: ibisroute.KindIdempotent, Priority: 4,
				Target: time.Second, Timeout: 2 * time.Second, MaxAttempts: 3, AuthExempt: name == "free",
				Services: []ibisroute.WeightedService{{Service: "desk", Weight: 1}},
			}
			if name == "west" {
				r.Homes = []ibisid.RegionName{"western", "southern"}
			}
			routes = append(routes, r)
		}
		c := ibisroute.New(version, ibisroute.Limits{}, []ibisroute.Service{{Name: "desk"}}, routes)
		if entries == nil {
			return c
		}
		return c.WithAccounts(ibisroute.NewAccounts(entries))
	}
	request := func(route, key string) ibisdispatch.Request {
		r := ibisdispatch.Request{
			ID: "r1", Method: http.MethodGet, URI: "/" + route + "/1", Path: "/" + route + "/1", Host: "mats.example",
			Header: http.Header{"Accept": {"*/*"}}, AccountHeader: http.Header{"Tenant": {"forged"}}, APIKey: key,
			Arrived: time.Unix(1_000_000, 0),
		}
		if key != "" {
			r.AccountHeader["Authorization"] = []string{"Bearer " + key}
		}
		return r
	}
	serve := func(route, key string) ibismessage.Answer {
		return dispatcher.Serve(context.Background(), request(route, key))
	}

	BeforeEach(func() {
		p = &peers{answer: func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }}
		var core zapcore.Core
		core, logs = observer.New(zap.DebugLevel)
		dispatcher = ibisdispatch.New(ibisdispatch.Config{Node: "a", Place: ibisid.Place{Region: "central", Domain: "kandy-a"}},
			p, ibismeter.New(), nil, ibistimer.NewFake(time.Unix(1_000_000, 0)), rand.New(rand.NewPCG(1, 2)), zap.New(core))
		dispatcher.UpdateRoster(func(r *ibisroster.Roster) {
			for i, place := range []ibisid.Place{
				{Region: "central", Domain: "kandy-a"}, {Region: "western", Domain: "colombo-a"}, {Region: "southern", Domain: "galle-a"},
			} {
				node := ibisid.NodeName(place.Region[:1])
				r.Put(ibisroster.Member{Node: node, Place: place, Address: "127.0.0.1:1", Server: ibisroster.Server{
					Incarnation: ibisroster.ServerIncarnation{ID: "s-" + string(node), StartedAt: 1},
					Service:     "desk", Slots: 12, State: ibisroster.StateServing,
				}}, uint64(i+1))
			}
		})
	})

	accounts := func(version ibisroute.Version) *ibisroute.Config {
		return config(version, entry("kandy", 1, "k-1"), entry("galle", ibisroute.PriorityOfRoute, "k-2"),
			entry("matara", 2, "k-shared"), entry("jaffna", 2, "k-shared"))
	}

	// Guards against a request that runs without a key, runs for a forged account, or takes its key to another node.
	DescribeTable("authenticates requests", func(route, key string, reason ibismessage.Reason, tenant ibisid.TenantName, priority int) {
		Expect(dispatcher.SetConfig(accounts(1))).To(BeTrue())
		answer := serve(route, key)
		Expect(answer.Reason).To(Equal(reason))
		for _, line := range logs.All() {
			Expect(fmt.Sprint(line.ContextMap())).NotTo(ContainSubstring("k-"), "a key is in the logs")
		}
		if reason != "" {
			Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
			Expect(p.orders).To(BeEmpty())
			Expect(logs.FilterMessage("request refused").FilterField(zap.String("reason", string(reason))).Len()).To(Equal(1))
			return
		}
		Expect(p.orders).To(ConsistOf(And(HaveField("Tenant", tenant), HaveField("Priority", priority), WithTransform(func(o ibismessage.Order) bool { return o.KeyDigest != 0 }, Equal(route == "look")),
			HaveField("Header", Equal(http.Header{"Accept": {"*/*"}})))))
	},
		Entry("known key", "look", "k-1", ibismessage.Reason(""), ibisid.TenantName("kandy"), 1),
		Entry("account without a priority", "look", "k-2", ibismessage.Reason(""), ibisid.TenantName("galle"), 4),
		Entry("no key", "look", "", ibismessage.ReasonUnauthorized, ibisid.TenantName(""), 0),
		Entry("unknown key", "look", "k-3", ibismessage.ReasonUnauthorized, ibisid.TenantName(""), 0),
		Entry("key of two accounts", "look", "k-shared", ibismessage.ReasonFaultyAccount, ibisid.TenantName(""), 0),
		Entry("exempt, no key", "free", "", ibismessage.Reason(""), ibisid.TenantName(""), 4),
		Entry("exempt, known key", "free", "k-1", ibismessage.Reason(""), ibisid.TenantName("kandy"), 1),
		Entry("exempt, unknown key", "free", "k-3", ibismessage.Reason(""), ibisid.TenantName(""), 4),
		Entry("exempt, key of two accounts", "free", "k-shared", ibismessage.Reason(""), ibisid.TenantName(""), 4),
	)

	It("passes the headers of accounts unchanged under a configuration without accounts", func() {
		dispatcher.SetConfig(config(1))
		Expect(serve("look", "k-1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(p.orders[0].Header).To(Equal(http.Header{"Accept": {"*/*"}, "Tenant": {"forged"}, "Authorization": {"Bearer k-1"}}))
		Expect(p.orders[0].Tenant).To(BeEmpty())
	})

	DescribeTable("refuses a key for good only if other nodes have no newer configuration",
		func(verify func() bool, reason ibismessage.Reason) {
			dispatcher.SetConfig(config(1, entry("kandy", 1, "k-old")))
			dispatcher.SetConfigVerifier(verifyFunc(verify))
			Expect(serve("look", "k-1").Reason).To(Equal(reason))
		},
		Entry("they have none", func() bool { return true }, ibismessage.ReasonUnauthorized),
		Entry("they don't answer", func() bool { return false }, ibismessage.ReasonConfigUnverified),
		Entry("they have one with the key", func() bool { return dispatcher.SetConfig(accounts(2)) }, ibismessage.Reason("")),
	)

	It("never takes a key as unknown before it has a configuration", func() {
		Expect(serve("look", "k-1").Reason).To(Equal(ibismessage.ReasonNoConfig))
	})

	// Guards against a revoked key that still runs, and against an answer 401 to a request that may have run.
	DescribeTable("checks the key again before each attempt", func(first, next *ibisroute.Config, firstTry, reason ibismessage.Reason) {
		dispatcher.SetConfig(first)
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			if n > 0 {
				return done(200, "whole")
			}
			dispatcher.SetConfig(next)
			if firstTry == ibismessage.ReasonConnectionFailed {
				return ibismessage.Unknown(firstTry, nil)
			}
			return ibismessage.NotRun(firstTry, 0, nil)
		}
		Expect(serve("look", "k-1").Reason).To(Equal(reason))
		if reason != "" {
			Expect(p.orders).To(HaveLen(1))
			return
		}
		Expect(p.orders).To(HaveLen(2))
		Expect(p.orders[1].Priority).To(Equal(3))
		Expect(p.orders[1].Header).To(HaveLen(1))
	},
		Entry("kept", accounts(1), config(2, entry("kandy", 3, "k-1")), ibismessage.ReasonUnreachable, ibismessage.Reason("")),
		Entry("removed", accounts(1), config(2, entry("kandy", 1, "k-9")), ibismessage.ReasonUnreachable, ibismessage.ReasonUnauthorized),
		Entry("removed, may have run", accounts(1), config(2, entry("kandy", 1, "k-9")), ibismessage.ReasonConnectionFailed, ibismessage.ReasonConnectionFailed),
		Entry("moved", accounts(1), config(2, entry("galle", 1, "k-1")), ibismessage.ReasonUnreachable, ibismessage.ReasonAccountChanged),
		Entry("accounts added", config(1), config(2, entry("kandy", 1, "k-1")), ibismessage.ReasonUnreachable, ibismessage.ReasonAccountChanged),
		Entry("accounts added, key unknown", config(1), config(2, entry("kandy", 1, "k-9")), ibismessage.ReasonUnreachable, ibismessage.ReasonUnauthorized),
	)

	It("takes the key off a request that was accepted without accounts before it is sent again", func() {
		dispatcher.SetConfig(config(1))
		p.answer = func(n int, _ ibisid.NodeName) ibismessage.Answer {
			if n > 0 {
				return done(200, "whole")
			}
			dispatcher.SetConfig(config(2, entry("kandy", 1, "k-9")))
			return ibismessage.NotRun(ibismessage.ReasonUnreachable, 0, nil)
		}
		Expect(serve("free", "k-1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(p.orders[0].Header).To(HaveKey("Authorization"))
		Expect(p.orders[1].Header).To(Equal(http.Header{"Accept": {"*/*"}}))
	})

	DescribeTable("runs requests in regions that are homes of both the account and the route",
		func(route string, homes []ibisid.RegionName, nodes ...ibisid.NodeName) {
			dispatcher.SetConfig(config(1, entry("kandy", 1, "k-1", homes...)))
			p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
				return ibismessage.NotRun(ibismessage.ReasonUnreachable, 0, nil)
			}
			answer := serve(route, "k-1")
			Expect(p.sent).To(ConsistOf(nodes))
			if len(nodes) == 0 {
				Expect(answer).To(And(HaveField("Reason", ibismessage.ReasonNoServer), HaveField("Outcome", ibisid.OutcomeNotRun)))
				Expect(logs.FilterMessage("request refused").FilterField(zap.String("account", "kandy")).Len()).To(Equal(1))
			}
		},
		Entry("neither has any", "look", nil, ibisid.NodeName("c"), ibisid.NodeName("w"), ibisid.NodeName("s")),
		Entry("the account's", "look", []ibisid.RegionName{"western"}, ibisid.NodeName("w")),
		Entry("both", "west", []ibisid.RegionName{"central", "southern"}, ibisid.NodeName("s")),
		Entry("none in common", "west", []ibisid.RegionName{"central"}),
	)

	It("takes a token before the request runs, and returns it if the request was not run", func() {
		quota := &scriptedQuota{}
		dispatcher.SetConfig(accounts(1))
		dispatcher.SetQuota(quota)
		Expect(serve("look", "k-1").Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(quota.taken).To(Equal(1))
		p.answer = func(int, ibisid.NodeName) ibismessage.Answer {
			return ibismessage.NotRun(ibismessage.ReasonBusy, 0, nil)
		}
		serve("look", "k-1")
		Expect(quota.taken).To(Equal(1))
		sent := len(p.sent)
		quota.refusal = &ibisdispatch.Refusal{Limit: true, RetryAfter: 300 * time.Millisecond, Lent: 2, LentAge: time.Second}
		Expect(serve("look", "k-1")).To(And(HaveField("Reason", ibismessage.ReasonQuota), HaveField("RetryAfter", 300*time.Millisecond)))
		quota.refusal = &ibisdispatch.Refusal{}
		Expect(serve("look", "k-1")).To(And(HaveField("Reason", ibismessage.ReasonQuotaUnknown), HaveField("RetryAfter", BeNumerically(">", 0))))
		Expect(p.sent).To(HaveLen(sent))
		Expect(logs.FilterMessage("request refused").FilterField(zap.Float64("lent", 2)).FilterField(zap.String("account", "kandy")).Len()).To(Equal(1))
	})

	It("limits the log lines about refused requests", func() {
		dispatcher.SetConfig(accounts(1))
		for range 500 {
			serve("look", strings.Repeat("x", 20))
		}
		Expect(logs.FilterMessage("request refused").Len()).To(BeNumerically("<=", 20))
	})
})
