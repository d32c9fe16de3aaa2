package ibisowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// ticksPerHeartbeat is the number of ticks that the state machines get in a heartbeat period.
const ticksPerHeartbeat = 8

// Caller makes control calls to other nodes.
type Caller interface {
	// Call runs a method at the node with the address, and returns an error if no answer arrives.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Gate is the part of the node's admission gate that the manager uses.
type Gate interface {
	// LatestAnnouncement returns the latest announcement of the backend server and whether it is still current.
	LatestAnnouncement() (ibisbackend.Announcement, bool)
	// SetDomain applies the state that operators set for the node's failure domain.
	SetDomain(event ibisadmit.DomainEvent)
}

// Config describes the node of a manager.
type Config struct {
	// Name is the node's name.
	Name ibisid.NodeName
	// Place is the region and failure domain of the node.
	Place ibisid.Place
	// PeerAddress is the address for other nodes, as host:port.
	PeerAddress string
	// CallerAddress is the address for callers, as host:port.
	CallerAddress string
	// SoleProcess means that the platform never starts the node while an earlier process of its name may still run. The
	// node may then declare its own earlier incarnation dead; otherwise that needs the promises of its witnesses.
	SoleProcess bool
}

// Dependencies are the dependencies of a manager.
type Dependencies struct {
	// Table is the platform's table.
	Table ibisplatform.Table
	// Rows is the node's view of the coordination rows.
	Rows *ibisrowcache.Rows
	// Peers makes control calls to other nodes.
	Peers Caller
	// Gate is the node's admission gate.
	Gate Gate
	// Memory is the at-most-once memory.
	Memory *ibisidempotencydriver.Memory
	// Timer is the clock and schedules callbacks.
	Timer ibistimer.Service
	// Log receives the log lines.
	Log *zap.Logger
}

// Manager manages the node's lease and slots and its view of the other members. The fields below mu need mu.
type Manager struct {
	config       Config
	terms        ibislease.Terms
	table        ibisplatform.Table
	rows         *ibisrowcache.Rows
	peers        Caller
	gate         Gate
	memory       *ibisidempotencydriver.Memory
	timer        ibistimer.Service
	log          *zap.Logger
	starter      Starter
	witnessGrace time.Duration
	// started is the time from which the times in heartbeats count.
	started time.Time
	ctx     atomic.Pointer[context.Context]

	lease            *leaseClock
	routes           *routes
	hints            *hints
	holdings         *holdings
	handOvers        *handOvers
	loadMeter        *loadMeter
	inForce          atomic.Pointer[ibisdoc.Document]
	keyRules         keyRules
	unclaimedRecords atomic.Int64
	view             atomic.Pointer[membersView]
	selfPeer         atomic.Pointer[Peer]
	counts           counts

	mu                 sync.Mutex
	epoch              uint64
	tasks              []task
	service            ibisid.ServiceName
	announced          ibislease.Announcement
	serving            bool
	document           *ibisdoc.Document
	rules              *rules
	deadlineBound      deadlineBound
	members            map[ibisid.NodeName]*memberState
	interned           interned
	directMembers      ibisset.Set[ibisid.NodeName]
	sortedNames        []ibisid.NodeName
	dead               map[ibisid.Member]deadState
	membersChanged     bool
	nextView           time.Time
	inferDeathsDue     bool
	membersStableSince time.Time
	pageIDs            map[string]ibisslot.PageID
	spaces             []ibiscoordinator.SpaceEvent
	spacesOpened       bool
	nextOpen           time.Time
	domains            domains
	leaving            bool
	left               bool
	batches            map[ibisslot.PageID]*ibismove.Batch
	plannedMoves       map[ibisslot.PageID]map[int]ibisid.Member
	plannedKeyMoves    map[ibisslot.PageID]map[ibisslot.KeyHash]ibisid.Member
	hot                hotKeys
	nextMoveAt         map[ibisslot.PageID]time.Time
	sequence           uint64
	receivedRecords    map[unitID]ibisidempotency.Record
	// changedSlots are the slots whose waiting requests wake once the routes are up to date.
	changedSlots    []ibisid.Slot
	ids             *ids
	pages           *ibisslot.Map
	holder          *ibislease.Holder
	witness         *ibislease.Witness
	claimant        *ibislease.Claimant
	coordinator     *ibiscoordinator.Coordinator
	receiver        *ibismove.Receiver
	nextPrune       time.Time
	nextOrphanCheck time.Time
	leaseLastValid  time.Time
}

// Option configures a manager.
type Option func(*Manager)

// WithTerms sets the lease terms; the default terms fit a takeover budget of 5 s.
func WithTerms(terms ibislease.Terms) Option { return func(m *Manager) { m.terms = terms } }

// WithStarter sets the Starter that runs tasks; the default is a bounded pool of goroutines.
func WithStarter(starter Starter) Option { return func(m *Manager) { m.starter = starter } }

// WithWitnessGrace sets how long a member whose own lease lapsed still renews the leases of others. All nodes must use
// the same value; the default is 60 s.
func WithWitnessGrace(witnessGrace time.Duration) Option {
	return func(m *Manager) { m.witnessGrace = witnessGrace }
}

// New returns a manager. The backend server must have announced itself to the gate.
func New(config Config, dependencies Dependencies, options ...Option) *Manager {
	now := dependencies.Timer.Now()
	m := &Manager{
		config:        config,
		terms:         ibislease.DefaultTerms(),
		table:         dependencies.Table,
		rows:          dependencies.Rows,
		peers:         dependencies.Peers,
		gate:          dependencies.Gate,
		memory:        dependencies.Memory,
		timer:         dependencies.Timer,
		log:           dependencies.Log,
		starter:       newWorkers(),
		witnessGrace:  defaultWitnessGrace,
		started:       now,
		lease:         newLeaseClock(now),
		routes:        newRoutes(),
		hints:         newHints(),
		holdings:      newHoldings(),
		handOvers:     newHandOvers(),
		loadMeter:     newLoadMeter(now),
		keyRules:      keyRules{base: now},
		hot:           newHotKeys(now),
		members:       make(map[ibisid.NodeName]*memberState),
		interned:      make(interned),
		directMembers: ibisset.Of[ibisid.NodeName](),
		dead:          make(map[ibisid.Member]deadState),
		pageIDs:       make(map[string]ibisslot.PageID),
		pages:         ibisslot.NewMap(),
	}
	for _, option := range options {
		option(m)
	}
	m.rules = &rules{manager: m}
	m.readServer()
	m.startIncarnation(ibisid.Incarnation(now.UnixNano()), now)
	m.publishView()
	return m
}

// Run joins the system and manages ownership until the context ends; it always returns nil.
func (m *Manager) Run(ctx context.Context) error {
	stop := m.Start(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

// Start joins the system and returns a function that stops the periodic work.
func (m *Manager) Start(ctx context.Context) func() {
	m.ctx.Store(&ctx)
	m.rows.Subscribe(ibislease.MemberPrefix, m.onMemberRow)
	m.rows.Subscribe(ibislease.DeathsPrefix, m.onDeathsRow)
	m.rows.Subscribe(ibisslot.PagePrefix, m.onPageRow)
	every := m.timer.Every(m.terms.Heartbeat/ticksPerHeartbeat, func(time.Time) { m.update(m.tick) })
	return every.Stop
}

func (m *Manager) context() context.Context {
	if ctx := m.ctx.Load(); ctx != nil {
		return *ctx
	}
	return context.Background()
}

// startIncarnation creates the state machines of a new incarnation, which inherits no at-most-once memory and no slots.
func (m *Manager) startIncarnation(incarnation ibisid.Incarnation, now time.Time) {
	self := ibisid.Member{
		Name:        m.config.Name,
		Incarnation: incarnation,
	}
	m.epoch++
	m.ids = &ids{member: self}
	m.batches = make(map[ibisslot.PageID]*ibismove.Batch)
	m.plannedMoves = make(map[ibisslot.PageID]map[int]ibisid.Member)
	m.plannedKeyMoves = make(map[ibisslot.PageID]map[ibisslot.KeyHash]ibisid.Member)
	m.nextMoveAt = make(map[ibisslot.PageID]time.Time)
	m.receivedRecords = make(map[unitID]ibisidempotency.Record)
	m.holder = ibislease.NewHolder(m.terms, ibislease.Row{
		Member:        self,
		Place:         m.config.Place,
		PeerAddress:   m.config.PeerAddress,
		CallerAddress: m.config.CallerAddress,
		Announcement:  m.announced,
		State:         ibislease.StateJoining,
	})
	m.witness = ibislease.NewWitness(m.terms, self, now)
	m.claimant = ibislease.NewClaimant(m.terms, self)
	m.receiver = ibismove.NewReceiver(self)
	m.coordinator = ibiscoordinator.New(self, m.pages, m.rules, m.ids)
	m.leaseLastValid = now
	m.spacesOpened = false
	m.membersChanged = true
	m.inferDeathsDue = true
	m.publishSelf()
}

// rejoin releases all slots of the dead incarnation and starts the next one with an empty at-most-once memory.
func (m *Manager) rejoin(after ibisid.Incarnation, now time.Time) {
	m.log.Warn("this incarnation can never hold a lease again; releasing all slots and joining as a new one", zap.Uint64("incarnation", uint64(m.holder.Self().Incarnation)))
	m.counts.rejoins.Add(1)
	m.lease.publish(time.Time{}, false)
	slots := m.holdings.clear()
	m.memory.WithCore(func(core *ibisidempotency.Memory) {
		for _, slot := range slots {
			core.Drop(slot)
		}
	})
	m.startIncarnation(max(after+1, ibisid.Incarnation(now.UnixNano())), now)
	m.replayMembers(now)
}

// tick gives every state machine the current time and starts what is due.
func (m *Manager) tick(now time.Time) {
	m.readServer()
	m.refreshCandidates(now)
	m.announce(now)
	m.updateLeaseCore(m.holder, ibislease.TickEvent{}, now)
	m.updateLeaseCore(m.witness, ibislease.TickEvent{}, now)
	m.watchDirect(now)
	m.watchOrphans(now)
	m.updateLeaseCore(m.claimant, ibislease.TickEvent{}, now)
	m.openSpaces(now)
	m.inferDeaths(now)
	m.rampDomains(now)
	m.coordinate(ibiscoordinator.TickEvent{}, now)
	m.evacuate()
	m.evacuateKeys()
	m.tickHot(now)
	m.startMoves(now)
	m.tickMoves(now)
	m.pruneDeaths(now)
}
