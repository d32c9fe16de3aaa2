package ibisfeed_test

import (
	"context"
	"errors"
	"maps"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisfeed"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
	"github.com/ibisridge/ibisridge/platform"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisfeed")
}

// tableView holds the rows that a follower has applied.
type tableView struct {
	mu        sync.Mutex
	rows      map[string]string
	fullReads int
}

func (v *tableView) apply(read ibisstore.Snapshot, full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if full {
		v.rows = make(map[string]string)
		v.fullReads++
	}
	for _, r := range read.Rows {
		if r.Removed {
			delete(v.rows, r.Key.Name)
			continue
		}
		v.rows[r.Key.Name] = string(r.Value)
	}
}

func (v *tableView) contents() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]string)
	for k, r := range v.rows {
		out[k] = r
	}
	return out
}

var _ = Describe("A Follower", func() {
	It("applies every change within seconds, also after lost history and an outage", func() {
		store := ibisrowstore.New()
		server := ibisrowstore.NewServer(store, 1)
		httpServer := httptest.NewServer(server)
		DeferCleanup(httpServer.Close)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		v := &tableView{}
		f := ibisfeed.New(platform.NewStoreClient(httpServer.URL, 0), ibisfeed.Options{
			Table:                "op",
			FeedWait:             5 * time.Second,
			Partitions:           func() []string { return []string{""} },
			Apply:                v.apply,
			OnReachabilityChange: func(bool, error) {},
		}, zap.NewNop())
		store.Put("op", "", "a", []byte("1"))
		go f.Run(ctx)
		Eventually(v.contents, "3s").Should(Equal(map[string]string{"a": "1"}))
		store.Put("op", "", "b", []byte("1"))
		store.Drop("op", "", "a")
		Eventually(v.contents, "3s").Should(Equal(map[string]string{"b": "1"}))
		store.Put("op", "", "c", []byte("1"))
		store.Forget()
		store.Put("op", "", "d", []byte("1"))
		Eventually(v.contents, "3s").Should(Equal(map[string]string{"b": "1", "c": "1", "d": "1"}))
		server.Inject(ibisrowstore.Faults{Down: ibisrowstore.DownBusy})
		store.Put("op", "", "b", []byte("2"))
		store.Put("op", "", "b", []byte("3"))
		server.Clear()
		Eventually(v.contents, "3s").Should(HaveKeyWithValue("b", "3"))
		f.Reread()
		Eventually(func() int { v.mu.Lock(); defer v.mu.Unlock(); return v.fullReads }, "3s").Should(BeNumerically(">=", 2))
	})

	// Guards against a change that comes into force 3 s after a silent outage: a request that is lost right before the end of
	// the outage is given up only after its wait and the store's timeout (trouble-3 of the deployment with grants by calls).
	It("asks with a wait of a fifth of a second after a failure, so that a lost request is soon repeated", func() {
		store := &failingStore{waits: make(chan time.Duration, 1)}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		f := ibisfeed.New(store, ibisfeed.Options{
			Table:                "op",
			FeedWait:             5 * time.Second,
			Partitions:           func() []string { return []string{""} },
			Apply:                func(ibisstore.Snapshot, bool) {},
			OnReachabilityChange: func(bool, error) {},
		}, zap.NewNop())
		go f.Run(ctx)
		var wait time.Duration
		Eventually(store.waits, "5s").Should(Receive(&wait))
		Expect(wait).To(Equal(5 * time.Second))
		Eventually(store.waits, "5s").Should(Receive(&wait))
		Expect(wait).To(BeNumerically("<=", 200*time.Millisecond))
	})

	DescribeTable("applies what another node offers only where it continues what the follower has",
		func(after, version uint64, applied ...string) {
			store := &failingStore{waits: make(chan time.Duration, 1), version: ibisstore.NewVersion(1, 10)}
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			v := &tableView{}
			f := ibisfeed.New(store, ibisfeed.Options{
				Partitions:           func() []string { return []string{""} },
				Apply:                v.apply,
				OnReachabilityChange: func(bool, error) {},
			}, zap.NewNop())
			rows := func() ([]ibisstore.Row, error) {
				var out []ibisstore.Row
				for number := uint64(9); number <= 12; number++ {
					out = append(out, ibisstore.Row{
						Key:     ibisstore.Key{Name: strconv.FormatUint(number, 10)},
						Version: ibisstore.NewVersion(1, number),
					})
				}
				return out, nil
			}
			Expect(f.Offer(after, version, rows)).To(Succeed())
			Expect(v.contents()).To(BeEmpty(), "before the first full read")
			go f.Run(ctx)
			Eventually(func() bool { _, known := f.Position(); return known }, "5s").Should(BeTrue())
			Expect(f.Offer(after, version, rows)).To(Succeed())
			names := func() []string { return slices.Sorted(maps.Keys(v.contents())) }
			Expect(names()).To(ConsistOf(applied))
			position, _ := f.Position()
			Expect(position).To(Equal(max(ibisstore.NewVersion(1, 10), version*uint64(min(1, len(applied))))))
			reads := store.reads.Load()
			f.Reread()
			Eventually(store.reads.Load, "5s").Should(BeNumerically(">", reads))
			Consistently(names, "50ms").Should(ConsistOf(applied), "after a full read of version 10")
		},
		Entry("the changes that follow", ibisstore.NewVersion(1, 10), ibisstore.NewVersion(1, 12), "11", "12"),
		Entry("changes of which it has some", ibisstore.NewVersion(1, 7), ibisstore.NewVersion(1, 12), "11", "12"),
		Entry("the whole table", uint64(0), ibisstore.NewVersion(1, 13), "9", "10", "11", "12"),
		Entry("changes after a gap", ibisstore.NewVersion(1, 11), ibisstore.NewVersion(1, 12)),
		Entry("changes that it has", ibisstore.NewVersion(1, 7), ibisstore.NewVersion(1, 10)),
		Entry("changes of an earlier era", ibisstore.NewVersion(0, 7), ibisstore.NewVersion(0, 12)),
		Entry("changes of a later era, which its own read of the store must begin", ibisstore.NewVersion(1, 10), ibisstore.NewVersion(2, 3)),
	)

	It("stops when its context is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		f := ibisfeed.New(platform.NewStoreClient("http://127.0.0.1:1", 0), ibisfeed.Options{
			Partitions:           func() []string { return []string{""} },
			Apply:                func(ibisstore.Snapshot, bool) {},
			OnReachabilityChange: func(bool, error) {},
		}, zap.NewNop())
		go func() {
			f.Run(ctx)
			close(ended)
		}()
		time.Sleep(10 * time.Millisecond)
		cancel()
		Eventually(ended, "3s").Should(BeClosed())
	})
})

// failingStore answers reads and fails feed requests, whose waits it records.
type failingStore struct {
	ibisstore.Store
	waits   chan time.Duration
	version uint64
	reads   atomic.Int32
}

func (s *failingStore) Rows(context.Context, string, string) (ibisstore.Snapshot, error) {
	s.reads.Add(1)
	return ibisstore.Snapshot{Version: max(1, s.version)}, nil
}

func (s *failingStore) Feed(ctx context.Context, _ string, _ uint64, wait time.Duration) (ibisstore.Snapshot, error) {
	select {
	case s.waits <- wait:
	case <-ctx.Done():
	}
	return ibisstore.Snapshot{}, errors.New("no answer")
}
