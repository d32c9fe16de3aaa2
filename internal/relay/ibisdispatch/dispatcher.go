package ibisdispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

const (
	// maxBufferedBodyBytes is the size of the largest body that is held in memory, so that it can be sent again.
	maxBufferedBodyBytes = 64 << 10
	// minChoice is the number of usable backend servers below which those further away are also candidates.
	minChoice = 2
	// outstandingPerSlot is the number of unanswered requests that one node may have at a backend server for each of its
	// slots: for each running request, one more may wait at the gate.
	outstandingPerSlot = 2
	// ordinaryLogInterval is the number of ordinary requests per log line, so that lines take at most 3% of a node's time.
	ordinaryLogInterval = 10
)

// Peers sends orders to nodes, the own node included.
type Peers interface {
	// Send sends an order to the node beside a backend server.
	Send(ctx context.Context, member ibisroster.Member, order ibismessage.Order) ibismessage.Answer
}

// Meter counts finished requests.
type Meter interface {
	// RecordRequest counts a request of a caller, with its answer and the time from its arrival to its answer.
	RecordRequest(class ibisid.ClassName, answer ibismessage.Answer, held time.Duration)
}

// Config identifies the node of a dispatcher.
type Config struct {
	// Node is the own node.
	Node ibisid.NodeName
	// Place is the region and failure domain of the own node.
	Place ibisid.Place
}

// Dispatcher serves callers' requests; it is safe for concurrent use.
type Dispatcher struct {
	settings Config
	peers    Peers
	meter    Meter
	clock    ibistimer.Service
	log      *zap.Logger
	// ordinary counts requests that were answered within their target at the first try.
	ordinary atomic.Uint64

	mu          sync.Mutex
	config      *ibisroute.Config
	outDomains  ibisset.Set[ibisid.DomainName]
	roster      *ibisroster.Roster
	pages       map[ibisid.ServiceName]pageView
	choosers    map[ibisid.ServiceName]*ibisbalancer.Chooser
	splitter    *ibisroute.Splitter
	retryBudget *ibisretrypolicy.Budget
	callerAges  *ibisretrypolicy.CallerAges
	random      *rand.Rand
	nextID      ibisbalancer.AttemptID
	unreachable ibisset.Set[ibisid.NodeName]
}

// pageView is an ownership page with the version of its row.
type pageView struct {
	page    ibisrange.Page
	version uint64
}

// New returns a dispatcher without a configuration; random adds jitter to retry-after times and breaks ties between servers.
func New(settings Config, peers Peers, meter Meter, clock ibistimer.Service, random *rand.Rand, log *zap.Logger) *Dispatcher {
	return &Dispatcher{
		settings:    settings,
		peers:       peers,
		meter:       meter,
		clock:       clock,
		log:         log,
		roster:      ibisroster.New(),
		pages:       make(map[ibisid.ServiceName]pageView),
		choosers:    make(map[ibisid.ServiceName]*ibisbalancer.Chooser),
		splitter:    ibisroute.NewSplitter(),
		random:      random,
		retryBudget: ibisretrypolicy.NewBudget(),
		callerAges:  ibisretrypolicy.NewCallerAges(),
		unreachable: make(ibisset.Set[ibisid.NodeName]),
	}
}

// Config returns the configuration in force, or nil before the first SetConfig.
func (f *Dispatcher) Config() *ibisroute.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetConfig puts a configuration in force unless the present one is as new or newer, and reports whether it did.
func (f *Dispatcher) SetConfig(config *ibisroute.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && f.config.Version() >= config.Version() {
		return false
	}
	f.config = config
	classes := make(ibisset.Set[ibisid.ClassName])
	for _, route := range config.Routes() {
		classes.Add(route.Name)
	}
	f.callerAges.RetainOnly(classes)
	f.refresh()
	return true
}

// SetOutDomains replaces the set of failure domains that are out of service and receive no requests.
func (f *Dispatcher) SetOutDomains(outDomains ibisset.Set[ibisid.DomainName]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outDomains = outDomains
	f.refresh()
}

// SetPage replaces the ownership page of a service if the version is newer.
func (f *Dispatcher) SetPage(service ibisid.ServiceName, page ibisrange.Page, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pages[service].version < version {
		f.pages[service] = pageView{
			page:    page,
			version: version,
		}
	}
}

// UpdateRoster applies a change to the roster of members, and updates the choosers if it changed the roster.
func (f *Dispatcher) UpdateRoster(change func(r *ibisroster.Roster)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.roster.Revision()
	change(f.roster)
	if f.roster.Revision() != before {
		f.refresh()
	}
}

// Members returns the members whose backend servers belong to a service.
func (f *Dispatcher) Members(service ibisid.ServiceName) []ibisroster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ForService(service)
}

// FirstAvailable returns the first member of a failure domain, by name, that is neither stopping nor marked as unreachable,
// and whether there is one.
func (f *Dispatcher) FirstAvailable(domain ibisid.DomainName) (ibisroster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.FirstInDomain(domain, f.isAvailable)
}

// isAvailable reports whether a member is neither stopping nor marked as unreachable; f.mu is held.
func (f *Dispatcher) isAvailable(m ibisroster.Member) bool {
	return !m.Stopping && !f.unreachable.Has(m.Node)
}

// Reachable returns the members other than the own node that are neither stopping nor marked as unreachable, in random
// order.
func (f *Dispatcher) Reachable() []ibisroster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.roster.Matching(func(m ibisroster.Member) bool { return m.Node != f.settings.Node && f.isAvailable(m) })
	f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// MemberCount returns the number of members.
func (f *Dispatcher) MemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Len()
}

// Member returns a member and whether it is known.
func (f *Dispatcher) Member(node ibisid.NodeName) (ibisroster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Member(node)
}

// UnreachableNodes returns the names of the nodes that are marked as unreachable, in order.
func (f *Dispatcher) UnreachableNodes() []ibisid.NodeName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ibisset.Sorted(f.unreachable)
}

// SetUnreachable marks a node as unreachable or reachable; an unreachable node receives no requests.
func (f *Dispatcher) SetUnreachable(node ibisid.NodeName, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unreachable == f.unreachable.Has(node) {
		return
	}
	if unreachable {
		f.unreachable.Add(node)
	} else {
		f.unreachable.Remove(node)
	}
	f.refresh()
}

// ChooserConfig returns the configuration of the choosers of a node in the given place.
func ChooserConfig(own ibisid.Place) ibisbalancer.Config {
	return ibisbalancer.Config{
		Own:                 own,
		MinUsableCandidates: minChoice,
		EjectStragglers:     true,
	}
}

// Candidate returns the chooser's candidate for the backend server of a node, with its limit of unanswered requests.
func Candidate(node ibisid.NodeName, place ibisid.Place, slots int) ibisbalancer.Candidate {
	return ibisbalancer.Candidate{
		Node:  node,
		Place: place,
		Slots: slots * outstandingPerSlot,
	}
}

// refresh updates the candidates of every chooser from the roster; f.mu is held.
func (f *Dispatcher) refresh() {
	if f.config == nil {
		return
	}
	for _, name := range f.config.Services() {
		chooser := f.choosers[name]
		if chooser == nil {
			chooser = ibisbalancer.New(ChooserConfig(f.settings.Place), f.random)
			f.choosers[name] = chooser
		}
		var candidates []ibisbalancer.Candidate
		for _, m := range f.roster.ForService(name) {
			if m.AcceptsWork() && !f.outDomains.Has(m.Place.Domain) && !f.unreachable.Has(m.Node) {
				candidates = append(candidates, Candidate(m.Node, m.Place, m.Server.Slots))
			}
		}
		chooser.Update(ibisbalancer.CandidatesEvent{
			Candidates: ibisbalancer.SelectSubset(f.settings.Node, f.settings.Place, candidates),
		}, f.clock.Now())
	}
}

// Serve sends a request to a backend server and returns its answer, or an answer with the reason why there is none.
func (f *Dispatcher) Serve(ctx context.Context, request Request) ibismessage.Answer {
	p, refusal, ok := f.plan(request)
	if !ok {
		return refusal
	}
	body, rest, err := readBody(request, p.config.Limits().BodyBytes)
	if err != nil {
		reason := ibismessage.ReasonBadRequest
		if errors.Is(err, errTooLong) {
			reason = ibismessage.ReasonTooLong
		}
		return ibismessage.NotRun(reason, 0, err)
	}
	answer, tries := f.sendWithRetries(ctx, p, p.order(request, body, rest))
	f.meter.RecordRequest(p.route.Name, answer, f.clock.Now().Sub(request.Arrived))
	f.logRequest(request, p, answer, tries)
	return answer
}
