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
	"github.com/ibisridge/ibisridge/internal/node/ibisdocument"
	"github.com/ibisridge/ibisridge/internal/node/ibisdoor"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibismemory"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrows"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisonce"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

const (
	loneName  = ibisid.NodeName("helsinki-1")
	loneToken = "ibis_shop.counter_0123456789abcdef0123456789abcdef0123456789abcdef"
)

var errNobody = errors.New("no other node")

// loneNode has the parts of a node that owns every slot, on a time that only the test moves.
type loneNode struct {
	timer     *ibistimer.Fake
	rows      *ibisrows.Rows
	linked    chan struct{}
	document  *ibisdoc.Document
	keeper    *ibisowner.Keeper
	documents *ibisdocument.Keeper
	memory    *ibismemory.Memory
	server    *ibisbackend.Client
}

func newLoneNode(t testing.TB) *loneNode {
	n := &loneNode{
		timer:    ibistimer.NewFake(time.Unix(1_800_000_000, 0)),
		document: loneDocument(t),
		linked:   make(chan struct{}, 1),
	}
	n.rows = ibisrows.New(ibisrows.WithSelf(n.self()), ibisrows.WithTimer(n.timer))
	store := ibisstore.New(ibisstore.WithTimer(n.timer))
	n.memory = ibismemory.New(ibisonce.Config{TicketKey: make([]byte, 32)}, store, n.timer)
	n.keeper = ibisowner.New(ibisowner.Config{
		Name:        loneName,
		Place:       n.self().Place,
		PeerAddress: n.self().Address,
	}, ibisowner.Parts{
		Table:  store,
		Rows:   n.rows,
		Peers:  n,
		Gate:   n,
		Memory: n.memory,
		Timer:  n.timer,
		Log:    zap.NewNop(),
	}, ibisowner.WithStarter(n))
	n.documents = ibisdocument.New(n.self(), nil, ibissection.New(store, store, n.timer), n, n.timer, zap.NewNop())
	t.Cleanup(n.keeper.Start(context.Background()))
	n.keeper.SetDocument(n.document)
	n.link(t)
	n.timer.Advance(10 * time.Second)
	if _, owned := n.keeper.Owner(loneSlot, ""); !owned {
		t.Fatal("the node came to own no slot")
	}
	return n
}

func (n *loneNode) self() ibismember.Node {
	return ibismember.Node{
		Name: loneName,
		Place: ibisid.Place{
			Region: "uusimaa",
			Domain: "helsinki-a",
		},
		Address: "127.0.0.1:1",
	}
}

// link makes the rows spread to and from a neighbour that takes no call.
func (n *loneNode) link(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.rows.Run(ctx, n, n) }()
	for {
		n.timer.Advance(100 * time.Millisecond)
		select {
		case <-n.linked:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Live returns the node and its neighbour.
func (n *loneNode) Live(known uint64) ([]ibismember.Node, uint64) {
	if known == 1 {
		return nil, 1
	}
	n.linked <- struct{}{}
	neighbour := n.self()
	neighbour.Name = "espoo-1"
	return []ibismember.Node{neighbour, n.self()}, 1
}

var loneSlot = ibisid.Slot{Space: ibisid.SlotSpace{Service: "print-floor"}}

func loneDocument(t testing.TB) *ibisdoc.Document {
	salt := make([]byte, 16)
	sum := sha256.Sum256(append(salt, loneToken...))
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

// door returns the node's door before a stand-in that answers every request with its body.
func (n *loneNode) door(t testing.TB) *ibisdoor.Door {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	n.server = ibisbackend.NewClient(server.Listener.Addr().String(), 64)
	return ibisdoor.New(ibisdoor.Parts{
		Ownership: ownership{Keeper: n.keeper},
		Gate:      n,
		Peers:     ibismember.NewForwarder(nil, n.timer, 64),
		Documents: n,
		Memory:    n.memory,
		Timer:     ibistimer.New(),
		Metrics:   metrics.NewSet(),
		Log:       zap.NewNop(),
	})
}

// Start runs a task of the keeper when the test moves the time.
func (n *loneNode) Start(_ bool, task func()) { n.timer.After(0, func(time.Time) { task() }) }

// Call fails: there is no other node.
func (n *loneNode) Call(context.Context, string, string, any, any) error { return errNobody }

// Server returns the announcement of the backend server.
func (n *loneNode) Server() (ibisbackend.Announcement, bool) {
	return ibisbackend.Announcement{
		Service:      "print-floor",
		Slots:        8,
		Weight:       1,
		ChecksGrants: true,
		State:        ibisbackend.StateServing,
	}, true
}

// SetDomain does nothing.
func (n *loneNode) SetDomain(ibisadmit.DomainEvent) {}

// Send hands every request over.
func (n *loneNode) Send(ctx context.Context, _ ibisgate.Entry, request ibisbackend.Request) ibisbackend.Result {
	return n.server.Send(ctx, request)
}

// Load returns that nothing runs.
func (n *loneNode) Load() float64 { return 0 }

// Current returns the document.
func (n *loneNode) Current() *ibisdoc.Document { return n.document }

// Stale reports that the document is fresh.
func (n *loneNode) Stale() bool { return false }
