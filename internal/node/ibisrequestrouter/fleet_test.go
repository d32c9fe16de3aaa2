package ibisrequestrouter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "ibisrequestrouter")
}

const (
	keyed   = ibisid.ServiceName("floor")
	unkeyed = ibisid.ServiceName("desk")
)

var (
	shopToken, shopHash = ibisdoc.NewAccountToken("shop", "counter")
	homeToken, homeHash = ibisdoc.NewAccountToken("ward", "clerk")
)

func document() *ibisdoc.Document {
	account := func(h ibisdoc.TokenHash) string {
		return fmt.Sprintf(`"accounts":{"%s":{"tokens":[{"salt":%q,"sha256":%q}]}}`, map[bool]string{true: "counter", false: "clerk"}[h == shopHash], h.Salt, h.SHA256)
	}
	route := func(method, path, service, more string) string {
		return fmt.Sprintf(`{"methods":[%q],"path":%q,"service":%q,"class":"quick"%s}`, method, path, service, more)
	}
	erp := `,"scheme":"mat/erp"`
	sections := ibisdoc.Sections{}
	for name, text := range map[string]string{
		"topology":  `{"regions":{"r1":{"domains":{"d1":{}}},"r2":{"domains":{"d2":{}}}},"storeRegion":"r1"}`,
		"teams":     `{}`,
		"keySpaces": `{"mat":{"fields":[{"name":"design","type":"int"}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`,
		"services":  `{"floor":{"keySpace":"mat","slots":4},"desk":{}}`,
		"classes":   `{"quick":{"deadline":"8s","queueLength":2,"hedge":true}}`,
		"routes": `{"mat":` + route("GET", "/mat/{key}", "floor", erp) +
			`,"order":` + route("POST", "/order/{key}", "floor", erp+`,"nonIdempotent":true,"maxBody":200000`) +
			`,"proof":` + route("POST", "/proof/{key}", "floor", erp+`,"nonIdempotent":true,"recorded":true`) +
			`,"ask":` + route("GET", "/ask", "desk", "") + `,"put":` + route("PUT", "/put", "desk", `,"maxBody":300000`) +
			`,"pay":` + route("POST", "/pay", "desk", `,"nonIdempotent":true`) + `}`,
		"tenants": `{"shop":{` + account(shopHash) + `},"ward":{"homes":["r2"],` + account(homeHash) + `}}`,
	} {
		sections[ibisdoc.SectionName(name)] = json.RawMessage(text)
	}
	doc, faults := ibisdoc.Compile(1, sections)
	Expect(faults).To(BeEmpty())
	return doc
}

// fleet is a set of nodes, each with a router, a gate and an at-most-once memory; a single node owns every slot.
type fleet struct {
	store *ibisstore.Store
	doc   atomic.Pointer[ibisdoc.Document]
	stale atomic.Bool
	owner atomic.Pointer[node]
	nodes []*node
}

type node struct {
	fleet   *fleet
	peer    ibisowner.Peer
	gate    *ibisgate.Gate
	memory  *ibisidempotencydriver.Memory
	metrics *metrics.Set
	callers *httptest.Server
	router  *ibisrequestrouter.Router
	// serve is the handler of the backend server.
	serve atomic.Pointer[http.HandlerFunc]
	// onPeer replaces the handler of forwarded requests, if it is set.
	onPeer atomic.Pointer[func(peerHandler http.Handler, w http.ResponseWriter, r *http.Request)]
	// checkFails makes the check before the first byte fail, as if the lease had lapsed.
	checkFails atomic.Bool
	// onSend changes the context of a request that is forwarded to another node, or delays the request, if it is set.
	onSend   atomic.Pointer[func(ctx context.Context) context.Context]
	sent     atomic.Int64
	takeover ibisidempotency.Takeover

	mu    sync.Mutex
	runs  map[string]int
	total int
	// learned lists what other nodes reported this node of the latency of a class.
	learned []ibisadmit.Report
	peers   *ibismember.Forwarder
}

// newFleet starts nodes of a service; the first one owns every slot.
func newFleet(service ibisid.ServiceName, count int) *fleet {
	f := &fleet{store: ibisstore.New()}
	f.doc.Store(document())
	for i := range count {
		f.nodes = append(f.nodes, f.start(service, i))
	}
	f.owner.Store(f.nodes[0])
	return f
}

func (f *fleet) start(service ibisid.ServiceName, i int) *node {
	timer := ibistimer.New()
	n := &node{
		fleet:    f,
		gate:     ibisgate.New(timer),
		metrics:  metrics.NewSet(),
		runs:     map[string]int{},
		peers:    ibismember.NewForwarder(nil, timer, 4096),
		takeover: ibisidempotency.TakeoverFresh,
	}
	n.memory = ibisidempotencydriver.New(ibisidempotency.Config{TicketKey: make([]byte, 32)}, f.store, timer)
	backend := httptest.NewServer(http.HandlerFunc(n.run))
	n.answer(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	var router *ibisrequestrouter.Router
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if change := n.onPeer.Load(); change != nil {
			(*change)(router.Peers(), w, r)
			return
		}
		router.Peers().ServeHTTP(w, r)
	}))
	n.peer = ibisowner.Peer{
		Member:  ibisid.Member{Name: ibisid.NodeName(fmt.Sprintf("n%d", i)), Incarnation: 1},
		Place:   ibisid.Place{Region: "r1", Domain: "d1"},
		Address: peers.Listener.Addr().String(),
		Service: service,
		Slots:   4,
	}
	router = ibisrequestrouter.New(ibisrequestrouter.Dependencies{Ownership: n, Gate: learningGate{Gate: n.gate, node: n}, Peers: n, Documents: f, Memory: n.memory, Timer: timer, Metrics: n.metrics, Log: zap.NewNop(), Seed: 1})
	n.router = router
	n.callers = httptest.NewServer(router.Callers())
	n.gate.SetDocument(f.doc.Load())
	announce := func() {
		Expect(n.gate.Announce(ibisbackend.Announcement{Service: service, Address: backend.Listener.Addr().String(), Slots: 4, Connections: 20, Weight: 1})).To(Succeed())
	}
	announce()
	ctx, cancel := context.WithCancel(context.Background())
	repeat := timer.Every(ibisbackend.AnnouncePeriod, func(time.Time) { announce() })
	go func() { _ = n.gate.Run(ctx) }()
	DeferCleanup(func() {
		repeat.Stop()
		cancel()
		for _, s := range []*httptest.Server{n.callers, peers, backend} {
			s.CloseClientConnections()
			s.Close()
		}
	})
	return n
}

// learningGate records what the router passes to the node's gate.
type learningGate struct {
	*ibisgate.Gate
	node *node
}

func (g learningGate) LearnTypical(class ibisid.ClassName, report ibisadmit.Report) {
	g.node.mu.Lock()
	g.node.learned = append(g.node.learned, report)
	g.node.mu.Unlock()
	g.Gate.LearnTypical(class, report)
}

// tellers returns the names of the nodes that reported this node of a latency.
func (n *node) tellers() []ibisid.NodeName {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []ibisid.NodeName
	for _, r := range n.learned {
		names = append(names, r.From)
	}
	return names
}

// run is the backend server: it counts the runs by Idempotency-Key and calls serve.
func (n *node) run(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.total++
	n.runs[r.Header.Get("Idempotency-Key")]++
	n.mu.Unlock()
	(*n.serve.Load())(w, r)
}

func (n *node) answer(serve http.HandlerFunc) { n.serve.Store(&serve) }

func (f *fleet) answer(serve http.HandlerFunc) {
	for _, n := range f.nodes {
		n.answer(serve)
	}
}

// runs returns how often the backend servers ran a request with the Idempotency-Key, or any request if the key is empty.
func (f *fleet) runs(key string) int {
	sum := 0
	for _, n := range f.nodes {
		n.mu.Lock()
		if key == "" {
			sum += n.total
		} else {
			sum += n.runs[key]
		}
		n.mu.Unlock()
	}
	return sum
}

func (f *fleet) Current() *ibisdoc.Document { return f.doc.Load() }
func (f *fleet) Stale() bool                { return f.stale.Load() }

func (n *node) Self() ibisowner.Peer { return n.peer }
func (n *node) Owner(ibisid.Slot, string) (ibisowner.Peer, bool) {
	owner := n.fleet.owner.Load()
	if owner == nil {
		return ibisowner.Peer{}, false
	}
	return owner.peer, true
}
func (n *node) RecordOwnerHint(ibisid.Slot, string, ibisid.Member) {}
func (n *node) Servers(service ibisid.ServiceName) ([]ibisowner.Peer, uint64) {
	var out []ibisowner.Peer
	for _, other := range n.fleet.nodes {
		if other.peer.Service == service {
			out = append(out, other.peer)
		}
	}
	return out, uint64(len(out))
}

// AcquirePermit returns a permit on the owner and fails on other nodes. If the memory does not have the slot, it acquires it
// with the node's kind of takeover.
func (n *node) AcquirePermit(_ context.Context, slot ibisid.Slot, _ string) (ibisrequestrouter.Permit, error) {
	if owner := n.fleet.owner.Load(); owner != n {
		return nil, &ibisowner.NotOwnerError{Owner: owner.peer.Member}
	}
	n.memory.WithCore(func(core *ibisidempotency.Memory) {
		if !core.Owns(slot) {
			core.Acquire(slot, ibisid.Token(len(n.fleet.nodes)), n.takeover, ibistimer.New().Now())
		}
	})
	return &slotPermit{
		node: n,
		slot: slot,
	}, nil
}

// slotPermit is a permit for one slot.
type slotPermit struct {
	*node
	slot ibisid.Slot
}

func (p *slotPermit) Slot() ibisid.Slot { return p.slot }

func (n *node) Grant() ibisbackend.Grant { return ibisbackend.Grant{Slot: "s", Token: 7} }
func (n *node) Release()                 {}
func (n *node) Check() error {
	if n.checkFails.Load() {
		return &ibisowner.NotOwnerError{}
	}
	return nil
}

// Send forwards a request to another node and counts it.
func (n *node) Send(ctx context.Context, address string, request ibisbackend.Request) ibisbackend.Result {
	n.sent.Add(1)
	if change := n.onSend.Load(); change != nil {
		ctx = (*change)(ctx)
	}
	return n.peers.Send(ctx, address, request)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// code returns the status, code and outcome of a refusal, the status of an answer, or "broken" for a failed transfer.
func (r reply) code() string {
	var p struct{ Type, Outcome string }
	if r.err != nil {
		return "broken"
	}
	if r.header.Get("Content-Type") != "application/problem+json" || json.Unmarshal([]byte(r.body), &p) != nil {
		return strings.TrimSpace(fmt.Sprint(r.status, " ", r.header.Get("Ibis-Outcome"), r.header.Get("Ibis-Repeated")))
	}
	return fmt.Sprint(r.status, " ", strings.TrimPrefix(p.Type, "urn:ibisridge:problem:"), " ", p.Outcome)
}

type change func(r *http.Request)

func with(name, value string) change { return func(r *http.Request) { r.Header.Set(name, value) } }
func key(k string) change            { return with("Idempotency-Key", k) }

func ask(ctx context.Context, n *node, method, path string, body io.Reader, changes ...change) reply {
	request, err := http.NewRequestWithContext(ctx, method, n.callers.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+shopToken)
	for _, c := range changes {
		c(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}
