package ibiscell

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	ibisexample "github.com/ibisridge/ibisridge/examples"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

const (
	floorService = ibisid.ServiceName("print-floor")
	deskService  = ibisid.ServiceName("order-desk")
	shopToken    = "ibis_pirkanmaa-shops.till_e526812ef4cdc3a745e22b318a9dad390148fe5b210f3230"
	shopTenant   = ibisid.TenantName("pirkanmaa-shops")
	homeToken    = "ibis_oulu-shops.till_2d433839a8110da26afd3260f73e16eab54fa87f4d3db615"
	homeTenant   = ibisid.TenantName("oulu-shops")
	homeRegion   = ibisid.RegionName("pohjois-pohjanmaa")
	teamToken    = "ibisteam_platform_4b5a4f7f4a7ac9c18a6d6e8aa057bde392cb480d0ecd28a0"
	topology     = ibisdoc.SectionName("topology")

	worldSlots = 32
	worldNodes = 8
	// worldGrace stands for the manager's minute, so that cells that lose witnesses stay short.
	worldGrace = 4 * time.Second
	look       = 40 * time.Millisecond
	startLimit = 40 * time.Second
)

var worldPlaces = []ibisid.Place{
	{Region: "uusimaa", Domain: "helsinki-a"},
	{Region: "pirkanmaa", Domain: "tampere-a"},
	{Region: "pohjois-pohjanmaa", Domain: "oulu-a"},
	{Region: "uusimaa", Domain: "espoo-b"},
	{Region: "pirkanmaa", Domain: "nokia-b"},
	{Region: "pohjois-pohjanmaa", Domain: "kempele-b"},
	{Region: "uusimaa", Domain: "helsinki-a"},
	{Region: "pirkanmaa", Domain: "tampere-a"},
}

// world is a small system on fake time, run by one goroutine.
type world struct {
	timer    *ibistimer.Fake
	random   *rand.Rand
	store    *ibisstore.Store
	service  ibisid.ServiceName
	checks   bool
	nodes    []*node
	compiled map[ibissection.Version]*ibisdoc.Document
	spread   map[string]uint64
	pages    pageRecord
	orders   map[string]*order
	parked   []*parker
	points   func(point string, n *node)
	weather  weather
	changes  []*change
	out      map[ibisid.DomainName]time.Time
	// leaves is a failure domain that is being taken out.
	leaves  ibisid.DomainName
	broken  breaches
	started time.Time
	lastKey uint64
	load    bool
	looks   int
	// upset is when the last fault began or ended.
	upset time.Time
}

func newWorld(seed uint64, service ibisid.ServiceName, checks bool) *world {
	timer := ibistimer.NewFake(time.Unix(1_700_000_000, 0))
	w := &world{
		timer:    timer,
		random:   rand.New(rand.NewPCG(seed, 7)),
		store:    ibisstore.New(ibisstore.WithTimer(timer)),
		service:  service,
		checks:   checks,
		compiled: make(map[ibissection.Version]*ibisdoc.Document),
		spread:   make(map[string]uint64),
		orders:   make(map[string]*order),
		out:      make(map[ibisid.DomainName]time.Time),
		points:   func(string, *node) {},
		started:  timer.Now(),
	}
	w.pages = newPageRecord(service)
	w.firstDocument()
	for i := range worldNodes {
		w.add(ibisid.NodeName(fmt.Sprintf("n%d", i+1)), worldPlaces[i])
	}
	return w
}

// firstDocument commits the sample document with few slots.
func (w *world) firstDocument() {
	var sections ibisdoc.Sections
	if err := json.Unmarshal(ibisexample.Document("kynnysmatto"), &sections); err != nil {
		panic("sample document: " + err.Error())
	}
	sections["services/floor"] = fmt.Appendf(nil, `{"print-floor":{"keySpace":"mat","slots":%d,"retention":"24h","longestOrder":"2s","coldStart":"10s"}}`, worldSlots)
	sections["services/desk"] = fmt.Appendf(nil, `{"order-desk":{"slots":%d,"retention":"24h","longestOrder":"2s","coldStart":"10s"}}`, worldSlots)
	outcome := ibissection.New(w.store, w.store, w.timer).Init(w.context(), "first", sections)
	if outcome.Status != ibissection.StatusApplied {
		panic(fmt.Sprintf("first document: %s %s", outcome.Status, outcome.Reason))
	}
}

func (w *world) now() time.Time { return w.timer.Now() }

func (w *world) after(d time.Duration, f func()) { w.timer.After(d, func(time.Time) { f() }) }

// latency is the one-way time of a message, drawn from the seed.
func (w *world) latency() time.Duration {
	return time.Duration(w.random.IntN(8)+1) * time.Millisecond
}

// run lets time pass and looks at what must hold all the while.
func (w *world) run(d time.Duration) {
	for end := w.now().Add(d); w.now().Before(end); {
		w.timer.Advance(min(look, end.Sub(w.now())))
		w.check()
	}
}

// runUntil lets time pass until the condition holds, and reports false where it does not within the limit.
func (w *world) runUntil(limit time.Duration, holds func() bool) bool {
	for end := w.now().Add(limit); !holds(); {
		if !w.now().Before(end) {
			return false
		}
		w.run(look)
	}
	return true
}

// find returns the running process of the name, nil where there is none.
func (w *world) find(name ibisid.NodeName) *node {
	for _, n := range w.nodes {
		if n.name == name && !n.dead {
			return n
		}
	}
	return nil
}

// live lists the processes that run and are not frozen.
func (w *world) live() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.dead && !n.frozen {
			out = append(out, n)
		}
	}
	return out
}

// slots lists the slots that the world looks after.
func (w *world) slots() []ibisid.Slot {
	var out []ibisid.Slot
	for _, space := range w.pages.spaces {
		for i := range worldSlots {
			out = append(out, ibisid.Slot{
				Space: space,
				Index: ibisid.SlotIndex(i),
			})
		}
	}
	return out
}

// settled reports whether each slot has one node that runs its requests and that every live node knows.
func (w *world) settled() bool {
	for _, slot := range w.slots() {
		owner := w.admitter(slot)
		if owner == nil {
			return false
		}
		for _, n := range w.live() {
			if p, ok := n.manager.Owner(slot, ""); !n.leaving && (!ok || p.Member != owner.manager.Self().Member) {
				return false
			}
		}
	}
	return true
}

// admitter returns the first node that would run a request of the slot now.
func (w *world) admitter(slot ibisid.Slot) *node {
	for _, n := range w.live() {
		if permit := n.tryAdmit(slot); permit != nil {
			ok := permit.Check() == nil
			permit.Release()
			if ok {
				return n
			}
		}
	}
	return nil
}

// close ends what still waits.
func (w *world) close() {
	for _, n := range w.nodes {
		n.dead = true
		n.stop()
	}
	for _, p := range w.parked {
		p.abort()
	}
}
