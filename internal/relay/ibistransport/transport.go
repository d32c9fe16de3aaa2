package ibistransport

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisforward"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

const (
	// probeTimeout is the time limit for a probe's connection: a round trip between regions, with one packet loss.
	probeTimeout = 1200 * time.Millisecond
	// minProbePause and maxProbePause bound the pause between probes: a node that is reachable again gets requests within a
	// second.
	minProbePause = 150 * time.Millisecond
	maxProbePause = time.Second
)

// Directory looks up members and records which nodes are unreachable.
type Directory interface {
	// SetUnreachable marks a node as unreachable or reachable.
	SetUnreachable(node ibisid.NodeName, down bool)
	// Member returns a member and whether the directory contains it.
	Member(node ibisid.NodeName) (ibisroster.Member, bool)
}

// Transport sends orders to nodes; it is safe for concurrent use.
type Transport struct {
	own      ibisid.NodeName
	local    ibisforward.Target
	client   *ibisforward.Client
	probeCtx context.Context
	log      *zap.Logger

	mu        sync.Mutex
	directory Directory
	probing   map[ibisid.NodeName]bool
}

// New returns a Transport whose probes stop when the context ends.
func New(ctx context.Context, own ibisid.NodeName, local ibisforward.Target, client *ibisforward.Client, log *zap.Logger) *Transport {
	return &Transport{
		own:      own,
		local:    local,
		client:   client,
		probeCtx: ctx,
		log:      log,
		probing:  make(map[ibisid.NodeName]bool),
	}
}

// SetDirectory sets the directory in which unreachable nodes are marked; it must be called before the first order.
func (r *Transport) SetDirectory(directory Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory = directory
}

// Send sends an order to the node beside a backend server.
func (r *Transport) Send(ctx context.Context, member ibisroster.Member, order ibismessage.Order) ibismessage.Answer {
	if member.Node == r.own {
		return r.local.Send(ctx, order)
	}
	answer := r.client.Send(ctx, member.Address, order)
	if answer.Reason == ibismessage.ReasonUnreachable {
		r.markUnreachable(member.Node, answer.Err)
	}
	return answer
}

// markUnreachable marks a node as unreachable and starts to probe it until it is reachable or no longer in the directory.
func (r *Transport) markUnreachable(node ibisid.NodeName, cause error) {
	r.mu.Lock()
	if r.probing[node] {
		r.mu.Unlock()
		return
	}
	r.probing[node] = true
	directory := r.directory
	r.mu.Unlock()
	r.log.Warn("node is unreachable; it gets no requests until a probe succeeds", zap.String("peer", string(node)), zap.Error(cause))
	directory.SetUnreachable(node, true)
	go r.probe(directory, node)
}

func (r *Transport) probe(directory Directory, node ibisid.NodeName) {
	began := time.Now()
	pause := minProbePause
	dialer := ibislink.Dialer(probeTimeout)
	for r.probeCtx.Err() == nil {
		member, ok := directory.Member(node)
		if !ok {
			break
		}
		conn, err := dialer.DialContext(r.probeCtx, "tcp4", member.Address)
		if err == nil {
			_ = conn.Close()
			r.log.Info("node is reachable again", zap.String("peer", string(node)), zap.Duration("after", time.Since(began)))
			break
		}
		ibistimer.Sleep(r.probeCtx, pause)
		pause = min(maxProbePause, pause*2)
	}
	r.mu.Lock()
	delete(r.probing, node)
	r.mu.Unlock()
	directory.SetUnreachable(node, false)
}
