package ibisdocsync_test

import (
	"context"
	"encoding/json"
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
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestReplicator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisdocsync")
}

var teamToken, teamHash = ibisdoc.NewTeamToken("platform")

// fleet is a set of nodes whose replicators call each other in memory; nodes listed in cut can't be called and can't call.
type fleet struct {
	timer *ibistimer.Fake
	store *ibisstore.Store
	live  []ibismember.Node

	mu        sync.Mutex
	byAddress map[string]*node
	cut       map[string]bool
}

type node struct {
	*ibisdocsync.Replicator
	fleet *fleet
	name  string

	mu      sync.Mutex
	applied []ibisid.Revision
}

// Live lists every node of the fleet.
func (f *fleet) Live(known uint64) ([]ibismember.Node, uint64) {
	if known == 1 {
		return nil, 1
	}
	return f.live, 1
}

// Call makes a control call in memory; it fails if either node is cut off.
func (n *node) Call(_ context.Context, address, method string, args, reply any) error {
	n.fleet.mu.Lock()
	target := n.fleet.byAddress[address]
	broken := target == nil || n.fleet.cut[address] || n.fleet.cut[n.name]
	n.fleet.mu.Unlock()
	if broken {
		return errors.New("cut")
	}
	s := target.Service()
	switch method {
	case "Document.Hint":
		return s.Hint(args.(*ibisdocsync.HintArgs), reply.(*ibisdocsync.None))
	case "Document.Exchange":
		return s.Exchange(args.(*ibisdocsync.HintArgs), reply.(*ibisdocsync.HintArgs))
	case "Document.Report":
		return s.Report(args.(*ibisdocsync.ReportArgs), reply.(*ibisdocsync.HintArgs))
	case "Document.Records":
		return s.Records(args.(*ibisdocsync.RecordsArgs), reply.(*ibisdocsync.RecordsReply))
	case "Document.Snapshot":
		return s.Snapshot(args.(*ibisdocsync.None), reply.(*ibisdocsync.SnapshotReply))
	case "Document.Confirm":
		return s.Confirm(args.(*ibisdocsync.None), reply.(*ibisdocsync.ConfirmReply))
	}
	return fmt.Errorf("no method %s", method)
}

func (n *node) recordRevision(doc *ibisdoc.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = append(n.applied, doc.Revision())
}

func newFleet(nodes, domains int) *fleet {
	timer := ibistimer.NewFake(time.Unix(1_700_000_000, 0))
	f := &fleet{
		timer:     timer,
		store:     ibisstore.New(ibisstore.WithTimer(timer)),
		byAddress: make(map[string]*node),
		cut:       make(map[string]bool),
	}
	for i := range nodes {
		f.live = append(f.live, ibismember.Node{
			Name: ibisid.NodeName(fmt.Sprintf("n%02d", i)),
			Place: ibisid.Place{
				Region: "r1",
				Domain: ibisid.DomainName(fmt.Sprintf("d%d", i%domains)),
			},
			Address: fmt.Sprintf("n%02d", i),
		})
	}
	return f
}

func (f *fleet) start(ctx context.Context, self ibismember.Node, seeds ...string) *node {
	n := &node{
		fleet: f,
		name:  string(self.Name),
	}
	store := ibissection.New(f.store, f.store, f.timer, ibissection.WithMinRevision(func() ibisid.Revision { return n.Revision() }))
	n.Replicator = ibisdocsync.New(self, seeds, store, n, f.timer, zap.NewNop(), n.recordRevision)
	n.SetDirectory(f)
	f.mu.Lock()
	f.byAddress[n.name] = n
	f.mu.Unlock()
	go func() {
		defer GinkgoRecover()
		Expect(n.Run(ctx)).To(Succeed())
	}()
	return n
}

func (f *fleet) sections() *ibissection.Store { return ibissection.New(f.store, f.store, f.timer) }

func (f *fleet) put(ctx context.Context, id, classes string) ibissection.Outcome {
	snapshot, err := f.sections().Load(ctx)
	Expect(err).NotTo(HaveOccurred())
	return f.sections().PutDraft(ctx, teamToken, ibissection.Draft{
		ID:           id,
		BaseRevision: snapshot.Head().Revision(),
		Contents: ibisdoc.Sections{
			"classes": json.RawMessage(classes),
		},
	})
}

func (f *fleet) initDocument(ctx context.Context) {
	team := fmt.Sprintf(`{"platform":{"sections":["topology","teams","classes"],"tokens":[{"salt":%q,"sha256":%q}]}}`, teamHash.Salt, teamHash.SHA256)
	outcome := f.sections().Init(ctx, "first", ibisdoc.Sections{
		"topology": json.RawMessage(`{"regions":{"r1":{"domains":{"d0":{},"d1":{},"d2":{}}}},"storeRegion":"r1"}`),
		"teams":    json.RawMessage(team),
		"classes":  json.RawMessage(`{}`),
	})
	Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
}

// until advances the fake clock in steps of 100 ms until the condition holds.
func (f *fleet) until(holds func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		f.timer.Advance(100 * time.Millisecond)
		return holds()
	}).WithTimeout(time.Minute).WithPolling(time.Millisecond).Should(BeTrue())
}

func (f *fleet) allAt(revision ibisid.Revision) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range f.byAddress {
			if n.Revision() != revision {
				return false
			}
		}
		return true
	}
}

var _ = Describe("Replicator", func() {
	It("puts each revision into force on every node, in order, and reports which failure domain a change has not reached", func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		f := newFleet(9, 3)
		f.initDocument(ctx)
		for _, self := range f.live {
			f.start(ctx, self)
		}
		f.until(f.allAt(1))
		for i := range 3 {
			outcome := f.put(ctx, fmt.Sprint(i), fmt.Sprintf(`{"lookup":{"priority":%d}}`, i+1))
			Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
		}
		f.until(f.allAt(4))
		for _, n := range f.byAddress {
			for i := 1; i < len(n.applied); i++ {
				Expect(n.applied[i]).To(BeNumerically(">", n.applied[i-1]))
			}
		}

		f.mu.Lock()
		for i := 2; i < 9; i += 3 {
			f.cut[fmt.Sprintf("n%02d", i)] = true
		}
		f.mu.Unlock()
		querying := f.byAddress["n00"]
		short, done := context.WithTimeout(ctx, 300*time.Millisecond)
		defer done()
		Expect(querying.AwaitRevision(short, 4, false).UnconfirmedDomains).To(ConsistOf(ibisid.DomainName("d2")))
		f.mu.Lock()
		clear(f.cut)
		f.mu.Unlock()
		f.until(func() bool {
			progress := querying.AwaitRevision(ctx, 4, false)
			return len(progress.UnconfirmedDomains) == 0
		})
	})

	It("serves the last revision through an outage, and a node that starts then fetches it from a seed", func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		f := newFleet(4, 2)
		f.initDocument(ctx)
		for _, self := range f.live[:3] {
			f.start(ctx, self)
		}
		f.until(f.allAt(1))
		f.store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultDown,
		})
		late := f.start(ctx, f.live[3], "n01")
		f.until(f.allAt(1))
		f.timer.Advance(time.Second)
		Expect(late.Current()).NotTo(BeNil())
		for range 100 {
			f.timer.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		f.until(func() bool { return !f.byAddress["n00"].Stale() })
	})

	It("treats a node that receives nothing from others as too stale for new requests", func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		f := newFleet(4, 2)
		f.initDocument(ctx)
		for _, self := range f.live {
			f.start(ctx, self)
		}
		f.until(f.allAt(1))
		f.mu.Lock()
		f.cut["n03"] = true
		f.mu.Unlock()
		f.store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultDown,
		})
		f.until(func() bool { return f.byAddress["n03"].Stale() })
		f.until(func() bool { return !f.byAddress["n00"].Stale() })
		f.mu.Lock()
		clear(f.cut)
		f.mu.Unlock()
		f.until(func() bool { return !f.byAddress["n03"].Stale() })
	})
})
