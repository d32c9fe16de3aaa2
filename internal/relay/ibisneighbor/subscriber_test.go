package ibisneighbor_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisneighbor"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// endless reads as zeros without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// offers is a follower that keeps what it is offered.
type offers chan ibisstore.Snapshot

func (o offers) Position() (uint64, bool) { return 10, true }

func (o offers) Offer(_, version uint64, rows func() ([]ibisstore.Row, error)) error {
	read, err := rows()
	if len(read) > 0 {
		o <- ibisstore.Snapshot{
			Rows:    read,
			Version: version,
		}
	}
	return err
}

var _ = Describe("A subscriber", func() {
	// newSubscriber returns a subscriber to a server with the handler and to one of the publisher of the copy.
	newSubscriber := func(local *ibisneighbor.Copy, handler http.HandlerFunc) (*ibisneighbor.Subscriber, offers) {
		var peers []string
		for _, h := range []http.Handler{handler, ibisneighbor.NewPublisher(local, zap.NewNop()).Handler(handler)} {
			server := httptest.NewServer(h)
			DeferCleanup(server.CloseClientConnections)
			peers = append(peers, strings.TrimPrefix(server.URL, "http://"))
		}
		got := make(offers, 16)
		return ibisneighbor.NewSubscriber(table, got, func() []string { return peers }, zap.NewNop()), got
	}
	subscribe := func(local *ibisneighbor.Copy, handler http.HandlerFunc) offers {
		subscriber, got := newSubscriber(local, handler)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go subscriber.Run(ctx)
		return got
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

	It("is verified once one of two nodes has answered, and has then what that one has", func() {
		local := ibisneighbor.NewCopy()
		local.Apply(nil, true, 10)
		local.Apply([]ibisstore.Row{row("b", 12, false)}, false, 12)
		subscriber, got := newSubscriber(local, refuse)
		Expect(subscriber.Verify(context.Background())).To(BeTrue())
		Expect(got).To(Receive(HaveField("Version", BeEquivalentTo(12))))
	})

	It("is not verified by nodes that refuse or have read nothing, and needs no verification where there are none", func() {
		subscriber, _ := newSubscriber(ibisneighbor.NewCopy(), refuse)
		Expect(subscriber.Verify(context.Background())).To(BeFalse())
		alone := ibisneighbor.NewSubscriber(table, make(offers), func() []string { return nil }, zap.NewNop())
		Expect(alone.Verify(context.Background())).To(BeTrue())
	})

	DescribeTable("gets changes from one node while another",
		func(handler http.HandlerFunc) {
			local := ibisneighbor.NewCopy()
			local.Apply([]ibisstore.Row{row("a", 10, false)}, true, 10)
			got := subscribe(local, handler)
			time.Sleep(50 * time.Millisecond)
			local.Apply([]ibisstore.Row{row("a", 11, true), row("b", 12, false)}, false, 12)
			Eventually(got, "10s").Should(Receive(And(
				HaveField("Version", BeEquivalentTo(12)),
				HaveField("Rows", ConsistOf(HaveField("Removed", true), Equal(row("b", 12, false)))))))
		},
		Entry("refuses", http.HandlerFunc(refuse)),
		Entry("sends nothing", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
		Entry("sends what is no message", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "\x7fno message") }),
		Entry("sends a message without end", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "\xfc\x7f\xff\xff\xff")
			_, _ = io.Copy(w, endless{})
		}),
	)

	It("gets the whole table from nodes that lack changes which it needs", func() {
		local := ibisneighbor.NewCopy()
		local.Apply([]ibisstore.Row{row("c", 40, false)}, true, 50)
		got := subscribe(local, ibisneighbor.NewPublisher(local, zap.NewNop()).Handler(http.NotFoundHandler()).ServeHTTP)
		Eventually(got, "10s").Should(Receive(And(HaveField("Version", BeEquivalentTo(50)), HaveField("Rows", ConsistOf(row("c", 40, false))))))
	})
})
