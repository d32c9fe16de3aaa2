package ibisdispatch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
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
	"github.com/ibisridge/ibisridge/internal/relay/ibisshutdown"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
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
	// Send sends an order to a node, which runs it on the backend server of its instance.
	Send(ctx context.Context, member ibisroster.Member, order ibismessage.Order) ibismessage.Answer
}

// Meter counts finished requests.
type Meter interface {
	// RecordRequest counts a request of a caller, with its answer and the time from its arrival to its answer.
	RecordRequest(class ibisid.ClassName, answer ibismessage.Answer, held time.Duration)
	// RecordAccount counts a request of a client account with its answer.
	RecordAccount(account ibisid.TenantName, answer ibismessage.Answer)
	// RecordCut counts a request of a caller whose connection was closed without a complete answer.
	RecordCut(cause ibismessage.CutCause)
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
	evidence Evidence
	clock    ibistimer.Service
	log      *zap.Logger
	// ordinary counts requests that were answered within their target at the first try.
	ordinary atomic.Uint64

	// inForce is config, for reads without the lock.
	inForce atomic.Pointer[ibisroute.Config]
	// refusalLog limits the log lines about refused requests of accounts.
	refusalLog refusalLog

	mu          sync.Mutex
	config      *ibisroute.Config
	configSince time.Time
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
	// notices holds what backend servers say about themselves, by node, unless that is empty.
	notices    map[ibisid.NodeName]ibismessage.ServerNotice
	quarantine *ibisquarantine.Ledger
	verifier   ConfigVerifier
	quota      Quota
	calls      Calls
	shutdown   ibisshutdown.Schedule
}

// pageView is an ownership page with the version of its row.
type pageView struct {
	page    ibisrange.Page
	version uint64
}

// New returns a dispatcher without a configuration; random adds jitter to retry-after times and breaks ties between servers.
func New(settings Config, peers Peers, meter Meter, evidence Evidence, clock ibistimer.Service, random *rand.Rand, log *zap.Logger) *Dispatcher {
	return &Dispatcher{
		settings:    settings,
		peers:       peers,
		meter:       meter,
		evidence:    evidence,
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
		notices:     make(map[ibisid.NodeName]ibismessage.ServerNotice),
		quarantine:  ibisquarantine.New(),
	}
}

// Config returns the configuration in force, or nil before the first SetConfig.
func (d *Dispatcher) Config() *ibisroute.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// Repeatable reports whether the configuration has a route for the host and path, and requests of it may be repeated.
func (d *Dispatcher) Repeatable(host, path string) bool {
	config := d.Config()
	if config == nil {
		return false
	}
	route, ok := config.Match(host, path)
	return ok && route.Kind.Repeatable()
}

// ConfigSince returns when the configuration in force was set, the zero time before the first SetConfig.
func (d *Dispatcher) ConfigSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configSince
}

// SetConfig puts a configuration in force unless the present one is as new or newer, and reports whether it did.
func (d *Dispatcher) SetConfig(config *ibisroute.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && d.config.Version() >= config.Version() {
		return false
	}
	d.removeChoosers(d.config, config)
	d.config, d.configSince = config, d.clock.Now()
	d.inForce.Store(config)
	classes := make(ibisset.Set[ibisid.ClassName])
	for _, route := range config.Routes() {
		classes.Add(route.Name)
	}
	d.callerAges.RetainOnly(classes)
	d.refresh()
	return true
}

// SetOutDomains replaces the set of failure domains that are out of service and receive no requests.
func (d *Dispatcher) SetOutDomains(outDomains ibisset.Set[ibisid.DomainName]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outDomains = outDomains
	d.refresh()
}

// SetPage replaces the ownership page of a service if the version is newer. A page that was written in an earlier era of the
// store than it was read in may lack the last moves, so it doesn't replace a known page.
func (d *Dispatcher) SetPage(service ibisid.ServiceName, page ibisrange.Page, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.pages[service].version
	if known < version && (known == 0 || page.Era == ibisstore.EraOf(version)) {
		d.pages[service] = pageView{
			page:    page,
			version: version,
		}
	}
}

// UpdateRoster applies a change to the roster of members, and updates the choosers if it changed the roster.
func (d *Dispatcher) UpdateRoster(change func(r *ibisroster.Roster)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.roster.Revision()
	change(d.roster)
	if d.roster.Revision() != before {
		d.discardNotices()
		d.refresh()
	}
}

// Members returns the members whose backend servers belong to a service.
func (d *Dispatcher) Members(service ibisid.ServiceName) []ibisroster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.ForService(service)
}

// FirstAvailable returns the first member of a failure domain, by name, that is neither stopping nor marked as unreachable,
// and whether there is one.
func (d *Dispatcher) FirstAvailable(domain ibisid.DomainName) (ibisroster.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.FirstInDomain(domain, d.isAvailable)
}

// isAvailable reports whether a member is neither stopping nor marked as unreachable; d.mu is held.
func (d *Dispatcher) isAvailable(m ibisroster.Member) bool {
	return !m.Stopping && !d.unreachable.Has(m.Node)
}

// Reachable returns the members other than the own node that are neither stopping nor marked as unreachable, in random
// order.
func (d *Dispatcher) Reachable() []ibisroster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.roster.Matching(func(m ibisroster.Member) bool { return m.Node != d.settings.Node && d.isAvailable(m) })
	d.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// AllMembers returns all members, in no particular order.
func (d *Dispatcher) AllMembers() []ibisroster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Matching(func(ibisroster.Member) bool { return true })
}

// MemberCount returns the number of members.
func (d *Dispatcher) MemberCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Len()
}

// Member returns a member and whether it is known.
func (d *Dispatcher) Member(node ibisid.NodeName) (ibisroster.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Member(node)
}

// UnreachableNodes returns the names of the nodes that are marked as unreachable, in order.
func (d *Dispatcher) UnreachableNodes() []ibisid.NodeName {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ibisset.Sorted(d.unreachable)
}

// SetUnreachable marks a node as unreachable or reachable; an unreachable node receives no requests.
func (d *Dispatcher) SetUnreachable(node ibisid.NodeName, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if unreachable == d.unreachable.Has(node) {
		return
	}
	if unreachable {
		d.unreachable.Add(node)
	} else {
		d.unreachable.Remove(node)
	}
	d.refresh()
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

// refresh updates the candidates of every chooser from the roster, also of services that the configuration has dropped, which
// running requests may still be sent to; d.mu is held.
func (d *Dispatcher) refresh() {
	if d.config == nil {
		return
	}
	for _, name := range d.config.Services() {
		d.chooser(name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.choosers)) {
		d.updateCandidates(name)
	}
}

// chooser returns the chooser of a service and creates it if necessary; d.mu is held.
func (d *Dispatcher) chooser(service ibisid.ServiceName) *ibisbalancer.Chooser {
	if d.choosers[service] == nil {
		d.choosers[service] = ibisbalancer.New(ChooserConfig(d.settings.Place), d.random)
		d.updateCandidates(service)
	}
	return d.choosers[service]
}

// updateCandidates updates the candidates of a service's chooser from the roster; d.mu is held.
func (d *Dispatcher) updateCandidates(service ibisid.ServiceName) {
	var candidates []ibisbalancer.Candidate
	for _, m := range d.roster.ForService(service) {
		if m.AcceptsWork() && !d.isLeaving(m) && !d.outDomains.Has(m.Place.Domain) && !d.unreachable.Has(m.Node) {
			candidates = append(candidates, Candidate(m.Node, m.Place, m.Server.Slots))
		}
	}
	d.choosers[service].Update(ibisbalancer.CandidatesEvent{
		Candidates: ibisbalancer.SelectSubset(d.settings.Node, d.settings.Place, candidates),
	}, d.clock.Now())
}

// removeChoosers removes the choosers of services that neither of two successive configurations has; d.mu is held.
func (d *Dispatcher) removeChoosers(before, after *ibisroute.Config) {
	if before == nil {
		return
	}
	maps.DeleteFunc(d.choosers, func(name ibisid.ServiceName, _ *ibisbalancer.Chooser) bool {
		_, had := before.Service(name)
		_, has := after.Service(name)
		return !had && !has
	})
}

// Serve sends a request to a backend server and returns its answer, or an answer with the reason why there is none.
func (d *Dispatcher) Serve(ctx context.Context, request Request) (answer ibismessage.Answer) {
	p, refusal, ok := d.plan(request)
	if refusal.Reason == ibismessage.ReasonNoRoute || refusal.Reason == ibismessage.ReasonUnauthorized {
		p, refusal, ok = d.planVerified(ctx, request)
	}
	if !ok {
		d.recordRefusal(request, p, refusal)
		return refusal
	}
	endCall := d.beginCall(request, &p)
	defer func() { endCall(ctx, answer) }()
	releaseToken, quotaRefusal, ok := d.takeToken(ctx, p.account, p.route.Target)
	if !ok {
		d.recordQuotaRefusal(request, p, quotaRefusal)
		return quotaRefusal.answer
	}
	answer = d.run(ctx, p)
	if answer.Outcome == ibisid.OutcomeNotRun {
		releaseToken()
	}
	return answer
}

// run reads the body of a planned request, sends the request to a backend server and returns its answer.
func (d *Dispatcher) run(ctx context.Context, p plan) ibismessage.Answer {
	request := p.request
	limit := p.config.Limits().BodyBytes
	release, ok := holdBody(request, limit)
	if !ok {
		return ibismessage.NotRun(ibismessage.ReasonMemory, d.retryAfter(memoryRetryAfter), nil)
	}
	defer release()
	body, rest, err := readBody(request, limit)
	if err != nil {
		reason := ibismessage.ReasonBadRequest
		if errors.Is(err, errTooLong) {
			reason = ibismessage.ReasonTooLong
		}
		return ibismessage.NotRun(reason, 0, err)
	}
	order := p.order(body, rest)
	answer, tries := d.sendWithLimit(ctx, p, order, limit)
	d.record(request, p, answer)
	d.logRequest(request, p, order, answer, tries)
	return answer
}
