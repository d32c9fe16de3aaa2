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
)

var errBusy = errors.New("the store answers 429")

// view is the store as one node sees it.
type view struct {
	ibisstore.Store
	result  ibisstore.Result
	rows    ibisstore.Snapshot
	err     error
	commits []ibisstore.Commit
}

func (v *view) Commit(_ context.Context, commit ibisstore.Commit) ibisstore.Result {
	v.commits = append(v.commits, commit)
	return v.result
}

func (v *view) Rows(context.Context, string, string) (ibisstore.Snapshot, error) {
	return v.rows, v.err
}

func (v *view) Feed(context.Context, string, uint64, time.Duration) (ibisstore.Snapshot, error) {
	return ibisstore.Snapshot{}, v.err
}

// shut turns the node away.
func shut() *view {
	return &view{
		result: ibisstore.Result{
			Outcome: ibisstore.OutcomeRefused,
			Err:     errBusy,
		},
		err: errBusy,
	}
}

var _ = Describe("A node that the store turns away", func() {
	key := ibisstore.Key{Table: table, Part: "floor", Name: "node-1"}
	commit := ibisstore.Commit{
		Conditions: []ibisstore.Condition{{Key: key, Version: 7}},
		Writes:     []ibisstore.Write{{Key: key, Value: []byte("renewed")}},
		Removes:    []ibisstore.Key{{Table: table, Part: "floor", Name: "node-2"}},
	}

	var (
		clock  *ibistimer.Fake
		own    *view
		others []string
		detour *ibisneighbor.Detour
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1_700_000_000, 0))
		own = shut()
		others = nil
		detour = ibisneighbor.NewDetour(own, func() []string { return others }, clock, zap.NewNop())
	})

	// other starts a node that sees the store like this.
	other := func(store ibisstore.Store) {
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		server := httptest.NewServer(ibisneighbor.DetourHandler(store, next, zap.NewNop()))
		DeferCleanup(server.Close)
		others = append(others, strings.TrimPrefix(server.URL, "http://"))
	}

	// fail lets the store turn the node away for longer than a busy second.
	fail := func() {
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		clock.Advance(1500 * time.Millisecond)
		own.commits = nil
	}

	It("commits through another one that the store serves", func() {
		served := &view{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeApplied,
				Version: 8,
				Clock:   time.Minute,
			},
		}
		refused := shut()
		other(refused)
		other(served)
		fail()
		Expect(detour.Commit(context.Background(), commit)).To(Equal(served.result))
		Expect(refused.commits).To(HaveLen(1))
		Expect(served.commits).To(ConsistOf(commit))
		Expect(own.commits).To(BeEmpty())
	})

	It("learns of a conflict with the rows that stand", func() {
		served := &view{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeConflict,
				Rows:    []ibisstore.Row{row("a", 8, false)},
			},
		}
		other(served)
		fail()
		Expect(detour.Commit(context.Background(), commit)).To(Equal(served.result))
	})

	It("reads rows through another one", func() {
		served := &view{
			rows: ibisstore.Snapshot{
				Rows:    []ibisstore.Row{row("a", 8, false), row("b", 9, true)},
				Version: 9,
			},
		}
		other(served)
		fail()
		Expect(detour.Rows(context.Background(), table, "members")).To(Equal(served.rows))
	})

	It("asks nobody while a partition may just be busy, nor once the store serves it again", func() {
		served := &view{}
		other(served)
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		clock.Advance(time.Second)
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		own.err = nil
		_, err := detour.Feed(context.Background(), table, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		Expect(served.commits).To(BeEmpty())
	})

	It("leaves the others alone for a while where the store turns them away as well", func() {
		refused := shut()
		other(refused)
		fail()
		for range 3 {
			Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		}
		Expect(refused.commits).To(HaveLen(1))
		clock.Advance(3 * time.Second)
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeRefused))
		Expect(refused.commits).To(HaveLen(2))
	})

	It("sends a commit once, also where the kept connection breaks under it", func() {
		served := &view{
			result: ibisstore.Result{
				Outcome: ibisstore.OutcomeApplied,
				Version: 8,
			},
		}
		handler := ibisneighbor.DetourHandler(served, http.NotFoundHandler(), zap.NewNop())
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
		others = append(others, strings.TrimPrefix(server.URL, "http://"))
		fail()
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeApplied))
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeUnknown))
		Expect(arrived.Load()).To(BeEquivalentTo(2))
	})

	It("doesn't know of a commit whose answer is lost, and asks nobody else for it", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(server.Close)
		others = append(others, strings.TrimPrefix(server.URL, "http://"))
		served := &view{}
		other(served)
		fail()
		Expect(detour.Commit(context.Background(), commit).Outcome).To(Equal(ibisstore.OutcomeUnknown))
		Expect(served.commits).To(BeEmpty())
	})
})
