package ibisgate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

// TestRateLimit guards against a gate that sends a backend server more than the rate that its answers name.
func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	named, arrived := "2", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived++
		w.Header().Set(ibisbackend.HeaderRateLimit, named)
	}))
	t.Cleanup(server.Close)
	timer := ibistimer.NewFake(time.Unix(1_800_000_000, 0))
	gate := ibisgate.New(timer)
	announcement := ibisbackend.Announcement{Service: "desk", Address: server.Listener.Addr().String(), Slots: 10, Connections: 20, Weight: 1, State: ibisbackend.StateServing, Run: "r1"}
	send := func() ibisid.Outcome {
		g.Expect(gate.Announce(announcement)).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		result := gate.Send(ctx, ibisgate.RequestInfo{Class: "look", Deadline: timer.Now().Add(time.Millisecond)}, ibisbackend.Request{
			Method: http.MethodGet, URI: "/", Host: "mats.example", Deadline: timer.Now().Add(time.Minute),
		})
		if result.Answer != nil {
			g.Expect(result.Answer.Body().Close()).To(Succeed())
		}
		return result.Outcome
	}
	g.Expect(send()).To(Equal(ibisid.OutcomeDone))
	for range 100 {
		send()
		timer.Advance(40 * time.Millisecond)
	}
	g.Expect(arrived).To(BeNumerically("<=", 1.5*2*4+5))
	g.Expect(arrived).To(BeNumerically(">=", 6), "the limit is used")
	for _, named = range []string{"few", ""} {
		timer.Advance(time.Second)
		g.Expect(send()).To(Equal(ibisid.OutcomeDone))
	}
	g.Expect(send()).To(Equal(ibisid.OutcomeDone), "the last answer names no limit")
	g.Expect(send()).To(Equal(ibisid.OutcomeDone))
}
