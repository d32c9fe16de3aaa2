package ibisrequestrouter_test

import (
	"context"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

var _ = Describe("The typical latency of a class", func() {
	// lookUp waits until the gates have recorded the answer, which may follow its last byte.
	lookUp := func(n *node) reply {
		r := ask(context.Background(), n, http.MethodGet, "/mat/MAT-1", nil)
		Expect(r.code()).To(Equal("200"))
		for _, other := range n.fleet.nodes {
			Eventually(func() int { return other.gate.Stats().Running }).Should(BeZero())
		}
		return r
	}

	It("is reported to the gates of other nodes with answers and forwarded requests, and to nobody else", func() {
		var leaks atomic.Int64
		start := func() (f *fleet, owner, entry *node) {
			f = newFleet(keyed, 2)
			f.answer(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(ibisbackend.HeaderTypical) != "" {
					leaks.Add(1)
				}
				w.Header().Set(ibisbackend.HeaderTypical, "n9 1ms 1ms 0.00 99")
			})
			return f, f.nodes[0], f.nodes[1]
		}
		f, owner, entry := start()
		lookUp(owner)
		for range 2 {
			Expect(lookUp(entry).header).NotTo(HaveKey(ibisbackend.HeaderTypical))
		}
		Expect(entry.tellers()).To(ConsistOf(owner.peer.Member.Name, owner.peer.Member.Name))
		Expect(owner.tellers()).To(BeEmpty(), "the entry node's gate has seen no answer")

		// In a fleet of its own: a first answer that is slow by what other gates reported is reported later.
		f, owner, entry = start()
		f.owner.Store(entry)
		lookUp(entry)
		f.owner.Store(owner)
		lookUp(entry)
		Expect(owner.tellers()).To(ConsistOf(entry.peer.Member.Name))
		Expect(leaks.Load()).To(BeZero())
	})

	It("is not needed: nodes that report nothing, or nothing that can be read, are served as before", func() {
		f := newFleet(keyed, 2)
		for _, reported := range []string{"", "n1", "n1 1ms 1ms 0.5 -1"} {
			change := func(peerHandler http.Handler, w http.ResponseWriter, r *http.Request) {
				r.Header.Set(ibisbackend.HeaderTypical, reported)
				peerHandler.ServeHTTP(w, r)
			}
			f.nodes[0].onPeer.Store(&change)
			lookUp(f.nodes[1])
		}
		Expect(f.nodes[0].tellers()).To(BeEmpty())
	})

	It("is not reported to the gate of another service, which may have classes of the same name", func() {
		f := newFleet(keyed, 1)
		other := f.start(unkeyed, 1)
		f.nodes = append(f.nodes, other)
		lookUp(other)
		lookUp(other)
		Expect(other.tellers()).To(BeEmpty())
	})
})
