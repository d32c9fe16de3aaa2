package ibiscapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

const (
	startTime      = 1_700_000_000
	slotsPerServer = 10
	ticketKeyBytes = 32
	joinTime       = 20 * time.Second
)

// node is one ownership runtime among many made-up members; it is its own starter, gate and caller.
type node struct {
	state    *state
	timer    *ibistimer.Fake
	store    *ibisstore.Store
	rows     *ibisrowcache.Rows
	manager  *ibisowner.Manager
	receiver any
	stop     func()
	calls    atomic.Int64
	spread   atomic.Bool
}

// newNode returns a node that has not seen any rows of others.
func newNode(s *state) *node {
	timer := ibistimer.NewFake(time.Unix(startTime, 0))
	return &node{
		state: s,
		timer: timer,
		store: ibisstore.New(ibisstore.WithTimer(timer)),
		rows: ibisrowcache.New(ibisrowcache.WithTimer(timer), ibisrowcache.WithSelf(ibismember.Node{
			Name:  s.members[ownRow].Member.Name,
			Place: s.members[ownRow].Place,
		})),
	}
}

// own starts the ownership runtime over the rows and lets it get its lease, with the members known but no page.
func (n *node) own(doc *ibisdoc.Document) error {
	s := n.state
	n.manager = ibisowner.New(ibisowner.Config{
		Name:        s.members[ownRow].Member.Name,
		Place:       s.members[ownRow].Place,
		PeerAddress: "10.255.0.1:7002",
	}, ibisowner.Dependencies{
		Table: n.store,
		Rows:  n.rows,
		Peers: n,
		Gate:  n,
		Memory: ibisidempotencydriver.New(ibisidempotency.Config{
			TicketKey: make([]byte, ticketKeyBytes),
		}, n.store, n.timer),
		Timer: n.timer,
		Log:   zap.NewNop(),
	}, ibisowner.WithStarter(n))
	n.manager.Register(n)
	n.stop = n.manager.Start(context.Background())
	n.manager.SetDocument(doc)
	n.timer.Advance(joinTime)
	if f := n.manager.Stats(); !f.Valid || f.Direct {
		return fmt.Errorf("the node has no lease from witnesses: %+v", f)
	}
	return nil
}

// spreadRows lets the node exchange rows with its neighbours, until the context ends.
func (n *node) spreadRows(ctx context.Context) {
	go func() { _ = n.rows.Run(ctx, n, n) }()
	for !n.spread.Load() {
		runtime.Gosched()
		n.timer.Advance(time.Second)
	}
}

// Live returns the live nodes as the runtime knows them.
func (n *node) Live(known uint64) ([]ibismember.Node, uint64) {
	n.spread.Store(true)
	return n.manager.Live(known)
}

// Start runs a task of the manager soon.
func (n *node) Start(_ bool, task func()) {
	n.timer.After(time.Millisecond, func(time.Time) { task() })
}

// LatestAnnouncement returns the announcement of the backend server.
func (*node) LatestAnnouncement() (ibisbackend.Announcement, bool) {
	return ibisbackend.Announcement{
		Service:      service,
		Slots:        slotsPerServer,
		Weight:       1,
		ChecksGrants: true,
		State:        ibisbackend.StateServing,
	}, true
}

// SetDomain does nothing.
func (*node) SetDomain(ibisadmit.DomainEvent) {}

// Register takes the methods that other nodes call.
func (n *node) Register(_ string, receiver any) { n.receiver = receiver }

// Call acknowledges heartbeats, as the made-up members do.
func (n *node) Call(_ context.Context, _, _ string, _, reply any) error {
	n.calls.Add(1)
	if r, ok := reply.(*ibisowner.HeartbeatReply); ok {
		r.Acknowledged = true
	}
	return nil
}

// document returns a small document with the service of the members.
func document(slots uint32) (*ibisdoc.Document, error) {
	regionsOf := map[string]map[string]any{}
	for i := range domains {
		p := placeOf(i)
		if regionsOf[string(p.Region)] == nil {
			regionsOf[string(p.Region)] = map[string]any{"domains": map[string]any{}}
		}
		regionsOf[string(p.Region)]["domains"].(map[string]any)[string(p.Domain)] = map[string]string{"state": "in"}
	}
	topology, err := json.Marshal(map[string]any{
		"regions":     regionsOf,
		"storeRegion": placeOf(0).Region,
	})
	if err != nil {
		return nil, err
	}
	doc, faults := ibisdoc.Compile(1, ibisdoc.Sections{
		"topology":  topology,
		"teams":     []byte(`{}`),
		"keySpaces": []byte(`{"mat":{"fields":[{"name":"design","type":"int","max":999999}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`),
		"services":  fmt.Appendf(nil, `{%q:{"keySpace":"mat","slots":%d,"longestOrder":"2s"}}`, service, slots),
		"classes":   []byte(`{}`),
		"routes":    []byte(`{}`),
		"tenants":   []byte(`{}`),
	})
	if len(faults) > 0 {
		return nil, fmt.Errorf("document: %v", faults)
	}
	return doc, nil
}
