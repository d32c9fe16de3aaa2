package ibisfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

const (
	startTime = 1_700_000_000
	// maxDelay bounds the time of a call, of a row on its way to a node and of an answer of the table.
	maxDelay = 8 * time.Millisecond
	// look is the time between two looks at who serves.
	look = 20 * time.Millisecond
)

// Server is a node with the backend server beside it.
type Server struct {
	// Name is the node's name.
	Name ibisid.NodeName
	// Place is where the node stands.
	Place ibisid.Place
	// Service is the service of the backend server.
	Service ibisid.ServiceName
	// ChecksGrants reports whether the backend server refuses orders without a fenced grant.
	ChecksGrants bool
}

// Fleet is a few nodes on fake time.
type Fleet struct {
	timer    *ibistimer.Fake
	store    *ibisstore.Store
	random   *rand.Rand
	nodes    []*node
	spread   map[string]ibisplatform.Version
	sections ibisdoc.Sections
	document *ibisdoc.Document
	stop     context.CancelFunc
	ctx      context.Context
	refused  context.Context
}

// New returns a fleet of the servers under the document of the sections; it fails where the document is not valid.
func New(seed uint64, sections ibisdoc.Sections, servers []Server) (*Fleet, error) {
	timer := ibistimer.NewFake(time.Unix(startTime, 0))
	ctx, stop := context.WithCancel(context.Background())
	refused, refuse := context.WithCancel(ctx)
	refuse()
	f := &Fleet{
		timer:    timer,
		store:    ibisstore.New(ibisstore.WithTimer(timer)),
		random:   rand.New(rand.NewPCG(seed, 0)),
		spread:   make(map[string]ibisplatform.Version),
		sections: sections,
		ctx:      ctx,
		stop:     stop,
		refused:  refused,
	}
	if err := f.compile(1); err != nil {
		stop()
		return nil, err
	}
	for _, s := range servers {
		f.add(s)
	}
	return f, nil
}

// Close ends every node.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		n.kill()
	}
	f.stop()
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) { f.timer.Advance(d) }

// Commits returns the number of commits that the table has answered.
func (f *Fleet) Commits() uint64 { return f.store.Counts().Writes }

// Reads returns the number of reads and scans that the table has answered.
func (f *Fleet) Reads() uint64 { return f.store.Counts().Reads }

// Settle lets time pass until a node serves each slot of the service, and reports whether that came within the limit.
func (f *Fleet) Settle(service ibisid.ServiceName, limit time.Duration) bool {
	w := f.watch(service)
	for passed := time.Duration(0); passed <= limit; passed += look {
		if w.look() == 0 {
			return true
		}
		f.Run(look)
	}
	return false
}

// Kill ends a node's process at once.
func (f *Fleet) Kill(name ibisid.NodeName) {
	if n := f.find(name); n != nil {
		n.kill()
	}
}

// KillDomain ends every process in a failure domain at once.
func (f *Fleet) KillDomain(domain ibisid.DomainName) {
	for _, n := range f.nodes {
		if n.server.Place.Domain == domain {
			n.kill()
		}
	}
}

// StartLeaving begins the planned stop of a node, which ends once it has handed its slots over.
func (f *Fleet) StartLeaving(name ibisid.NodeName) {
	n := f.find(name)
	if n == nil {
		return
	}
	n.manager.StartLeaving()
	n.whenLeft()
}

// SetDomain takes a failure domain out or brings it back by a change of the document, which every node hears of in its
// own time up to the delay; it fails where the document is not valid.
func (f *Fleet) SetDomain(domain ibisid.DomainName, out bool, delay time.Duration) error {
	if err := turn(f.sections, domain, out); err != nil {
		return err
	}
	if err := f.compile(f.document.Revision() + 1); err != nil {
		return err
	}
	doc := f.document
	for _, n := range f.nodes {
		f.timer.After(time.Duration(f.random.Int64N(int64(delay)+1)), func(time.Time) {
			n.do(func() { n.manager.SetDocument(doc) })
		})
	}
	return nil
}

func (f *Fleet) compile(revision ibisid.Revision) error {
	doc, faults := ibisdoc.Compile(revision, f.sections)
	if len(faults) > 0 {
		return fmt.Errorf("document of the fleet: %v", faults)
	}
	f.document = doc
	return nil
}

// find returns the running node of the name, nil where there is none.
func (f *Fleet) find(name ibisid.NodeName) *node {
	for _, n := range f.nodes {
		if n.server.Name == name && !n.dead {
			return n
		}
	}
	return nil
}

func (f *Fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(maxDelay)))
}
