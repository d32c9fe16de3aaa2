package ibisdispatch_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

// crashingServers answers orders, and ends the server that gets one for a URI with "crash" in it.
type crashingServers struct {
	crashes int64
	served  int
}

func (s *crashingServers) Send(_ context.Context, m ibisroster.Member, order ibismessage.Order) ibismessage.Answer {
	if !strings.Contains(order.URI, "crash") {
		s.served++
		return done(200, "whole")
	}
	s.crashes++
	answer := ibismessage.Unknown(ibismessage.ReasonServerCrashed, nil)
	answer.Crashed = ibisroster.ServerIncarnation{ID: string(m.Node), StartedAt: s.crashes}
	return answer
}

var _ = Describe("A request that ends the backend servers that run it", func() {
	var (
		clock   *ibistimer.Fake
		servers *crashingServers
	)

	newDispatcher := func() *ibisdispatch.Dispatcher {
		d := ibisdispatch.New(ibisdispatch.Config{Node: "a"}, servers, ibismeter.New(), clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
		d.SetConfig(ibisroute.New(1, ibisroute.Limits{}, []ibisroute.Service{{Name: "desk"}}, []ibisroute.Route{{
			Name: "look", Host: "mats.example", Prefix: "/look/", Kind: ibisroute.KindIdempotent, Target: time.Second, Timeout: 5 * time.Second,
			MaxAttempts: 3, Services: []ibisroute.WeightedService{{Service: "desk", Weight: 1}},
		}}))
		d.UpdateRoster(func(r *ibisroster.Roster) {
			for i, node := range []ibisid.NodeName{"a", "b", "c", "d"} {
				r.Put(ibisroster.Member{Node: node, Address: "127.0.0.1:1", Server: ibisroster.Server{
					Incarnation: ibisroster.ServerIncarnation{ID: string(node), StartedAt: 1}, Service: "desk", Slots: 12, State: ibisroster.StateServing,
				}}, uint64(i+1))
			}
		})
		return d
	}

	serve := func(d *ibisdispatch.Dispatcher, path string) ibismessage.Answer {
		answer := d.Serve(context.Background(), ibisdispatch.Request{
			ID: "r", Method: http.MethodGet, URI: path, Path: path, Host: "mats.example", CallerTimeout: 5 * time.Second, Arrived: clock.Now(),
		})
		if answer.Body != nil {
			Expect(answer.Body.Close()).To(Succeed())
		}
		clock.Advance(500 * time.Millisecond)
		return answer
	}

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_000_000, 0))
		servers = &crashingServers{}
	})

	It("reaches no more servers once it has ended three, and others are served", func() {
		d := newDispatcher()
		for range 40 {
			serve(d, "/look/crash")
			serve(d, "/look/1")
		}
		Expect(servers.crashes).To(BeNumerically("<=", 3+3), "three, and three retries")
		Expect(servers.served).To(Equal(40))
	})
})
