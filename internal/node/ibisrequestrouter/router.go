package ibisrequestrouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

// Ownership looks up the owners of slots and the live nodes, and grants permits for the slots that this node owns.
type Ownership interface {
	// Self returns the node itself.
	Self() ibisowner.Peer
	// Owner returns the owner of the key in the slot, and whether this node has one on record.
	Owner(slot ibisid.Slot, key string) (ibisowner.Peer, bool)
	// AcquirePermit returns the permit to run a request for the key on this node. While the key is being moved to this
	// node it waits for a short time, at most until the deadline of the context. It fails with a NotOwnerError if this
	// node does not own the key.
	AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (Permit, error)
	// RecordOwnerHint records the owner of the key that another node reported; the report may be out of date.
	RecordOwnerHint(slot ibisid.Slot, key string, owner ibisid.Member)
	// Servers returns the live nodes whose backend servers serve the service, and a generation number that grows with each
	// change of the set.
	Servers(service ibisid.ServiceName) ([]ibisowner.Peer, uint64)
}

// Permit allows this node to run requests for one key while it owns the key.
type Permit interface {
	// Slot returns the slot under which the at-most-once memory stores the requests for the key: the key's slot, or a slot
	// for the key alone if it is hot.
	Slot() ibisid.Slot
	// Grant returns the proof of ownership for backend servers that check grants.
	Grant() ibisbackend.Grant
	// Check returns a NotOwnerError once this node may no longer send the request to a backend server; it never blocks.
	Check() error
	// Release ends the use of the permit; a planned move of the key waits until all permits for it are released.
	Release()
}

// Gate sends requests to this node's own backend server, subject to admission.
type Gate interface {
	// Send waits until the gate admits the request and sends it to the backend server.
	Send(ctx context.Context, info ibisgate.RequestInfo, request ibisbackend.Request) ibisbackend.Result
	// Load returns the number of running and waiting requests divided by the concurrency limit.
	Load() float64
	// ReportTypical returns the typical latency of the class if other nodes of the service should hear of it now.
	ReportTypical(class ibisid.ClassName) (ibisadmit.TypicalLatency, bool)
	// LearnTypical takes in what another node of the service reported of the class.
	LearnTypical(class ibisid.ClassName, report ibisadmit.Report)
}

// Peers forwards requests to other nodes.
type Peers interface {
	// Send forwards a request to the node at the address; it makes one attempt.
	Send(ctx context.Context, address string, request ibisbackend.Request) ibisbackend.Result
}

// Documents provides the document that is in force on this node.
type Documents interface {
	// Current returns the document in force, or nil before the first one.
	Current() *ibisdoc.Document
	// Stale reports whether this node has received no document updates for so long that it must not accept new requests.
	Stale() bool
}

// Router routes requests to the nodes that run them.
type Router struct {
	ownership      Ownership
	gate           Gate
	peers          Peers
	documents      Documents
	memory         *ibisidempotencydriver.Memory
	timer          ibistimer.Service
	log            *zap.Logger
	chooserConfig  ibisbalancer.Config
	choosers       *choosers
	retryPolicies  *retryPolicies
	requestMetrics *requestMetrics
}

// Dependencies are the dependencies of a Router.
type Dependencies struct {
	// Ownership looks up owners and live nodes.
	Ownership Ownership
	// Gate sends requests to this node's own backend server.
	Gate Gate
	// Peers forwards requests to other nodes.
	Peers Peers
	// Documents provides the document in force.
	Documents Documents
	// Memory stores the outcomes of non-idempotent requests.
	Memory *ibisidempotencydriver.Memory
	// Timer provides the time and timers.
	Timer ibistimer.Service
	// Metrics is the set in which the router registers its metrics.
	Metrics *metrics.Set
	// Log is the logger of the router.
	Log *zap.Logger
	// Seed is the seed of the router's random choices.
	Seed uint64
}

// New returns a router with the given dependencies and registers its metrics.
func New(deps Dependencies) *Router {
	chooserConfig := ibisbalancer.Config{
		Own:             deps.Ownership.Self().Place,
		EjectStragglers: true,
	}
	rt := &Router{
		ownership:      deps.Ownership,
		gate:           deps.Gate,
		peers:          deps.Peers,
		documents:      deps.Documents,
		memory:         deps.Memory,
		timer:          deps.Timer,
		log:            deps.Log,
		chooserConfig:  chooserConfig,
		choosers:       newChoosers(chooserConfig, deps.Ownership, deps.Timer, rand.New(rand.NewPCG(deps.Seed, 1))),
		retryPolicies:  newRetryPolicies(deps.Timer, rand.New(rand.NewPCG(deps.Seed, 2))),
		requestMetrics: newRequestMetrics(deps.Metrics),
	}
	deps.Metrics.NewGauge("ibisridge_servers_set_aside", rt.choosers.countSetAside)
	return rt
}

// Callers returns the handler for requests from callers.
func (rt *Router) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+TicketPath, rt.serveTicket)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { rt.serve(w, r, roleEntry) })
	return mux
}

// Peers returns the handler for requests that other nodes forward.
func (rt *Router) Peers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		role, ok := roleOf(r)
		if !ok {
			refuse(http.StatusBadRequest, "badForward", headerRole+" must be owner or server").Write(w)
			return
		}
		if r.URL.Path == TicketPath {
			rt.issueTicket(w, r)
			return
		}
		rt.serve(w, r, role)
	})
}

func (rt *Router) serve(w http.ResponseWriter, r *http.Request, role role) {
	start := rt.timer.Now()
	q, refusal := rt.read(w, r, role)
	if refusal != nil {
		rt.requestMetrics.countRefusal(role, refusal)
		refuseUnread(w, r, refusal)
		return
	}
	if role != roleEntry {
		rt.learnTypical(q, r.Header.Get(ibisbackend.HeaderTypical))
	}
	outcome := rt.dispatch(r.Context(), q, role)
	if role == roleEntry {
		rt.requestMetrics.observeRequest(q, outcome, rt.timer.Now().Sub(start))
	} else {
		w.Header().Set(headerLoad, formatLoad(rt.gate.Load()))
		rt.reportTypical(q, w.Header())
	}
	rt.write(w, r, outcome)
}

// read parses and checks the request. It reads the body only after all other checks have passed.
func (rt *Router) read(w http.ResponseWriter, r *http.Request, role role) (*request, *ibiscaller.Refusal) {
	doc := rt.documents.Current()
	if doc == nil {
		return nil, notReady("the node has no document yet")
	}
	if role == roleEntry && rt.documents.Stale() {
		return nil, notReady("the node has had no news of the document for too long")
	}
	q, refusal := parse(doc, r, rt.timer.Now())
	if refusal != nil {
		return nil, refusal
	}
	if refusal := rt.checkHome(q); refusal != nil {
		return nil, refusal
	}
	rt.useTicketSlot(q)
	if role == roleEntry && len(r.TransferEncoding) > 0 {
		// net/http drops a Content-Length header that is sent along with chunked encoding, so that request smuggling can't be
		// detected here. Therefore the connection is not reused.
		w.Header().Set("Connection", "close")
	}
	q.body, refusal = readBody(w, r, q.match.Route.MaxBody, time.Now().Add(rt.remaining(q)+readGrace))
	return q, refusal
}

// remaining returns the time until the request's deadline; it is negative after the deadline.
func (rt *Router) remaining(q *request) time.Duration { return q.deadline.Sub(rt.timer.Now()) }

// refuseUnread refuses a request whose body was not completely read. The refusal is sent at once; the server then reads on
// for at most readGrace, so that the caller receives the refusal instead of a connection reset.
func refuseUnread(w http.ResponseWriter, r *http.Request, refusal *ibiscaller.Refusal) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readGrace))
		w.Header().Set("Connection", "close")
	}
	refusal.Write(w)
}

// dispatch runs the request in the given role of this node.
func (rt *Router) dispatch(ctx context.Context, q *request, role role) result {
	switch role {
	case roleOwner:
		return rt.runAsOwner(ctx, q)
	case roleServer:
		return rt.runAsServer(ctx, q)
	case roleEntry:
	}
	return rt.runWithRetries(ctx, q)
}
