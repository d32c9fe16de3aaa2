package ibismember_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

var _ = Describe("Forwarder", func() {
	It("keeps its connection limit, closes idle connections of the least recently used nodes, and else fails with ErrPeerConnectionsExhausted", func() {
		const limit = 5
		var open atomic.Int64
		var peers []string
		for range 12 {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				open.Add(map[http.ConnState]int64{http.StateNew: 1, http.StateClosed: -1}[state])
			}
			server.Start()
			DeferCleanup(server.Close)
			peers = append(peers, server.Listener.Addr().String())
		}
		forwarder := ibismember.NewForwarder(nil, ibistimer.New(), limit)
		DeferCleanup(forwarder.Close)
		send := func(peer string) ibisbackend.Result {
			return forwarder.Send(context.Background(), peer, ibisbackend.Request{Method: http.MethodGet, URI: "/"})
		}
		for range 3 {
			for _, peer := range peers {
				result := send(peer)
				Expect(result.Err).NotTo(HaveOccurred())
				_, _ = io.Copy(io.Discard, result.Answer.Body())
				Expect(result.Answer.Body().Close()).To(Succeed())
				Expect(forwarder.Connections()).To(BeNumerically("<=", limit))
			}
		}
		Eventually(open.Load).Should(BeNumerically("<=", limit))
		var held []ibisbackend.Result
		for _, peer := range peers[:limit] {
			held = append(held, send(peer))
		}
		refused := send(peers[limit])
		Expect(refused.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(refused.Err).To(MatchError(ibismember.ErrPeerConnectionsExhausted))
		Expect(held[0].Answer.Body().Close()).To(Succeed())
		last := send(peers[limit])
		Expect(last.Err).NotTo(HaveOccurred())
		for _, result := range append(held, last) {
			_ = result.Answer.Body().Close()
		}
	})
})
