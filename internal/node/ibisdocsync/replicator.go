package ibisdocsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

const (
	tickPeriod   = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	tableTimeout = 5 * time.Second
	// effectWorkers limits the concurrent calls to peers and to the platform.
	effectWorkers = 8
)

// Replicator keeps the document in force on a node up to date.
type Replicator struct {
	self        ibismember.Node
	seeds       []string
	store       *ibissection.Store
	caller      ibismember.Caller
	timer       ibistimer.Service
	log         *zap.Logger
	subscribers []func(*ibisdoc.Document)
	effectSlots chan struct{}

	current atomic.Pointer[ibisdoc.Document]
	members atomic.Pointer[ibismember.Directory]

	applying sync.Mutex
	compiler *ibisdoc.Compiler

	mu           sync.Mutex
	core         *ibisrollout.Replica
	sections     ibisdoc.Sections
	addresses    map[ibisid.NodeName]string
	neighbours   []ibisid.NodeName
	exchanges    int
	generation   uint64
	lastExchange time.Time
	ctx          context.Context
}

// New returns a replicator without a document. The subscribers are called with each document that comes into force, in order
// of revisions. The seeds are addresses of nodes from which a node without a document fetches it.
func New(self ibismember.Node, seeds []string, store *ibissection.Store, caller ibismember.Caller, timer ibistimer.Service, log *zap.Logger, subscribers ...func(*ibisdoc.Document)) *Replicator {
	return &Replicator{
		self:        self,
		seeds:       seeds,
		store:       store,
		caller:      caller,
		timer:       timer,
		log:         log,
		subscribers: subscribers,
		effectSlots: make(chan struct{}, effectWorkers),
		compiler:    ibisdoc.NewCompiler(),
		core:        ibisrollout.NewReplica(self.Name),
		sections:    ibisdoc.Sections{},
		addresses:   make(map[ibisid.NodeName]string),
		ctx:         context.Background(),
	}
}

// Current returns the document in force, or nil before the first one.
func (k *Replicator) Current() *ibisdoc.Document { return k.current.Load() }

// Revision returns the revision in force, or 0 before the first one.
func (k *Replicator) Revision() ibisid.Revision {
	if doc := k.current.Load(); doc != nil {
		return doc.Revision()
	}
	return 0
}

// Stale reports whether the node must not accept new requests because it has no document or may have an outdated one.
func (k *Replicator) Stale() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.WorkStatusAt(k.timer.Now()) != ibisrollout.WorkAccepted
}

// SetDirectory sets the directory from which the replicator reads the live nodes; without one it assumes that there is no other node.
func (k *Replicator) SetDirectory(members ibismember.Directory) { k.members.Store(&members) }

// Run replicates the document until the context ends; it returns nil.
func (k *Replicator) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	k.mu.Unlock()
	k.update(ibisrollout.MembersEvent{
		Peers: []ibisrollout.Peer{peerOf(k.self)},
	})
	k.tick()
	every := k.timer.Every(tickPeriod, func(time.Time) { k.tick() })
	defer every.Stop()
	<-ctx.Done()
	return nil
}

func (k *Replicator) tick() {
	k.refreshMembers()
	k.update(ibisrollout.TickEvent{})
	if k.current.Load() == nil {
		k.fetchFromSeeds()
	}
	if ctx, due := k.exchangeDue(); due {
		k.exchange(ctx)
	}
}

// exchangeDue reports whether the next exchange with a neighbour is due and, if so, records it as started.
func (k *Replicator) exchangeDue() (context.Context, bool) {
	now := k.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.lastExchange) < exchangePeriod {
		return k.ctx, false
	}
	k.lastExchange = now
	return k.ctx, true
}

// refreshMembers passes the live nodes to the core if the set has changed.
func (k *Replicator) refreshMembers() {
	members := k.members.Load()
	if members == nil {
		return
	}
	k.mu.Lock()
	known := k.generation
	k.mu.Unlock()
	live, generation := (*members).Live(known)
	if len(live) == 0 {
		return
	}
	peers := make([]ibisrollout.Peer, len(live))
	addresses := make(map[ibisid.NodeName]string, len(live))
	for i, m := range live {
		peers[i] = peerOf(m)
		addresses[m.Name] = m.Address
	}
	k.mu.Lock()
	k.generation = generation
	k.addresses = addresses
	k.neighbours = neighboursOf(k.self, live)
	k.mu.Unlock()
	k.update(ibisrollout.MembersEvent{
		Peers: peers,
	})
}

// update passes the event to the core and starts the resulting effects.
func (k *Replicator) update(event ibisrollout.Event) {
	k.mu.Lock()
	effects := k.core.Update(event, k.timer.Now())
	ctx := k.ctx
	k.mu.Unlock()
	for _, effect := range effects {
		k.startEffect(ctx, effect)
	}
}

// startEffect runs an effect on its own goroutine; at most effectWorkers effects run concurrently.
func (k *Replicator) startEffect(ctx context.Context, effect ibisrollout.Effect) {
	go func() {
		select {
		case k.effectSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-k.effectSlots }()
		k.runEffect(ctx, effect)
	}()
}

func peerOf(m ibismember.Node) ibisrollout.Peer {
	return ibisrollout.Peer{
		Name:   m.Name,
		Domain: m.Place.Domain,
	}
}
