package ibisfront

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
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibispursue"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibischoose"
)

const (
	// bufferedBody is the greatest body that is held in memory, so that it can be sent again.
	bufferedBody = 64 << 10
	// minChoice is the number of usable backend servers below which those further away are taken in.
	minChoice = 2
	// outstandingPerSlot is how many requests of one node may be on their way to a backend server for each of its slots: as
	// many again as run may wait at the gate.
	outstandingPerSlot = 2
	// ordinaryEvery is how many ordinary requests share one log line, so that lines take at most 3% of a node's time.
	ordinaryEvery = 10
)

// Peers sends an order to a node, the own one included.
type Peers interface {
	// Send sends an order to the node beside a backend server.
	Send(ctx context.Context, member ibisroster.Member, order ibisorder.Order) ibisorder.Answer
}

// Meter counts how requests end.
type Meter interface {
	// Ended counts a request of a caller that ended after the time.
	Ended(class ibisid.ClassName, answer ibisorder.Answer, held time.Duration)
}

// Config is what a front knows of its node.
type Config struct {
	// Node is the own node.
	Node ibisid.NodeName
	// Place is where it stands.
	Place ibisid.Place
}

// Front takes callers' requests; it is safe for concurrent use.
type Front struct {
	settings Config
	peers    Peers
	meter    Meter
	clock    ibistimer.Service
	log      *zap.Logger
	// ordinary counts requests that were answered in time at the first try.
	ordinary atomic.Uint64

	mu       sync.Mutex
	config   *ibisroute.Config
	out      ibisset.Set[ibisid.DomainName]
	roster   *ibisroster.Roster
	pages    map[ibisid.ServiceName]pageView
	choosers map[ibisid.ServiceName]*ibischoose.Chooser
	splitter *ibisroute.Splitter
	retries  *ibispursue.Budget
	ages     *ibispursue.Ages
	random   *rand.Rand
	nextID   ibischoose.RequestID
	down     ibisset.Set[ibisid.NodeName]
}

// pageView is a page with the version of its row.
type pageView struct {
	page    ibiskeep.Page
	version uint64
}

// New returns a front that knows no configuration; random spreads times to come back and ties between servers.
func New(settings Config, peers Peers, meter Meter, clock ibistimer.Service, random *rand.Rand, log *zap.Logger) *Front {
	return &Front{
		settings: settings,
		peers:    peers,
		meter:    meter,
		clock:    clock,
		log:      log,
		roster:   ibisroster.New(),
		pages:    make(map[ibisid.ServiceName]pageView),
		choosers: make(map[ibisid.ServiceName]*ibischoose.Chooser),
		splitter: ibisroute.NewSplitter(),
		random:   random,
		retries:  ibispursue.NewBudget(),
		ages:     ibispursue.NewAges(),
		down:     make(ibisset.Set[ibisid.NodeName]),
	}
}

// Config returns the configuration in force, nil before the first.
func (f *Front) Config() *ibisroute.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetConfig puts a configuration in force unless a newer one is, and reports whether it did.
func (f *Front) SetConfig(config *ibisroute.Config) bool {
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
	f.ages.Keep(classes)
	f.refresh()
	return true
}

// SetOut replaces the failure domains that take no work.
func (f *Front) SetOut(out ibisset.Set[ibisid.DomainName]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = out
	f.refresh()
}

// SetPage takes in a page that is newer than the one known.
func (f *Front) SetPage(service ibisid.ServiceName, page ibiskeep.Page, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pages[service].version < version {
		f.pages[service] = pageView{
			page:    page,
			version: version,
		}
	}
}

// UpdateRoster changes what is known of the members.
func (f *Front) UpdateRoster(change func(r *ibisroster.Roster)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.roster.Revision()
	change(f.roster)
	if f.roster.Revision() != before {
		f.refresh()
	}
}

// Members returns the members whose backend servers belong to a service.
func (f *Front) Members(service ibisid.ServiceName) []ibisroster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Of(service)
}

// First returns the first member by name of a failure domain that isn't stopping or known to be down.
func (f *Front) First(domain ibisid.DomainName) (ibisroster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.First(domain, f.answers)
}

// answers reports whether a member isn't stopping or known to be down; the lock is held.
func (f *Front) answers(m ibisroster.Member) bool { return !m.Stopping && !f.down.Has(m.Node) }

// Reachable returns the other members that aren't stopping or known to be down, in random order.
func (f *Front) Reachable() []ibisroster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.roster.Where(func(m ibisroster.Member) bool { return m.Node != f.settings.Node && f.answers(m) })
	f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Known returns the number of members.
func (f *Front) Known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Len()
}

// Member returns a member and whether it is known.
func (f *Front) Member(node ibisid.NodeName) (ibisroster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Member(node)
}

// Down returns the nodes that can't be reached, in order.
func (f *Front) Down() []ibisid.NodeName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ibisset.Sorted(f.down)
}

// SetDown says whether a node can't be reached; one that can't gets no requests.
func (f *Front) SetDown(node ibisid.NodeName, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down == f.down.Has(node) {
		return
	}
	if down {
		f.down.Add(node)
	} else {
		f.down.Remove(node)
	}
	f.refresh()
}

// ChooserConfig returns how the relay sets a node's choosers up.
func ChooserConfig(own ibisid.Place) ibischoose.Config {
	return ibischoose.Config{
		Own:       own,
		MinChoice: minChoice,
		Aside:     true,
	}
}

// Candidate returns a backend server as the relay's choosers know it.
func Candidate(node ibisid.NodeName, place ibisid.Place, slots int) ibischoose.Candidate {
	return ibischoose.Candidate{
		Node:  node,
		Place: place,
		Slots: slots * outstandingPerSlot,
	}
}

// refresh gives every chooser its candidates.
func (f *Front) refresh() {
	if f.config == nil {
		return
	}
	for _, name := range f.config.Services() {
		chooser := f.choosers[name]
		if chooser == nil {
			chooser = ibischoose.New(ChooserConfig(f.settings.Place), f.random)
			f.choosers[name] = chooser
		}
		var candidates []ibischoose.Candidate
		for _, m := range f.roster.Of(name) {
			if m.Serves() && !f.out.Has(m.Place.Domain) && !f.down.Has(m.Node) {
				candidates = append(candidates, Candidate(m.Node, m.Place, m.Server.Slots))
			}
		}
		chooser.Update(ibischoose.CandidatesEvent{
			Candidates: ibischoose.Subset(f.settings.Node, f.settings.Place, candidates),
		}, f.clock.Now())
	}
}

// Serve brings a request to a backend server and returns its answer, or why there is none.
func (f *Front) Serve(ctx context.Context, request Request) ibisorder.Answer {
	p, refusal, ok := f.plan(request)
	if !ok {
		return refusal
	}
	body, rest, err := readBody(request, p.config.Limits().BodyBytes)
	if err != nil {
		reason := ibisorder.ReasonBadRequest
		if errors.Is(err, errTooLong) {
			reason = ibisorder.ReasonTooLong
		}
		return ibisorder.NotRun(reason, 0, err)
	}
	answer, tries := f.pursue(ctx, p, p.order(request, body, rest))
	f.meter.Ended(p.route.Name, answer, f.clock.Now().Sub(request.Arrived))
	f.tell(request, p, answer, tries)
	return answer
}
