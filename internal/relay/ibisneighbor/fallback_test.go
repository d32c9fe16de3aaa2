package ibisneighbor_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisneighbor"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

var errBusy = errors.New("the store answers 429")

// fakeStore gives one node's calls fixed results and records its commits.
type fakeStore struct {
	ibisstore.Store
	result  ibisstore.Result
	rows    ibisstore.Snapshot
	err     error
	commits []ibisstore.Commit
}

func (s *fakeStore) Commit(_ context.Context, commit ibisstore.Commit) ibisstore.Result {
	s.commits = append(s.commits, commit)
	return s.result
}

func (s *fakeStore) Rows(context.Context, string, string) (ibisstore.Snapshot, error) {
	return s.rows, s.err
}

func (s *fakeStore) Feed(context.Context, string, uint64, time.Duration) (ibisstore.Snapshot, error) {
	return ibisstore.Snapshot{}, s.err
}

// newRefusingStore returns a store that refuses all of a node's calls.
func newRefusingStore() *fakeStore {
	return &fakeStore{
		result: ibisstore.Result{
			Outcome: ibisstore.OutcomeRefused,
			Err:     errBusy,
		},
		err: errBusy,
	}
}

var _ = Describe("A node whose calls the store refuses", func() {
	key := ibisstore.Key{Table: table, Partition: "floor", Name: "node-1"}
	commit := ibisstore.Commit{
		Conditions: []ibisstore.Condition{{Key: key, Version: 7}},
		Writes:     []ibisstore.Write{{Key: key, Value: []byte("renewed")}},
		Removes:    []ibisstore.Key{{Table: table, Partition: "floor", Name: "node-2"}},
	}

	var (
		clock         *ibistimer.Fake
		own           *fakeStore
		peers         []string
		fallbackStore *ibisneighbor.FallbackStore
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_700_000_000, 0))
		own = newRefusingStore()
		peers = nil
		fallbackStore = ibisneighbor.NewFallbackStore(own, func() []string { return peers }, clock, zap.NewNop())
	})

	// startPeer starts another node, which uses the store given.
	startPeer := func(store ibisstore.Store) {
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		server := httptest.NewServer(ibisneighbor.FallbackHandler(store, next, zap.NewNop()))
		DeferCleanup(server.Close)
		peers = append(peers, strings.TrimPrefix(server.URL, "http://"))
	}

	// refusePastDelay has the store refuse the node's calls for 1500 ms, which exceeds fallbackDelay.
	refusePastDelay := func() {
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		clock.Advance(1500 * time.Millisecond)
		own.commits = nil
	}

	It("doesn't know of a commit through another node whose answer is broken, and sends it to no further node", func() {
		refusePastDelay()
		served := &fakeStore{}
		broken := map[string]string{"half an answer": "HTTP/1.1 200 OK\r\n\r\n{\"outcome\":"}
		for name, head := range ibistcp.MalformedHeads() {
			broken[name] = head + "Content-Length: 2\r\n\r\n{}"
		}
		for name, answer := range broken {
			server, err := ibistcp.Start(func(int, int, *http.Request) (string, bool) { return answer, true })
			Expect(err).NotTo(HaveOccurred())
			peers = []string{server.Address()}
			startPeer(served)
			Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeUnknown), name)
			Expect(served.commits).To(BeEmpty(), name)
			server.Close()
		}
	})

	It("commits through another node that the store serves", func() {
		served := &fakeStore{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeApplied,
				Version: 8,
				Clock:   time.Minute,
			},
		}
		refused := newRefusingStore()
		startPeer(refused)
		startPeer(served)
		refusePastDelay()
		Expect(fallbackStore.Commit(context.Background(), commit)).To(Equal(served.result))
		Expect(refused.commits).To(HaveLen(1))
		Expect(served.commits).To(ConsistOf(commit))
		Expect(own.commits).To(BeEmpty())
	})

	It("returns a conflict with the current rows", func() {
		served := &fakeStore{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeConflict,
				Rows:    []ibisstore.Row{row("a", 8, false)},
			},
		}
		startPeer(served)
		refusePastDelay()
		Expect(fallbackStore.Commit(context.Background(), commit)).To(Equal(served.result))
	})

	It("reads rows through another node", func() {
		served := &fakeStore{
			rows: ibisstore.Snapshot{
				Rows:    []ibisstore.Row{row("a", 8, false), row("b", 9, true)},
				Version: 9,
			},
		}
		startPeer(served)
		refusePastDelay()
		Expect(fallbackStore.Rows(context.Background(), table, "members")).To(Equal(served.rows))
	})

	It("asks no other node while a partition may only be busy, nor after the store serves it again", func() {
		served := &fakeStore{}
		startPeer(served)
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		clock.Advance(time.Second)
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		own.err = nil
		_, err := fallbackStore.Feed(context.Background(), table, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		Expect(served.commits).To(BeEmpty())
	})

	It("asks no other node for 3 s after the store refused their calls too", func() {
		refused := newRefusingStore()
		startPeer(refused)
		refusePastDelay()
		for range 3 {
			Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		}
		Expect(refused.commits).To(HaveLen(1))
		clock.Advance(3 * time.Second)
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		Expect(refused.commits).To(HaveLen(2))
	})

	It("sends a commit only once, also if the idle connection that it uses breaks", func() {
		served := &fakeStore{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeApplied,
				Version: 8,
			},
		}
		handler := ibisneighbor.FallbackHandler(served, http.NotFoundHandler(), zap.NewNop())
		var arrived atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if arrived.Add(1) == 1 {
				handler.ServeHTTP(w, r)
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}))
		DeferCleanup(server.Close)
		peers = append(peers, strings.TrimPrefix(server.URL, "http://"))
		refusePastDelay()
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeApplied))
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeUnknown))
		Expect(arrived.Load()).To(BeEquivalentTo(2))
	})

	It("returns an unknown outcome for a commit whose answer is lost, and asks no other node", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(server.Close)
		peers = append(peers, strings.TrimPrefix(server.URL, "http://"))
		served := &fakeStore{}
		startPeer(served)
		refusePastDelay()
		Expect(fallbackStore.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeUnknown))
		Expect(served.commits).To(BeEmpty())
	})
})
