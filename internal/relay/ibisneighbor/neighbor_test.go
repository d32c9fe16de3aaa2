package ibisneighbor_test

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisneighbor"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

func TestNeighbor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisneighbor")
}

const table = "ibis"

// countingStore counts the requests for changes that it receives and answers each immediately.
type countingStore struct {
	ibisstore.Store
	feeds atomic.Int32
}

func (s *countingStore) Feed(context.Context, string, uint64, time.Duration) (ibisstore.Snapshot, error) {
	s.feeds.Add(1)
	return ibisstore.Snapshot{Version: 100}, nil
}

func row(name string, version uint64, removed bool) ibisstore.Row {
	return ibisstore.Row{
		Key:     ibisstore.Key{Table: table, Partition: "members", Name: name},
		Value:   []byte("value of " + name),
		Version: version,
		Removed: removed,
	}
}

// node is a node with its copy and its store.
type node struct {
	store     *countingStore
	copy      *ibisneighbor.Copy
	feedStore *ibisneighbor.Store
	address   string
	neighbor  string
}

func (n *node) feed(after uint64) (ibisstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return n.feedStore.Feed(ctx, table, after, time.Second)
}

var _ = Describe("Nodes of one failure domain", func() {
	newNode := func() *node {
		n := &node{store: &countingStore{}, copy: ibisneighbor.NewCopy()}
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		server := httptest.NewServer(ibisneighbor.Handler(n.copy, next, zap.NewNop()))
		DeferCleanup(server.CloseClientConnections)
		n.address = strings.TrimPrefix(server.URL, "http://")
		n.feedStore = ibisneighbor.New(n.store, n.copy, table, func() (string, bool) { return n.neighbor, n.neighbor != "" },
			ibistimer.New(), zap.NewNop())
		return n
	}

	// newDirectNode returns a node that has read changes from the store, with a copy that is complete since version 10.
	newDirectNode := func() *node {
		n := newNode()
		n.copy.Apply([]ibisstore.Row{row("a", 8, false)}, true, 10)
		_, err := n.feed(10)
		Expect(err).NotTo(HaveOccurred())
		return n
	}

	It("receive changes and removals from the one that reads from the store", func() {
		first, second := newDirectNode(), newNode()
		second.neighbor = first.address
		first.copy.Apply([]ibisstore.Row{row("b", 12, false), row("a", 13, true)}, false, 13)
		changes, err := second.feed(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Version).To(BeEquivalentTo(13))
		Expect(changes.Batched).To(BeTrue())
		Expect(changes.Rows).To(HaveLen(2))
		Expect(changes.Rows[0]).To(Equal(row("b", 12, false)))
		Expect(changes.Rows[1].Removed).To(BeTrue())
		Expect(second.store.feeds.Load()).To(BeZero())
	})

	It("receive a change while they wait for it", func() {
		first, second := newDirectNode(), newNode()
		second.neighbor = first.address
		time.AfterFunc(50*time.Millisecond, func() { first.copy.Apply([]ibisstore.Row{row("b", 12, false)}, false, 12) })
		changes, err := second.feed(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Rows).To(Equal([]ibisstore.Row{row("b", 12, false)}))
	})

	It("read from the store when the answer of the neighbor is broken", func() {
		broken := map[string]string{"half an answer": "HTTP/1.1 200 OK\r\n\r\n{\"version\":13,"}
		for name, head := range ibistcp.MalformedHeads() {
			broken[name] = head + "Content-Length: 14\r\n\r\n{\"version\":13}"
		}
		for name, answer := range broken {
			server, err := ibistcp.Start(func(int, int, *http.Request) (string, bool) { return answer, true })
			Expect(err).NotTo(HaveOccurred())
			n := newNode()
			n.neighbor = server.Address()
			changes, err := n.feed(10)
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(changes.Version).To(BeEquivalentTo(100), name)
			Expect(ibisneighbor.NewSubscriber(table, make(offers, 1), func() []string { return []string{n.neighbor} }, zap.NewNop()).
				Verify(context.Background())).To(BeFalse(), name)
			server.Close()
		}
	})

	DescribeTable("read from the store when the neighbor",
		func(disturb func(first *node)) {
			first, second := newDirectNode(), newNode()
			second.neighbor = first.address
			disturb(first)
			changes, err := second.feed(10)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes.Version).To(BeEquivalentTo(100))
			Expect(second.store.feeds.Load()).To(BeEquivalentTo(1))
			_, err = second.feed(10)
			Expect(err).NotTo(HaveOccurred())
			Expect(second.store.feeds.Load()).To(BeEquivalentTo(2), "the neighbor is not asked again during avoidTime")
		},
		Entry("has lost the store", func(first *node) { first.copy.SetReachable(false) }),
		Entry("loses the store during the request", func(first *node) {
			time.AfterFunc(50*time.Millisecond, func() { first.copy.SetReachable(false) })
		}),
		Entry("stops during the request", func(first *node) {
			time.AfterFunc(50*time.Millisecond, func() {
				first.copy.Close()
				first.copy.Apply(nil, false, 11)
			})
		}),
		Entry("lacks the changes since the requested version", func(first *node) { first.copy.Apply(nil, true, 20) }),
		Entry("itself reads from a neighbor, which may be the node that asks", func(first *node) {
			first.neighbor = newDirectNode().address
			go func() { _, _ = first.feed(10) }()
			Eventually(func() bool {
				_, _, complete := first.copy.ChangesAfter(10)
				return complete
			}).Should(BeFalse())
		}),
	)

	DescribeTable("read from the store when the neighbor sends bytes without end",
		func(answer http.HandlerFunc) {
			server := httptest.NewServer(answer)
			DeferCleanup(server.Close)
			second := newNode()
			second.neighbor = strings.TrimPrefix(server.URL, "http://")
			changes, err := second.feed(10)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes.Version).To(BeEquivalentTo(100))
		},
		Entry("in the head", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Long", strings.Repeat("a", 1<<20))
			_, _ = io.WriteString(w, `{"version":11}`)
		}),
		Entry("in the body", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"version":`+strings.Repeat(" ", 32<<20)+`11}`)
		}),
		Entry("in the compressed body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			compressed := gzip.NewWriter(w)
			_, _ = io.WriteString(compressed, `{"version":`+strings.Repeat(" ", 32<<20)+`11}`)
			_ = compressed.Close()
		}),
	)

	// Guards against a member whose later rows all count as older than an odd one.
	DescribeTable("read from the store when the neighbor lists, beside a sound row,",
		func(entry string) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"version":12,"rows":[{"part":"members","name":"b","value":"Yg==","version":12},`+entry+`]}`)
			}))
			DeferCleanup(server.Close)
			n := newNode()
			n.neighbor = strings.TrimPrefix(server.URL, "http://")
			changes, err := n.feed(10)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes.Version).To(BeEquivalentTo(100))
			Expect(n.store.feeds.Load()).To(BeEquivalentTo(1))
		},
		Entry("null", `null`),
		Entry("a text", `"odd"`),
		Entry("a row without a name", `{"part":"members","version":11}`),
		Entry("a list as a name", `{"part":"members","name":["odd"],"version":11}`),
		Entry("a version of a later era", `{"part":"members","name":"a","version":9223372036854775808}`),
		Entry("a version too large", `{"part":"members","name":"a","version":1e30}`),
		Entry("a version below zero", `{"part":"members","name":"a","version":-1}`),
		Entry("a value that is no base64", `{"part":"members","name":"a","value":"~","version":11}`),
		Entry("nested lists", strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
	)

	It("read from the store when the neighbor is unreachable", func() {
		second := newNode()
		second.neighbor = "127.0.0.1:1"
		_, err := second.feed(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.store.feeds.Load()).To(BeEquivalentTo(1))
	})

	It("never wait for changes from each other", func() {
		a, b := newNode(), newNode()
		a.copy.Apply(nil, true, 10)
		b.copy.Apply(nil, true, 10)
		a.neighbor, b.neighbor = b.address, a.address
		done := make(chan error, 2)
		for _, n := range []*node{a, b} {
			go func() {
				_, err := n.feed(10)
				done <- err
			}()
		}
		Expect(<-done).To(Succeed())
		Expect(<-done).To(Succeed())
		Expect(a.store.feeds.Load() + b.store.feeds.Load()).To(BeNumerically(">=", 1))
	})

	It("pass on all requests that aren't for changes", func() {
		response, err := http.Get("http://" + newNode().address + "/order")
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusTeapot))
	})

	It("keep a bounded number of removed rows, and beyond it make neighbors read from the store", func() {
		first, second := newDirectNode(), newNode()
		second.neighbor = first.address
		for v := range uint64(600) {
			first.copy.Apply([]ibisstore.Row{row("r"+string(rune('a'+v%26))+string(rune('a'+v/26)), 20+v, true)}, false, 20+v)
		}
		_, err := second.feed(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.store.feeds.Load()).To(BeEquivalentTo(1))
	})
})
