package ibisrowcache_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestRows(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisrowcache")
}

// fleet is a set of nodes that call each other in memory; the live nodes of each are those whose member rows it has.
type fleet struct {
	timer *ibistimer.Fake
	store *ibisstore.Store

	mu    sync.Mutex
	nodes map[string]*node

	// calls is held for reading during each call, so that no call is in flight when setCut returns.
	calls sync.RWMutex
	cut   map[string]bool
}

type node struct {
	*ibisrowcache.Rows
	fleet *fleet
	self  ibismember.Node

	mu          sync.Mutex
	live        []ibismember.Node
	generation  uint64
	seen        map[string]ibisplatform.Version
	regressions int
}

func newFleet() *fleet {
	timer := ibistimer.NewFake(time.Unix(1_700_000_000, 0))
	return &fleet{
		timer: timer,
		store: ibisstore.New(ibisstore.WithTimer(timer)),
		nodes: make(map[string]*node),
		cut:   make(map[string]bool),
	}
}

// Live returns the nodes whose member rows are in the view.
func (n *node) Live(known uint64) ([]ibismember.Node, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known == n.generation {
		return nil, known
	}
	return n.live, n.generation
}

// member applies a member row, whose value is the failure domain, and counts rows whose version is lower than one before.
func (n *node) member(row ibisplatform.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if row.Version < n.seen[row.Key] {
		n.regressions++
	}
	n.seen[row.Key] = row.Version
	name := row.Key[len("member/"):]
	for _, known := range n.live {
		if known.Name == ibisid.NodeName(name) {
			return
		}
	}
	n.live = append(n.live, newNode(name, string(row.Value)))
	n.generation++
}

func newNode(name, domain string) ibismember.Node {
	return ibismember.Node{
		Name: ibisid.NodeName(name),
		Place: ibisid.Place{
			Region: "r1",
			Domain: ibisid.DomainName(domain),
		},
		Address: name,
	}
}

// Call makes a control call in memory; it fails if either node is cut off.
func (n *node) Call(_ context.Context, address, method string, args, reply any) error {
	n.fleet.mu.Lock()
	target := n.fleet.nodes[address]
	n.fleet.mu.Unlock()
	n.fleet.calls.RLock()
	defer n.fleet.calls.RUnlock()
	if target == nil || n.fleet.cut[address] || n.fleet.cut[string(n.self.Name)] {
		return errors.New("cut")
	}
	service := target.Service()
	switch method {
	case "Rows.Exchange":
		return service.Exchange(args.(*ibisrowcache.ExchangeArgs), reply.(*ibisrowcache.None))
	case "Rows.Copy":
		return service.Copy(args.(*ibisrowcache.CopyArgs), reply.(*ibisrowcache.CopyReply))
	}
	return fmt.Errorf("no method %s", method)
}

// setCut disconnects a node from the others and from the table, or reconnects it; no call from before is in flight when it
// returns.
func (f *fleet) setCut(name string, cut bool) {
	f.calls.Lock()
	defer f.calls.Unlock()
	f.cut[name] = cut
}

// nodeTable is a node's access to the table, which is unavailable while the node is cut off.
type nodeTable struct {
	*ibisstore.Store
	node *node
}

// Scan returns the rows of the prefix.
func (t nodeTable) Scan(ctx context.Context, prefix string) ([]ibisplatform.Row, error) {
	f := t.node.fleet
	f.calls.RLock()
	defer f.calls.RUnlock()
	if f.cut[string(t.node.self.Name)] {
		return nil, ibisplatform.ErrUnavailable
	}
	return t.Store.Scan(ctx, prefix)
}

// Commit applies the writes if all conditions hold.
func (t nodeTable) Commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	f := t.node.fleet
	f.calls.RLock()
	defer f.calls.RUnlock()
	if f.cut[string(t.node.self.Name)] {
		return ibisplatform.CommitResult{}, ibisplatform.ErrUnavailable
	}
	return t.Store.Commit(ctx, commit)
}

// start adds a node, which copies rows from others and publishes its own member row.
func (f *fleet) start(ctx context.Context, name, domain string) *node {
	n := &node{
		fleet: f,
		self:  newNode(name, domain),
		seen:  make(map[string]ibisplatform.Version),
	}
	n.Rows = ibisrowcache.New(ibisrowcache.WithSelf(n.self), ibisrowcache.WithTimer(f.timer))
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	table := nodeTable{
		Store: f.store,
		node:  n,
	}
	n.Subscribe("member/", n.member)
	Expect(n.Bootstrap(ctx, n, table, nil)).To(Succeed())
	n.Publish(f.commit(ctx, "member/"+name, domain))
	for _, run := range []func() error{
		func() error { return n.Run(ctx, n, n) },
		func() error { return n.Discover(ctx, n, table, nil, zap.NewNop()) },
		func() error { return n.MaintainContacts(ctx, n, table, n, zap.NewNop()) },
	} {
		go func() {
			defer GinkgoRecover()
			Expect(run()).To(Succeed())
		}()
	}
	return n
}

func (f *fleet) commit(ctx context.Context, key, value string) ibisplatform.Row {
	result, err := f.store.Commit(ctx, ibisplatform.Commit{
		ID: key + value,
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: []byte(value),
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return ibisplatform.Row{
		Key:     key,
		Value:   []byte(value),
		Version: result.Version,
	}
}

// until advances the fake clock in steps of 100 ms until the condition holds.
func (f *fleet) until(holds func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		f.timer.Advance(100 * time.Millisecond)
		return holds()
	}).WithTimeout(time.Minute).WithPolling(time.Millisecond).Should(BeTrue())
}

func (f *fleet) all(holds func(*node) bool) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range f.nodes {
			if !holds(n) {
				return false
			}
		}
		return true
	}
}

var _ = Describe("Rows", func() {
	sees := func(count int) func(*node) bool {
		return func(n *node) bool {
			live, _ := n.Live(0)
			return len(live) == count
		}
	}

	It("connects nodes that start at once, and replicates every row to every node, never a lower version", func(ctx SpecContext) {
		run, end := context.WithCancel(context.Background())
		defer end()
		f := newFleet()
		for i := range 12 {
			f.start(run, fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%4))
		}
		f.until(f.all(sees(12)))
		old := f.commit(ctx, "page/floor/0", "old")
		page := f.commit(ctx, "page/floor/0", "new")
		f.nodes["n03"].Publish(page)
		f.nodes["n07"].Publish(old)
		f.until(f.all(func(n *node) bool {
			row, _ := n.Get("page/floor/0")
			return string(row.Value) == "new"
		}))
		for _, n := range f.nodes {
			Expect(n.regressions).To(BeZero())
		}
	})

	It("updates a node that was cut off from the others and from the table, and copies rows from a seed while the table is down", func() {
		run, end := context.WithCancel(context.Background())
		defer end()
		f := newFleet()
		for i := range 8 {
			f.start(run, fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%4))
		}
		f.until(f.all(sees(8)))
		f.setCut("n05", true)
		f.nodes["n01"].Publish(f.commit(run, "page/floor/1", "while cut"))
		has := func(n *node) bool {
			row, _ := n.Get("page/floor/1")
			return string(row.Value) == "while cut"
		}
		f.until(func() bool { return has(f.nodes["n02"]) })
		Expect(has(f.nodes["n05"])).To(BeFalse())
		f.setCut("n05", false)
		f.until(f.all(has))

		f.store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultDown,
		})
		late := ibisrowcache.New(ibisrowcache.WithSelf(newNode("late", "d1")), ibisrowcache.WithTimer(f.timer))
		Expect(late.Bootstrap(run, f.nodes["n00"], f.store, nil)).To(MatchError(ibisplatform.ErrUnavailable))
		Expect(late.Bootstrap(run, f.nodes["n00"], f.store, []string{"n04"})).To(Succeed())
		row, _ := late.Get("page/floor/1")
		Expect(string(row.Value)).To(Equal("while cut"))
	})
})
