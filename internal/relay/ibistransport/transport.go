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
	SetUnreachable(node ibisid.NodeName, unreachable bool)
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
func (t *Transport) SetDirectory(directory Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directory = directory
}

// Send sends an order to a node, which runs it on the backend server of its instance, and marks the node as unreachable if no
// connection to it succeeds.
func (t *Transport) Send(ctx context.Context, member ibisroster.Member, order ibismessage.Order) ibismessage.Answer {
	if member.Node == t.own {
		return t.local.Send(ctx, order)
	}
	answer := t.client.Send(ctx, member.Address, order)
	if answer.Reason == ibismessage.ReasonUnreachable {
		t.markUnreachable(member.Node, answer.Err)
	}
	return answer
}

// markUnreachable marks a node as unreachable and starts to probe it until it is reachable or no longer in the directory.
func (t *Transport) markUnreachable(node ibisid.NodeName, cause error) {
	t.mu.Lock()
	if t.probing[node] {
		t.mu.Unlock()
		return
	}
	t.probing[node] = true
	directory := t.directory
	t.mu.Unlock()
	t.log.Warn("node is unreachable; it gets no requests until a probe succeeds", zap.String("peer", string(node)), zap.Error(cause))
	directory.SetUnreachable(node, true)
	go t.probe(directory, node)
}

// probe tries to connect to a node until a connection succeeds, the node leaves the directory or the transport stops; then it
// marks the node as reachable.
func (t *Transport) probe(directory Directory, node ibisid.NodeName) {
	began := time.Now()
	pause := minProbePause
	dialer := ibislink.Dialer(probeTimeout)
	for t.probeCtx.Err() == nil {
		member, ok := directory.Member(node)
		if !ok {
			break
		}
		conn, err := dialer.DialContext(t.probeCtx, "tcp4", member.Address)
		if err == nil {
			_ = conn.Close()
			t.log.Info("node is reachable again", zap.String("peer", string(node)), zap.Duration("after", time.Since(began)))
			break
		}
		ibistimer.Sleep(t.probeCtx, pause)
		pause = min(maxProbePause, pause*2)
	}
	t.mu.Lock()
	delete(t.probing, node)
	t.mu.Unlock()
	directory.SetUnreachable(node, false)
}
