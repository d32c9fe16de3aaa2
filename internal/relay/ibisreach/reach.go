package ibisreach

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibishop"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

const (
	// probeTimeout is the time for a probe's connection: a round trip between regions, lost once.
	probeTimeout = 1200 * time.Millisecond
	// firstProbe and longestProbe bound the pause between probes: a node that returns is used again within a second.
	firstProbe   = 150 * time.Millisecond
	longestProbe = time.Second
)

// Directory knows the members and is told which can't be reached.
type Directory interface {
	// SetDown says whether a node can't be reached.
	SetDown(node ibisid.NodeName, down bool)
	// Member returns a member and whether it is known.
	Member(node ibisid.NodeName) (ibisroster.Member, bool)
}

// Reach brings orders to nodes; it is safe for concurrent use.
type Reach struct {
	own    ibisid.NodeName
	local  ibishop.Target
	client *ibishop.Client
	done   context.Context
	log    *zap.Logger

	mu        sync.Mutex
	directory Directory
	probing   map[ibisid.NodeName]bool
}

// New returns a reach whose probes end with the context.
func New(ctx context.Context, own ibisid.NodeName, local ibishop.Target, client *ibishop.Client, log *zap.Logger) *Reach {
	return &Reach{
		own:     own,
		local:   local,
		client:  client,
		done:    ctx,
		log:     log,
		probing: make(map[ibisid.NodeName]bool),
	}
}

// Bind says who is told which nodes can't be reached; it must be called before the first order.
func (r *Reach) Bind(directory Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory = directory
}

// Send sends an order to the node beside a backend server.
func (r *Reach) Send(ctx context.Context, member ibisroster.Member, order ibisorder.Order) ibisorder.Answer {
	if member.Node == r.own {
		return r.local.Send(ctx, order)
	}
	answer := r.client.Send(ctx, member.Address, order)
	if answer.Reason == ibisorder.ReasonUnreachable {
		r.lost(member.Node, answer.Err)
	}
	return answer
}

// lost takes a node out and probes it until it can be reached, or is known no more.
func (r *Reach) lost(node ibisid.NodeName, cause error) {
	r.mu.Lock()
	if r.probing[node] {
		r.mu.Unlock()
		return
	}
	r.probing[node] = true
	directory := r.directory
	r.mu.Unlock()
	r.log.Warn("node can't be reached", zap.String("peer", string(node)), zap.Error(cause))
	directory.SetDown(node, true)
	go r.probe(directory, node)
}

func (r *Reach) probe(directory Directory, node ibisid.NodeName) {
	began := time.Now()
	pause := firstProbe
	dialer := ibislink.Dialer(probeTimeout)
	for r.done.Err() == nil {
		member, ok := directory.Member(node)
		if !ok {
			break
		}
		conn, err := dialer.DialContext(r.done, "tcp4", member.Address)
		if err == nil {
			_ = conn.Close()
			r.log.Info("node can be reached again", zap.String("peer", string(node)), zap.Duration("after", time.Since(began)))
			break
		}
		ibistimer.Sleep(r.done, pause)
		pause = min(longestProbe, pause*2)
	}
	r.mu.Lock()
	delete(r.probing, node)
	r.mu.Unlock()
	directory.SetDown(node, false)
}
