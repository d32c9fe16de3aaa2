package ibisnode

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

const (
	singleNodeName = ibisid.NodeName("helsinki-1")
	callerToken    = "ibis_shop.counter_0123456789abcdef0123456789abcdef0123456789abcdef"
)

var errNoOtherNode = errors.New("no other node")

// singleNode holds the components of a node that owns every slot, on a fake clock.
type singleNode struct {
	timer          *ibistimer.Fake
	rows           *ibisrowcache.Rows
	neighborListed chan struct{}
	document       *ibisdoc.Document
	manager        *ibisowner.Manager
	documents      *ibisdocsync.Replicator
	memory         *ibisidempotencydriver.Memory
	server         *ibisbackend.Client
}

func newSingleNode(t testing.TB) *singleNode {
	n := &singleNode{
		timer:          ibistimer.NewFake(time.Unix(1_800_000_000, 0)),
		document:       singleNodeDocument(t),
		neighborListed: make(chan struct{}, 1),
	}
	n.rows = ibisrowcache.New(ibisrowcache.WithSelf(n.self()), ibisrowcache.WithTimer(n.timer))
	store := ibisstore.New(ibisstore.WithTimer(n.timer))
	n.memory = ibisidempotencydriver.New(ibisidempotency.Config{TicketKey: make([]byte, 32)}, store, n.timer)
	n.manager = ibisowner.New(ibisowner.Config{
		Name:        singleNodeName,
		Place:       n.self().Place,
		PeerAddress: n.self().Address,
	}, ibisowner.Dependencies{
		Table:  store,
		Rows:   n.rows,
		Peers:  n,
		Gate:   n,
		Memory: n.memory,
		Timer:  n.timer,
		Log:    zap.NewNop(),
	}, ibisowner.WithStarter(n))
	n.documents = ibisdocsync.New(n.self(), nil, ibissection.New(store, store, n.timer), n, n.timer, zap.NewNop())
	t.Cleanup(n.manager.Start(context.Background()))
	n.manager.SetDocument(n.document)
	n.startRows(t)
	n.timer.Advance(10 * time.Second)
	if _, owned := n.manager.Owner(firstSlot, ""); !owned {
		t.Fatal("the node owns no slot after 10 s")
	}
	return n
}

func (n *singleNode) self() ibismember.Node {
	return ibismember.Node{
		Name: singleNodeName,
		Place: ibisid.Place{
			Region: "uusimaa",
			Domain: "helsinki-a",
		},
		Address: "127.0.0.1:1",
	}
}

// startRows starts the row exchange with one neighbor, to which all calls fail. It returns once the exchange has asked for
// the live members by Live.
func (n *singleNode) startRows(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.rows.Run(ctx, n, n) }()
	for {
		n.timer.Advance(100 * time.Millisecond)
		select {
		case <-n.neighborListed:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Live returns the node and its neighbor as version 1 of the members, or no nodes if known is already 1.
func (n *singleNode) Live(known uint64) ([]ibismember.Node, uint64) {
	if known == 1 {
		return nil, 1
	}
	n.neighborListed <- struct{}{}
	neighbor := n.self()
	neighbor.Name = "espoo-1"
	return []ibismember.Node{neighbor, n.self()}, 1
}

var firstSlot = ibisid.Slot{Space: ibisid.SlotSpace{Service: "print-floor"}}

func singleNodeDocument(t testing.TB) *ibisdoc.Document {
	salt := make([]byte, 16)
	sum := sha256.Sum256(append(salt, callerToken...))
	doc, faults := ibisdoc.Compile(1, ibisdoc.Sections{
		"topology":  json.RawMessage(`{"regions":{"uusimaa":{"domains":{"helsinki-a":{}}}},"storeRegion":"uusimaa"}`),
		"teams":     json.RawMessage(`{}`),
		"keySpaces": json.RawMessage(`{"mat":{"fields":[{"name":"design","type":"int","max":999999}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`),
		"services":  json.RawMessage(`{"print-floor":{"keySpace":"mat","slots":64}}`),
		"classes":   json.RawMessage(`{"lookup":{"priority":1,"deadline":"8s"}}`),
		"routes": json.RawMessage(`{
			"order":{"methods":["POST"],"path":"/order/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup","nonIdempotent":true},
			"erp":{"methods":["GET"],"path":"/erp/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup"}}`),
		"tenants": json.RawMessage(fmt.Sprintf(`{"shop":{"accounts":{"counter":{"tokens":[{"salt":%q,"sha256":%q}]}}}}`,
			hex.EncodeToString(salt), hex.EncodeToString(sum[:]))),
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return doc
}

// newRouter returns a router in front of a backend server that answers every request with its body.
func (n *singleNode) newRouter(t testing.TB) *ibisrequestrouter.Router {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	n.server = ibisbackend.NewClient(server.Listener.Addr().String(), 64)
	return ibisrequestrouter.New(ibisrequestrouter.Dependencies{
		Ownership: ownership{Manager: n.manager},
		Gate:      n,
		Peers:     ibismember.NewForwarder(nil, n.timer, 64),
		Documents: n,
		Memory:    n.memory,
		Timer:     ibistimer.New(),
		Metrics:   metrics.NewSet(),
		Log:       zap.NewNop(),
	})
}

// Start runs a task of the ownership manager when the test advances the clock.
func (n *singleNode) Start(_ bool, task func()) { n.timer.After(0, func(time.Time) { task() }) }

// Call fails, since there is no other node.
func (n *singleNode) Call(context.Context, string, string, any, any) error { return errNoOtherNode }

// LatestAnnouncement returns the announcement of the backend server.
func (n *singleNode) LatestAnnouncement() (ibisbackend.Announcement, bool) {
	return ibisbackend.Announcement{
		Service:      "print-floor",
		Slots:        8,
		Weight:       1,
		ChecksGrants: true,
		State:        ibisbackend.StateServing,
	}, true
}

// SetDomain does nothing.
func (n *singleNode) SetDomain(ibisadmit.DomainEvent) {}

// Send sends every request to the backend server, without admission.
func (n *singleNode) Send(ctx context.Context, _ ibisgate.RequestInfo, request ibisbackend.Request) ibisbackend.Result {
	return n.server.Send(ctx, request)
}

// Load returns zero.
func (n *singleNode) Load() float64 { return 0 }

// ReportTypical tells nothing.
func (n *singleNode) ReportTypical(ibisid.ClassName) (ibisadmit.TypicalLatency, bool) {
	return ibisadmit.TypicalLatency{}, false
}

// LearnTypical does nothing.
func (n *singleNode) LearnTypical(ibisid.ClassName, ibisadmit.Report) {}

// Current returns the document.
func (n *singleNode) Current() *ibisdoc.Document { return n.document }

// Stale reports false.
func (n *singleNode) Stale() bool { return false }
