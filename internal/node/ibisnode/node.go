package ibisnode

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Node is one node of the system: the process that serves one backend server.
type Node struct {
	settings   ibissettings.Settings
	table      ibisplatform.Table
	timer      ibistimer.Service
	log        *zap.Logger
	metrics    *metrics.Set
	gate       *ibisgate.Gate
	store      *ibissection.Store
	documents  *ibisdocsync.Replicator
	pool       *ibismember.Pool
	listeners  *listeners
	keyPairs   *keyPairs
	components atomic.Pointer[components]
	stopping   atomic.Bool
}

// New opens the listeners of a node and loads its key pairs. It fails if an address cannot be bound or a key pair is invalid.
func New(settings ibissettings.Settings, table ibisplatform.Table, objects ibisplatform.ObjectStore, timer ibistimer.Service, log *zap.Logger) (*Node, error) {
	log = ibislog.WithNode(log, ibisid.Member{
		Name: settings.Name,
	}, place(settings))
	pairs, err := loadKeyPairs(settings, timer, log)
	if err != nil {
		return nil, err
	}
	opened, err := openListeners(settings)
	if err != nil {
		pairs.stop()
		return nil, err
	}
	n := &Node{
		settings:  settings,
		table:     table,
		timer:     timer,
		log:       log,
		metrics:   metrics.NewSet(),
		gate:      ibisgate.New(timer),
		pool:      ibismember.NewPool(pairs.peerClient),
		listeners: opened,
		keyPairs:  pairs,
	}
	n.gate.RegisterMetrics(n.metrics)
	n.store = ibissection.New(table, objects, timer, ibissection.WithAuditor(auditor{log: log}), ibissection.WithMinRevision(n.revision))
	n.documents = ibisdocsync.New(n.self(), settings.Seeds, n.store, n.pool, timer, log, n.applyDocument)
	return n, nil
}

// self returns the name, place and advertised peer address of the node.
func (n *Node) self() ibismember.Node {
	return ibismember.Node{
		Name:    n.settings.Name,
		Place:   place(n.settings),
		Address: n.advertisedPeers(),
	}
}

func (n *Node) revision() ibisid.Revision { return n.documents.Revision() }

// CallerAddress returns the listen address for requests of callers.
func (n *Node) CallerAddress() string { return n.listeners.callers.Addr().String() }

// PeerAddress returns the listen address for control calls and forwarded requests of other nodes.
func (n *Node) PeerAddress() string { return n.listeners.peers.Addr().String() }

// BackendAddress returns the listen address for announcements of the backend server.
func (n *Node) BackendAddress() string { return n.listeners.backend.Addr().String() }

// OperatorAddress returns the listen address for the operator interface, health checks and metrics.
func (n *Node) OperatorAddress() string { return n.listeners.operators.Addr().String() }

// Ready reports whether the node accepts requests.
func (n *Node) Ready() bool { return n.notReadyReason() == "" }

// Ownership returns the ownership statistics of the node, and whether the node has joined.
func (n *Node) Ownership() (ibisowner.Stats, bool) {
	c := n.components.Load()
	if c == nil {
		return ibisowner.Stats{}, false
	}
	return c.manager.Stats(), true
}

// Gate returns the admission gate of the backend server.
func (n *Node) Gate() *ibisgate.Gate { return n.gate }

// registerControlMetrics registers the bytes of control calls that the node makes and answers.
func (n *Node) registerControlMetrics(control *ibismember.Server) {
	n.metrics.NewGauge("ibis_control_sent_bytes_total", func() float64 {
		return float64(n.pool.BytesSent() + control.BytesSent())
	})
	n.metrics.NewGauge("ibis_control_received_bytes_total", func() float64 {
		return float64(n.pool.BytesReceived() + control.BytesReceived())
	})
}

// applyDocument passes a document that came into force to the gate and, once the node has joined, to ownership.
func (n *Node) applyDocument(doc *ibisdoc.Document) {
	n.gate.SetDocument(doc)
	if c := n.components.Load(); c != nil {
		c.manager.SetDocument(doc)
	}
}
