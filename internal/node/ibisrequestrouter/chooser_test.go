package ibisrequestrouter_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var _ = Describe("A router on a node without a backend server", func() {
	DescribeTable("sends requests to another region according to the load that the gates of its own region report",
		func(load string, leaves bool) {
			f := newFleet(unkeyed, 3)
			f.nodes[0].peer.Service = ""
			f.nodes[2].peer.Place = ibisid.Place{Region: "r2", Domain: "d2"}
			loaded := func(peerHandler http.Handler, w http.ResponseWriter, r *http.Request) {
				answer := httptest.NewRecorder()
				peerHandler.ServeHTTP(answer, r)
				maps.Copy(w.Header(), answer.Header())
				w.Header().Set("Ibis-Load", load)
				w.WriteHeader(answer.Code)
				_, _ = w.Write(answer.Body.Bytes())
			}
			f.nodes[1].onPeer.Store(&loaded)
			for range 20 {
				Expect(ask(context.Background(), f.nodes[0], "GET", "/ask", nil).code()).To(Equal("200"))
			}
			Expect(f.nodes[1].total).To(BeNumerically(">", 0))
			Expect(f.nodes[2].total > 0).To(Equal(leaves))
		},
		Entry("full, with a short queue", "1.4", false),
		Entry("with a long queue", "1.6", true),
	)
})
