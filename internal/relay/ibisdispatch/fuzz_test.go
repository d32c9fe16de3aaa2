package ibisdispatch_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

// FuzzRows checks that requests are answered whatever the rows of a member and of a page say.
func FuzzRows(f *testing.F) {
	member := []byte(`{"node":"b","address":"127.0.0.1:1","place":{"region":"north","domain":"d"},` +
		`"server":{"incarnation":{"id":"s","startedAt":1},"service":"desk","slots":2,"state":"serving"}}`)
	f.Add(member, ibisrange.Page{Ranges: []ibisrange.Range{{Span: ibisrange.Span{From: 0, To: ibisrange.Keys - 1}, Owner: ibisrange.Owner{Node: "b"}}}}.Encode())
	f.Add([]byte(`{"node":"b","address":"x","server":{"slots":-9}}`), []byte(`{"to":[65535]}`))
	f.Fuzz(func(t *testing.T, memberRow, pageRow []byte) {
		clock := ibistimer.NewFake(time.Unix(1_000_000, 0))
		p := &peers{answer: func(int, ibisid.NodeName) ibismessage.Answer { return done(200, "whole") }}
		dispatcher := ibisdispatch.New(ibisdispatch.Config{Node: "a"}, p, ibismeter.New(), nil, clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
		var routes []ibisroute.Route
		services := []ibisroute.Service{{Name: "desk"}, {Name: "floor", Sharded: true}}
		for _, s := range services {
			routes = append(routes, ibisroute.Route{
				Name: ibisid.ClassName(s.Name), Host: "h", Prefix: "/" + string(s.Name) + "/", Timeout: time.Second, MaxAttempts: 2,
				Services: []ibisroute.WeightedService{{Service: s.Name, Weight: 1}},
			})
		}
		dispatcher.SetConfig(ibisroute.New(1, ibisroute.Limits{}, services, routes))
		if m, err := ibisroster.DecodeMember(memberRow); err == nil {
			dispatcher.UpdateRoster(func(r *ibisroster.Roster) { r.Put(m, 1) })
		}
		if page, err := ibisrange.DecodePage(pageRow); err == nil {
			dispatcher.SetPage("floor", page, 1)
		}
		for _, path := range []string{"/desk/", "/floor/"} {
			answer := dispatcher.Serve(context.Background(), ibisdispatch.Request{
				Method: http.MethodGet, Path: path, URI: path, Host: "h", Key: 7, Arrived: clock.Now(),
			})
			if answer.Outcome != ibisid.OutcomeDone && answer.Outcome != ibisid.OutcomeNotRun {
				t.Errorf("%s: %+v", path, answer)
			}
		}
	})
}
