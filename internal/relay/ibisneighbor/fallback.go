package ibisneighbor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// fallbackDelay is how long the store must have failed this node's calls before other nodes are asked. It exceeds the
	// second for which a busy partition queues calls: a call that a busy partition rejects must not be repeated through
	// other nodes.
	fallbackDelay = 1200 * time.Millisecond
	// fallbackCooldown is how long no other node is asked after a call failed through every node that was asked.
	fallbackCooldown = 3 * time.Second
	// maxFallbackNodes bounds the nodes that are asked for one call. If the store fails a third of all nodes, it fails all
	// three of them for one call in 27.
	maxFallbackNodes = 3
	// fallbackTimeout limits a call through another node: that node's call of the store takes up to 1.5 s, plus one round
	// trip.
	fallbackTimeout = 2 * time.Second
)

// errPeerRefused reports that the store did not serve the call of another node either.
var errPeerRefused = errors.New("the store does not serve the other node either")

// FallbackStore is the platform's store, with commits and reads that go through other nodes while the store fails this
// node's calls: an outage that affects some nodes must not prevent them from renewing leases, handing over keys and leaving.
type FallbackStore struct {
	ibisstore.Store
	peers  func() []string
	clock  ibistimer.Service
	log    *zap.Logger
	client *http.Client

	mu            sync.Mutex
	failingSince  time.Time
	cooldownUntil time.Time
}

// NewFallbackStore returns a store that calls the platform's store and, while that fails, the nodes at the peers' addresses
// in their order.
func NewFallbackStore(store ibisstore.Store, peers func() []string, clock ibistimer.Service, log *zap.Logger) *FallbackStore {
	return &FallbackStore{
		Store:  store,
		peers:  peers,
		clock:  clock,
		log:    log,
		client: newClient(fallbackTimeout, fallbackCooldown),
	}
}

// Commit applies the changes if every condition holds. Its outcome is unknown if another node may have made the commit but its
// answer was lost; such a commit isn't sent to further nodes, since it may still take effect.
func (s *FallbackStore) Commit(ctx context.Context, commit ibisstore.Commit) ibisstore.Result {
	var result ibisstore.Result
	if s.callThroughPeers("commit through another node failed", func(address string) error {
		result = s.commitThroughPeer(ctx, address, commit)
		if result.Outcome == ibisstore.OutcomeRefused {
			return result.Err
		}
		return nil
	}) {
		return result
	}
	result = s.Store.Commit(ctx, commit)
	s.recordDirectResult(result.Err)
	return result
}

// Rows returns all rows of a partition; it fails if neither the store nor another node answers.
func (s *FallbackStore) Rows(ctx context.Context, table, partition string) (ibisstore.Snapshot, error) {
	var out wireSnapshot
	if s.callThroughPeers("read rows through another node failed", func(address string) error {
		out = wireSnapshot{}
		return s.callPeer(ctx, address, wireCall{
			Table: table,
			Part:  partition,
		}, &out)
	}) {
		return out.snapshot(), nil
	}
	rows, err := s.Store.Rows(ctx, table, partition)
	s.recordDirectResult(err)
	return rows, err
}

// Feed waits for changes of a table after a version and returns them. It always calls the store directly, and so detects
// that the store serves this node again.
func (s *FallbackStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (ibisstore.Snapshot, error) {
	changes, err := s.Store.Feed(ctx, table, after, wait)
	if !errors.Is(err, ibisstore.ErrHistoryLost) && ctx.Err() == nil {
		s.recordDirectResult(err)
	}
	return changes, err
}

// recordDirectResult updates failingSince after a direct call of the store, which succeeded if the error is nil.
func (s *FallbackStore) recordDirectResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.failingSince = time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = s.clock.Now()
	}
}

// callThroughPeers makes a call through other nodes, one after the other until one succeeds, and reports whether one did.
// If none did, it starts the cooldown.
func (s *FallbackStore) callThroughPeers(message string, call func(address string) error) bool {
	addresses := s.fallbackPeers()
	for _, address := range addresses {
		err := call(address)
		if err == nil {
			return true
		}
		s.log.Info(message, zap.String("asked", address), zap.Error(err))
	}
	if len(addresses) > 0 {
		s.mu.Lock()
		s.cooldownUntil = s.clock.Now().Add(fallbackCooldown)
		s.mu.Unlock()
	}
	return false
}

// fallbackPeers returns the addresses of the nodes to ask: none while the store serves this node, has failed it for less than
// fallbackDelay, or during the cooldown.
func (s *FallbackStore) fallbackPeers() []string {
	now := s.clock.Now()
	s.mu.Lock()
	direct := s.failingSince.IsZero() || now.Sub(s.failingSince) < fallbackDelay || now.Before(s.cooldownUntil)
	s.mu.Unlock()
	if direct {
		return nil
	}
	peers := s.peers()
	return peers[:min(len(peers), maxFallbackNodes)]
}

// commitThroughPeer makes a commit through another node. Its outcome is unknown if the request may have reached that node but
// no valid answer arrived.
func (s *FallbackStore) commitThroughPeer(ctx context.Context, address string, commit ibisstore.Commit) ibisstore.Result {
	var out wireResult
	err := s.callPeer(ctx, address, wireCall{
		Commit: newWireCommit(commit),
	}, &out)
	if err == nil {
		return out.result()
	}
	outcome := ibisstore.OutcomeUnknown
	var opErr *net.OpError
	if errors.Is(err, errPeerRefused) || errors.As(err, &opErr) && opErr.Op == "dial" {
		outcome = ibisstore.OutcomeRefused
	}
	return ibisstore.Result{
		Outcome: outcome,
		Err:     err,
	}
}

// callPeer sends a call of the store to another node and decodes the answer; it fails with errPeerRefused if the store did
// not serve that node either.
func (s *FallbackStore) callPeer(ctx context.Context, address string, call wireCall, answer any) error {
	body, err := json.Marshal(call)
	if err != nil {
		panic(fmt.Sprintf("encode call of the store for %s: %v", address, err))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call the store through the node at %s: %w", address, err)
	}
	request.Header.Set(headerStore, storeCallValue)
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("call the store through another node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: node at %s", errPeerRefused, address)
	default:
		return fmt.Errorf("call the store through the node at %s: unexpected status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("decode the store's answer from the node at %s: %w", address, err)
	}
	return nil
}
