package ibismodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisagenda"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

const (
	// reportEvery is how often servers report their load to baselines.
	reportEvery = 500 * time.Millisecond
	// noticeDelay is how long other nodes take to know that a server has come or gone: a row's commit and the gathering of a feed.
	noticeDelay = 800 * time.Millisecond
	// lapseDelay is how long keys of a node that can't be reached stay with it: a lease's term and a look at it.
	lapseDelay = 10500 * time.Millisecond
	// settleTime is how long the model runs on after the last request, so that all of them end.
	settleTime = 15 * time.Second
)

// Purposes of random numbers, so that a change of one draws no other number for another.
const (
	drawArrivals = iota
	drawHabits
	drawKeys
	drawServers
	drawNodes
	drawFaults
)

// world is one run of a model.
type world struct {
	*ibisagenda.Agenda
	config   Config
	policy   Policy
	start    time.Time
	until    time.Time
	arrivals *rand.Rand
	habits   *rand.Rand
	keys     *rand.Rand
	nodes    []*node
	byName   map[ibisid.NodeName]*node
	byRegion [][]*node
	order    []*service
	services map[ibisid.ServiceName]*service
	classes  map[ibisid.ClassName]*Class
	nextID   uint64
	tally    *tally
}

// Run runs a model whose configuration is valid with a policy from a seed.
func Run(config Config, policy Policy, seed uint64) Result {
	w := newWorld(config, policy, seed)
	for i := range config.Classes {
		if class := &w.config.Classes[i]; class.PerSecond > 0 {
			w.arriveNext(class)
		}
	}
	w.planTicks()
	w.planReports()
	w.planNoise(seed)
	for i, f := range config.Faults {
		w.planFault(f, source(seed, drawFaults, i))
	}
	w.RunUntil(w.until.Add(settleTime))
	return w.result()
}

func source(seed uint64, purpose, index int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(purpose)<<32|uint64(index)))
}

func newWorld(config Config, policy Policy, seed uint64) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{
		Agenda:   ibisagenda.New(start),
		config:   config,
		policy:   policy,
		start:    start,
		until:    start.Add(config.Duration.Duration),
		arrivals: source(seed, drawArrivals, 0),
		habits:   source(seed, drawHabits, 0),
		keys:     source(seed, drawKeys, 0),
		byName:   make(map[ibisid.NodeName]*node),
		byRegion: make([][]*node, config.Fleet.Regions),
		services: make(map[ibisid.ServiceName]*service),
		classes:  make(map[ibisid.ClassName]*Class),
	}
	for i := range w.config.Classes {
		w.classes[w.config.Classes[i].Name] = &w.config.Classes[i]
	}
	w.tally = newTally(w)
	for i := range w.config.Services {
		w.addService(&w.config.Services[i], seed)
	}
	for _, n := range w.nodes {
		n.list(w.order, start)
	}
	return w
}

func (w *world) addService(config *Service, seed uint64) {
	s := &service{
		config: config,
		policy: ibisadmit.Policy{
			Classes: make(map[ibisid.ClassName]ibisadmit.ClassPolicy),
		},
	}
	for _, class := range w.config.Classes {
		if class.Service == config.Name {
			s.policy.Classes[class.Name] = ibisadmission.ClassPolicy(class.Priority)
		}
	}
	w.services[config.Name] = s
	w.order = append(w.order, s)
	for i := range config.Servers {
		domain := i % (w.config.Fleet.Regions * w.config.Fleet.DomainsPerRegion)
		region := domain % w.config.Fleet.Regions
		index := len(w.nodes)
		n := &node{
			name: ibisid.NodeName(fmt.Sprintf("%s-%05d", config.Name, i)),
			place: ibisid.Place{
				Region: ibisid.RegionName(fmt.Sprintf("region-%d", region+1)),
				Domain: ibisid.DomainName(fmt.Sprintf("domain-%d", domain+1)),
			},
			region:     region,
			service:    s,
			choosers:   make(map[ibisid.ServiceName]*ibisbalancer.Chooser),
			sent:       make(map[ibisid.NodeName]int),
			budget:     ibisretrypolicy.NewBudget(),
			callerAges: ibisretrypolicy.NewCallerAges(),
			random:     source(seed, drawNodes, index),
			reachable:  true,
			listed:     true,
		}
		n.server = newServer(n, config, source(seed, drawServers, index))
		n.renew(w.policy, w.Now())
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
		w.byRegion[region] = append(w.byRegion[region], n)
		s.nodes = append(s.nodes, n)
	}
	s.divide()
}

// delay is the one-way delay between two nodes.
func (w *world) delay(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region != b.region:
		return w.config.Fleet.RegionDelay.Duration
	case a.place.Domain != b.place.Domain:
		return w.config.Fleet.DomainDelay.Duration
	}
	return w.config.Fleet.DomainDelay.Duration / 2
}

// arriveNext plans the next request of a class; the rate is that of all regions together.
func (w *world) arriveNext(class *Class) {
	most := w.greatestFactor(class)
	gap := w.arrivals.ExpFloat64() / class.PerSecond / most
	w.After(time.Duration(gap*float64(time.Second)), func() {
		if w.Now().After(w.until) {
			return
		}
		region := w.arrivals.IntN(len(w.byRegion))
		nodes := w.byRegion[region]
		// Arrivals are drawn at the greatest rate and thinned to the rate of the moment.
		drawn := w.arrivals.Float64() * most
		if len(nodes) > 0 {
			n := nodes[w.arrivals.IntN(len(nodes))]
			if drawn < w.factor(class, region) && n.reachable {
				w.issue(class, n)
			}
		}
		w.arriveNext(class)
	})
}

func (w *world) greatestFactor(class *Class) float64 {
	most := 1.0
	for _, s := range w.config.Surges {
		if s.Class == "" || s.Class == class.Name {
			most = max(most, s.Factor)
		}
	}
	return most
}

// factor returns what the rate of a class is multiplied by now, by the latest surge that applies.
func (w *world) factor(class *Class, region int) float64 {
	factor := 1.0
	since := w.Now().Sub(w.start)
	for _, s := range w.config.Surges {
		applies := (s.Class == "" || s.Class == class.Name) && (s.Region == 0 || s.Region-1 == region)
		if applies && since >= s.At.Duration && since < s.At.Duration+s.For.Duration {
			factor = s.Factor
		}
	}
	return factor
}

// drawKey draws a key: of the hot span, which moves, or of all.
func (w *world) drawKey() int {
	k := w.config.Keys
	if k.HotShare == 0 || w.keys.Float64() >= k.HotShare {
		return w.keys.IntN(keySpace)
	}
	width := max(1, int(k.HotWidth*keySpace))
	moves := 0
	if k.MoveEvery.Duration > 0 {
		moves = int(w.Now().Sub(w.start) / k.MoveEvery.Duration)
	}
	// The golden ratio spreads the places of the hot span evenly, however often it moves.
	from := int(float64(moves+1)*0.618033988749895*keySpace) % keySpace
	return (from + w.keys.IntN(width)) % keySpace
}

// planTicks keeps the gates' time going while something waits.
func (w *world) planTicks() {
	if w.Now().After(w.until.Add(settleTime)) || w.policy != PolicyRelay {
		return
	}
	for _, n := range w.nodes {
		if len(n.waiting) > 0 {
			w.update(n, ibisadmit.TickEvent{})
		}
	}
	w.After(ibisadmit.TickPeriod, w.planTicks)
}

func (w *world) planReports() {
	if w.Now().After(w.until) {
		return
	}
	for _, n := range w.nodes {
		n.server.reported = n.server.load()
	}
	w.After(reportEvery, w.planReports)
}
