package ibisdispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var (
	changingNodes    = []ibisid.NodeName{"a", "b", "c", "d"}
	changingServices = []ibisid.ServiceName{"desk", "floor", "print"}
	changingRegions  = []ibisid.RegionName{"north", "south"}
	changingHosts    = []string{"one.example", "two.example"}
)

// changingPeer answers orders at random, and changes what the dispatcher knows before it answers.
type changingPeer struct {
	t          *rapid.T
	clock      *ibistimer.Fake
	dispatcher *ibisdispatch.Dispatcher
	version    uint64
	// mayHaveRun means that the request of the present step may have run.
	mayHaveRun bool
	members    map[ibisid.NodeName]ibisroster.Member
}

func (p *changingPeer) Send(_ context.Context, m ibisroster.Member, _ ibismessage.Order) ibismessage.Answer {
	if known, ok := p.members[m.Node]; !ok || known != m {
		p.t.Fatalf("order sent to %+v, which is no member", m)
	}
	for range rapid.IntRange(0, 2).Draw(p.t, "changes") {
		p.change()
	}
	p.clock.Advance(time.Duration(rapid.IntRange(0, 700).Draw(p.t, "ms")) * time.Millisecond)
	answer := done(rapid.SampledFrom([]int{200, 204, 500, 503}).Draw(p.t, "status"), "whole")
	switch rapid.SampledFrom([]string{"done", "long", "noLength", "broken", "notRun", "rejected", "owner", "full", "unknown", "odd"}).Draw(p.t, "answer") {
	case "long":
		answer.Length = 20_000
		answer.Body = io.NopCloser(bytes.NewReader(make([]byte, 20_000)))
	case "noLength":
		answer.Length = -1
	case "broken":
		p.mayHaveRun = true
		answer.Body = brokenBody{Reader: bytes.NewReader([]byte("who"))}
	case "notRun":
		return ibismessage.NotRun(ibismessage.ReasonUnreachable, 0, nil)
	case "rejected":
		return arrivedNotRun()
	case "owner":
		answer = ibismessage.NotRun(ibismessage.ReasonKeyElsewhere, 0, nil)
		answer.Owner = rapid.SampledFrom(append(changingNodes, "gone")).Draw(p.t, "owner")
	case "full":
		return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonTarget), time.Second, nil)
	case "unknown":
		p.mayHaveRun = true
		return ibismessage.Unknown(ibismessage.ReasonConnectionFailed, nil)
	case "odd":
		p.mayHaveRun = true
		return ibismessage.Answer{Outcome: "odd", RetryAfter: -time.Hour}
	}
	return answer
}

// change changes one thing that the dispatcher knows.
func (p *changingPeer) change() {
	p.version++
	node := rapid.SampledFrom(changingNodes).Draw(p.t, "node")
	switch rapid.SampledFrom([]string{"config", "config", "put", "put", "remove", "page", "out", "unreachable"}).Draw(p.t, "change") {
	case "config":
		p.dispatcher.SetConfig(p.config())
	case "put":
		m := ibisroster.Member{
			Node: node, Address: "127.0.0.1:1",
			Place: ibisid.Place{Region: rapid.SampledFrom(changingRegions).Draw(p.t, "region"), Domain: ibisid.DomainName("d-" + node)},
			Server: ibisroster.Server{
				Incarnation: ibisroster.ServerIncarnation{ID: "s", StartedAt: int64(p.version)},
				Service:     rapid.SampledFrom(changingServices).Draw(p.t, "service"), Slots: 2, State: ibisroster.StateServing,
			},
		}
		p.dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Put(m, p.version) })
		p.members[node] = m
	case "remove":
		p.dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Remove(node, p.version) })
		delete(p.members, node)
	case "page":
		p.dispatcher.SetPage(rapid.SampledFrom(changingServices).Draw(p.t, "service"), ibisrange.Page{Ranges: []ibisrange.Range{
			{Span: ibisrange.Span{From: 0, To: rapid.IntRange(0, ibisrange.Keys-1).Draw(p.t, "to")}, Owner: ibisrange.Owner{Node: node}},
		}}, p.version)
	case "out":
		p.dispatcher.SetOutDomains(ibisset.Of(ibisid.DomainName("d-" + node)))
	case "unreachable":
		p.dispatcher.SetUnreachable(node, rapid.Bool().Draw(p.t, "unreachable"))
	}
}

func (p *changingPeer) config() *ibisroute.Config {
	var services []ibisroute.Service
	for _, name := range changingServices {
		if rapid.Bool().Draw(p.t, "exists") {
			services = append(services, ibisroute.Service{Name: name, Sharded: rapid.Bool().Draw(p.t, "sharded")})
		}
	}
	var routes []ibisroute.Route
	for range rapid.IntRange(0, 4).Draw(p.t, "routes") {
		r := ibisroute.Route{
			Name: rapid.SampledFrom([]ibisid.ClassName{"r1", "r2"}).Draw(p.t, "name"), Host: rapid.SampledFrom(changingHosts).Draw(p.t, "host"),
			Prefix: rapid.SampledFrom([]string{"/", "/a/"}).Draw(p.t, "prefix"), Target: time.Second, Timeout: 2 * time.Second,
			Kind:        rapid.SampledFrom([]ibisroute.Kind{ibisroute.KindIdempotent, ibisroute.KindNonIdempotent}).Draw(p.t, "kind"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(p.t, "attempts"),
			Homes:       rapid.SliceOfN(rapid.SampledFrom(changingRegions), 0, 1).Draw(p.t, "homes"),
		}
		for range rapid.IntRange(1, 3).Draw(p.t, "split") {
			r.Services = append(r.Services, ibisroute.WeightedService{
				Service: rapid.SampledFrom(changingServices).Draw(p.t, "service"), Weight: rapid.IntRange(0, 3).Draw(p.t, "weight"),
			})
		}
		routes = append(routes, r)
	}
	return ibisroute.New(ibisroute.Version(p.version), ibisroute.Limits{}, services, routes)
}

func TestEveryRequestIsAnsweredWhateverChangesMeanwhile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := ibistimer.NewFake(time.Unix(1_000_000, 0))
		p := &changingPeer{t: t, clock: clock, members: make(map[ibisid.NodeName]ibisroster.Member)}
		p.dispatcher = ibisdispatch.New(ibisdispatch.Config{Node: "a", Place: ibisid.Place{Region: "north", Domain: "d-a"}}, p,
			ibismeter.New(), nil, clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
		for range rapid.IntRange(0, 12).Draw(t, "first changes") {
			p.change()
		}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			p.mayHaveRun = false
			answer := p.dispatcher.Serve(context.Background(), ibisdispatch.Request{
				ID: fmt.Sprint(step), Method: http.MethodGet, URI: "/a/1", Path: "/a/1", Host: rapid.SampledFrom(changingHosts).Draw(t, "host"),
				Key: rapid.IntRange(ibismessage.NoKey, ibisrange.Keys-1).Draw(t, "key"), Arrived: clock.Now(),
			})
			switch {
			case answer.Outcome == ibisid.OutcomeDone:
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					t.Fatalf("short answer that breaks off: %v", err)
				}
				_ = answer.Body.Close()
			case answer.Outcome == ibisid.OutcomeNotRun && p.mayHaveRun:
				t.Fatalf("answered as not run: %+v", answer)
			}
			p.change()
		}
	})
}
