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
	ctx          atomic.Pointer[context.Context]

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
	changedSlots   []ibisid.Slot
	ids            *ids
	pages          *ibisslot.Map
	holder         *ibislease.Holder
	witness        *ibislease.Witness
	claimant       *ibislease.Claimant
	coordinator    *ibiscoordinator.Coordinator
	receiver       *ibismove.Receiver
	nextPrune      time.Time
	nextOrphans    time.Time
	leaseLastValid time.Time
}

// Option configures a manager.
type Option func(*Manager)

// WithTerms sets the lease terms; the default terms fit a takeover budget of 5 s.
func WithTerms(terms ibislease.Terms) Option { return func(k *Manager) { k.terms = terms } }

// WithStarter sets the Starter that runs tasks; the default is a bounded pool of goroutines.
func WithStarter(starter Starter) Option { return func(k *Manager) { k.starter = starter } }

// WithWitnessGrace sets how long a member whose own lease lapsed still renews the leases of others. All nodes must use the
// same value; the default is 60 s.
func WithWitnessGrace(witnessGrace time.Duration) Option {
	return func(k *Manager) { k.witnessGrace = witnessGrace }
}

// New returns a manager. The backend server must have announced itself to the gate.
func New(config Config, parts Dependencies, options ...Option) *Manager {
	now := parts.Timer.Now()
	k := &Manager{
		config:        config,
		terms:         ibislease.DefaultTerms(),
		table:         parts.Table,
		rows:          parts.Rows,
		peers:         parts.Peers,
		gate:          parts.Gate,
		memory:        parts.Memory,
		timer:         parts.Timer,
		log:           parts.Log,
		starter:       newWorkers(),
		witnessGrace:  defaultGrace,
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
		option(k)
	}
	k.rules = &rules{manager: k}
	k.readServer()
	k.startIncarnation(ibisid.Incarnation(now.UnixNano()), now)
	k.publishView()
	return k
}

// Run joins the system and manages ownership until the context ends; it always returns nil.
func (k *Manager) Run(ctx context.Context) error {
	stop := k.Start(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

// Start joins the system and returns a function that stops the periodic work.
func (k *Manager) Start(ctx context.Context) func() {
	k.ctx.Store(&ctx)
	k.rows.Subscribe(ibislease.MemberPrefix, k.onMemberRow)
	k.rows.Subscribe(ibislease.DeathsPrefix, k.onDeathsRow)
	k.rows.Subscribe(ibisslot.PagePrefix, k.onPageRow)
	every := k.timer.Every(k.terms.Heartbeat/ticksPerHeartbeat, func(time.Time) { k.update(k.tick) })
	return every.Stop
}

func (k *Manager) context() context.Context {
	if ctx := k.ctx.Load(); ctx != nil {
		return *ctx
	}
	return context.Background()
}

// startIncarnation creates the state machines of a new incarnation, which inherits no at-most-once memory and no slots.
func (k *Manager) startIncarnation(incarnation ibisid.Incarnation, now time.Time) {
	self := ibisid.Member{
		Name:        k.config.Name,
		Incarnation: incarnation,
	}
	k.epoch++
	k.ids = &ids{member: self}
	k.batches = make(map[ibisslot.PageID]*ibismove.Batch)
	k.plannedMoves = make(map[ibisslot.PageID]map[int]ibisid.Member)
	k.plannedKeyMoves = make(map[ibisslot.PageID]map[ibisslot.KeyHash]ibisid.Member)
	k.nextMoveAt = make(map[ibisslot.PageID]time.Time)
	k.receivedRecords = make(map[unitID]ibisidempotency.Record)
	k.holder = ibislease.NewHolder(k.terms, ibislease.Row{
		Member:        self,
		Place:         k.config.Place,
		PeerAddress:   k.config.PeerAddress,
		CallerAddress: k.config.CallerAddress,
		Announcement:  k.announced,
		State:         ibislease.StateJoining,
	})
	k.witness = ibislease.NewWitness(k.terms, self, now)
	k.claimant = ibislease.NewClaimant(k.terms, self)
	k.receiver = ibismove.NewReceiver(self)
	k.coordinator = ibiscoordinator.New(self, k.pages, k.rules, k.ids)
	k.leaseLastValid = now
	k.spacesOpened = false
	k.membersChanged = true
	k.inferDeathsDue = true
	k.publishSelf()
}

// rejoin releases all slots of the dead incarnation and starts the next one with an empty at-most-once memory.
func (k *Manager) rejoin(after ibisid.Incarnation, now time.Time) {
	k.log.Warn("this incarnation can never hold a lease again; releasing all slots and joining as a new one", zap.Uint64("incarnation", uint64(k.holder.Self().Incarnation)))
	k.counts.rejoins.Add(1)
	k.lease.publish(time.Time{}, false)
	slots := k.holdings.clear()
	k.memory.WithCore(func(core *ibisidempotency.Memory) {
		for _, slot := range slots {
			core.Drop(slot)
		}
	})
	k.startIncarnation(max(after+1, ibisid.Incarnation(now.UnixNano())), now)
	k.replayMembers(now)
}

// tick gives every state machine the current time and starts what is due.
func (k *Manager) tick(now time.Time) {
	k.readServer()
	k.refreshCandidates(now)
	k.announce(now)
	k.updateLeaseCore(k.holder, ibislease.TickEvent{}, now)
	k.updateLeaseCore(k.witness, ibislease.TickEvent{}, now)
	k.watchDirect(now)
	k.watchOrphans(now)
	k.updateLeaseCore(k.claimant, ibislease.TickEvent{}, now)
	k.openSpaces(now)
	k.inferDeaths(now)
	k.rampDomains(now)
	k.coordinate(ibiscoordinator.TickEvent{}, now)
	k.evacuate()
	k.evacuateKeys()
	k.tickHot(now)
	k.startMoves(now)
	k.tickMoves(now)
	k.pruneDeaths(now)
}
