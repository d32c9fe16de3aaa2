package ibisnode

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/node/ibisoperations"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

const (
	// announcementPollInterval is the interval at which the node checks for the first announcement of the backend server.
	announcementPollInterval = 50 * time.Millisecond
	// bootstrapRetryDelay is the delay between attempts to load the ticket key and the first copies of the coordination
	// rows.
	bootstrapRetryDelay = 500 * time.Millisecond
)

// Run serves until the context ends; the node then hands its slots over to others before it closes its listeners.
func (n *Node) Run(ctx context.Context) error {
	defer n.keyPairs.stop()
	defer n.listeners.close()
	defer n.pool.Close()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	n.serve(serveCtx, group, "backend", ibisbackend.NewEndpoint(n.gate.Announce))
	n.serve(serveCtx, group, "operators", n.operatorMux(ibisoperator.NewHandler(ibisoperations.New(n.settings.Name, n.documents, n.store, n.overview, n, n))))
	group.Go(func() error { return n.gate.Run(serveCtx) })
	group.Go(func() error { return n.documents.Run(serveCtx) })
	group.Go(func() error {
		defer stopServing()
		return n.joinAndServe(ctx, serveCtx)
	})
	return group.Wait()
}

// joinAndServe waits for the first announcement of the backend server, joins the system and serves callers and other nodes
// until ctx ends. It then drains the node. It keeps serving during the drain, until serveCtx ends.
func (n *Node) joinAndServe(ctx, serveCtx context.Context) error {
	if !n.waitForServer(ctx) {
		return nil
	}
	c, err := n.assemble(ctx)
	if err != nil {
		return ignoreAfterCancel(ctx, err)
	}
	control := ibismember.NewServer(c.router.Peers())
	defer control.Close()
	n.registerControlMetrics(control)
	n.documents.Register(control)
	c.manager.Register(control)
	c.rows.Register(control)
	n.components.Store(c)
	n.documents.SetDirectory(c.manager)
	if doc := n.documents.Current(); doc != nil {
		c.manager.SetDocument(doc)
	}
	serveCtx, stopServing := context.WithCancel(serveCtx)
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return c.manager.Run(serveCtx) })
	group.Go(func() error { return c.rows.Run(serveCtx, n.pool, c.manager) })
	group.Go(func() error { return c.rows.Discover(serveCtx, n.pool, n.table, n.settings.Seeds, n.log) })
	group.Go(func() error { return c.rows.MaintainContacts(serveCtx, n.pool, n.table, c.manager, n.log) })
	n.serve(serveCtx, group, "callers", c.router.Callers())
	n.serve(serveCtx, group, "peers", control)
	group.Go(func() error {
		defer stopServing()
		return n.drainBeforeStop(ctx, serveCtx, c.manager)
	})
	return group.Wait()
}

// ignoreAfterCancel returns nil if the context has ended, since the error then belongs to a planned stop.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// drainBeforeStop waits until ctx ends, hands the node's slots over and waits until no request runs, both within the stop
// timeout.
func (n *Node) drainBeforeStop(ctx, serveCtx context.Context, manager *ibisowner.Manager) error {
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
		return nil
	}
	n.stopping.Store(true)
	drainCtx, cancel := context.WithTimeout(serveCtx, n.settings.Limits.StopTimeout.Duration)
	defer cancel()
	if err := manager.Drain(drainCtx); err != nil {
		n.log.Warn("stopped before all slots were handed over; the at-most-once memory of the remaining slots is lost", zap.Error(err))
	}
	if err := n.gate.Drain(drainCtx); err != nil {
		n.log.Warn("stopped while the backend server was still running requests", zap.Error(err))
	}
	return nil
}

// waitForServer waits until the backend server has announced its service twice; it returns false if the context ends first.
func (n *Node) waitForServer(ctx context.Context) bool {
	announced := make(chan struct{}, 1)
	poll := n.timer.Every(announcementPollInterval, func(time.Time) {
		if _, live := n.gate.LatestAnnouncement(); live && n.gate.HasSettled() {
			select {
			case announced <- struct{}{}:
			default:
			}
		}
	})
	defer poll.Stop()
	select {
	case <-announced:
		return true
	case <-ctx.Done():
		return false
	}
}

// retry calls f until it succeeds, and logs each error with the message failure. It fails if the context ends first.
func (n *Node) retry(ctx context.Context, failure string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		n.log.Warn(failure, zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(bootstrapRetryDelay):
		}
	}
}
