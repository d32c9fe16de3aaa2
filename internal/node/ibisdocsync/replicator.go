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

	current   atomic.Pointer[ibisdoc.Document]
	directory atomic.Pointer[ibismember.Directory]

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
func (r *Replicator) Current() *ibisdoc.Document { return r.current.Load() }

// Revision returns the revision in force, or 0 before the first one.
func (r *Replicator) Revision() ibisid.Revision {
	if doc := r.current.Load(); doc != nil {
		return doc.Revision()
	}
	return 0
}

// Stale reports whether the node must not accept new requests because it has no document or may have an outdated one.
func (r *Replicator) Stale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.WorkStatusAt(r.timer.Now()) != ibisrollout.WorkAccepted
}

// SetDirectory sets the directory from which the replicator reads the live nodes; without one it assumes that there is no
// other node.
func (r *Replicator) SetDirectory(directory ibismember.Directory) { r.directory.Store(&directory) }

// Run replicates the document until the context ends; it returns nil.
func (r *Replicator) Run(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.update(ibisrollout.MembersEvent{
		Peers: []ibisrollout.Peer{peerOf(r.self)},
	})
	r.tick()
	every := r.timer.Every(tickPeriod, func(time.Time) { r.tick() })
	defer every.Stop()
	<-ctx.Done()
	return nil
}

func (r *Replicator) tick() {
	r.refreshMembers()
	r.update(ibisrollout.TickEvent{})
	if r.current.Load() == nil {
		r.fetchFromSeeds()
	}
	if ctx, due := r.exchangeDue(); due {
		r.exchange(ctx)
	}
}

// exchangeDue reports whether the next exchange with a neighbour is due and, if so, records it as started.
func (r *Replicator) exchangeDue() (context.Context, bool) {
	now := r.timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastExchange) < exchangePeriod {
		return r.ctx, false
	}
	r.lastExchange = now
	return r.ctx, true
}

// refreshMembers passes the live nodes to the core if the set has changed.
func (r *Replicator) refreshMembers() {
	directory := r.directory.Load()
	if directory == nil {
		return
	}
	r.mu.Lock()
	known := r.generation
	r.mu.Unlock()
	live, generation := (*directory).Live(known)
	if len(live) == 0 {
		return
	}
	peers := make([]ibisrollout.Peer, len(live))
	addresses := make(map[ibisid.NodeName]string, len(live))
	for i, m := range live {
		peers[i] = peerOf(m)
		addresses[m.Name] = m.Address
	}
	r.mu.Lock()
	r.generation = generation
	r.addresses = addresses
	r.neighbours = neighboursOf(r.self, live)
	r.mu.Unlock()
	r.update(ibisrollout.MembersEvent{
		Peers: peers,
	})
}

// update passes the event to the core and starts the resulting effects.
func (r *Replicator) update(event ibisrollout.Event) {
	r.mu.Lock()
	effects := r.core.Update(event, r.timer.Now())
	ctx := r.ctx
	r.mu.Unlock()
	for _, effect := range effects {
		r.startEffect(ctx, effect)
	}
}

// startEffect runs an effect on its own goroutine; at most effectWorkers effects run concurrently.
func (r *Replicator) startEffect(ctx context.Context, effect ibisrollout.Effect) {
	go func() {
		select {
		case r.effectSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-r.effectSlots }()
		r.runEffect(ctx, effect)
	}()
}

func peerOf(m ibismember.Node) ibisrollout.Peer {
	return ibisrollout.Peer{
		Name:   m.Name,
		Domain: m.Place.Domain,
	}
}
