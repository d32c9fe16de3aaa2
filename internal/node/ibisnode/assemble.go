package ibisnode

import (
	"context"
	"math/rand/v2"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// components holds what a node creates once its backend server has announced itself.
type components struct {
	manager *ibisowner.Manager
	rows    *ibisrowcache.Rows
	router  *ibisrequestrouter.Router
}

func (n *Node) assemble(ctx context.Context) (*components, error) {
	var ticketKey []byte
	err := n.retry(ctx, "ticket key is not available; joining is delayed", func() (err error) {
		ticketKey, err = loadTicketKey(ctx, n.table)
		return err
	})
	if err != nil {
		return nil, err
	}
	memory := ibisidempotencydriver.New(ibisidempotency.Config{
		TicketKey: ticketKey,
		MaxBytes:  n.settings.Limits.OnceBytes,
	}, n.table, n.timer)
	rows := ibisrowcache.New(ibisrowcache.WithSelf(n.self()), ibisrowcache.WithTimer(n.timer))
	err = n.retry(ctx, "coordination rows are not available; joining is delayed", func() error {
		return rows.Bootstrap(ctx, n.pool, n.table, n.settings.Seeds)
	})
	if err != nil {
		return nil, err
	}
	manager := n.newManager(memory, rows)
	return &components{
		manager: manager,
		rows:    rows,
		router:  n.newRouter(memory, manager),
	}, nil
}

func (n *Node) newManager(memory *ibisidempotencydriver.Memory, rows *ibisrowcache.Rows) *ibisowner.Manager {
	manager := ibisowner.New(ibisowner.Config{
		Name:          n.settings.Name,
		Place:         place(n.settings),
		PeerAddress:   n.advertisedPeers(),
		CallerAddress: n.advertisedCallers(),
		SoleProcess:   n.settings.SoleProcess,
	}, ibisowner.Dependencies{
		Table:  n.table,
		Rows:   rows,
		Peers:  n.pool,
		Gate:   n.gate,
		Memory: memory,
		Timer:  n.timer,
		Log:    n.log,
	})
	manager.RegisterMetrics(n.metrics)
	return manager
}

func (n *Node) newRouter(memory *ibisidempotencydriver.Memory, manager *ibisowner.Manager) *ibisrequestrouter.Router {
	return ibisrequestrouter.New(ibisrequestrouter.Dependencies{
		Ownership: ownership{manager},
		Gate:      n.gate,
		Peers:     ibismember.NewForwarder(n.keyPairs.peerClient, n.timer, n.settings.Limits.PeerConnections),
		Documents: n.documents,
		Memory:    memory,
		Timer:     n.timer,
		Metrics:   n.metrics,
		Log:       n.log,
		Seed:      rand.Uint64(),
	})
}

func (n *Node) advertisedCallers() string {
	if n.settings.Advertise.Callers != "" {
		return n.settings.Advertise.Callers
	}
	return n.CallerAddress()
}

func (n *Node) advertisedPeers() string {
	if n.settings.Advertise.Peers != "" {
		return n.settings.Advertise.Peers
	}
	return n.PeerAddress()
}

func place(s ibissettings.Settings) ibisid.Place {
	return ibisid.Place{
		Region: s.Region,
		Domain: s.Domain,
	}
}
