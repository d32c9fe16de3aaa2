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
	// detourAfter is how long the store must have failed this node before others are asked: longer than the second of calls
	// that a busy partition lets wait, since calls that it turns away must not come back through others.
	detourAfter = 1200 * time.Millisecond
	// detourRest is how long no other node is asked after all that were asked are turned away by the store as well.
	detourRest = 3 * time.Second
	// detourNodes is how many nodes are asked: where a third of them has lost the store, one call in 27 finds none.
	detourNodes = 3
	// detourTimeout is the time for one call: the other node's own call of 1.5 s, and the way there and back.
	detourTimeout = 2 * time.Second
)

// errTurnedAway reports that the store turned away a node that was asked in place of this one.
var errTurnedAway = errors.New("the store doesn't serve the node that was asked either")

// Detour is the platform's store, which is reached through other nodes while it doesn't serve this one: an outage that
// hits some of the nodes must not keep them from renewing leases, handing keys over and leaving.
type Detour struct {
	ibisstore.Store
	others func() []string
	clock  ibistimer.Service
	log    *zap.Logger
	client *http.Client

	mu      sync.Mutex
	failing time.Time
	resting time.Time
}

// NewDetour returns a store that asks the nodes at the other addresses, in that order, while the platform's store doesn't serve this one.
func NewDetour(store ibisstore.Store, others func() []string, clock ibistimer.Service, log *zap.Logger) *Detour {
	return &Detour{
		Store:  store,
		others: others,
		clock:  clock,
		log:    log,
		client: newClient(detourTimeout, detourRest),
	}
}

// Commit applies the changes if every condition holds.
func (d *Detour) Commit(ctx context.Context, commit ibisstore.Commit) ibisstore.Result {
	var result ibisstore.Result
	if d.through("commit through another node", func(address string) error {
		result = d.commit(ctx, address, commit)
		if result.Outcome == ibisstore.OutcomeRefused {
			return result.Err
		}
		return nil
	}) {
		return result
	}
	result = d.Store.Commit(ctx, commit)
	d.note(result.Err)
	return result
}

// Rows returns all rows of a partition.
func (d *Detour) Rows(ctx context.Context, table, part string) (ibisstore.Snapshot, error) {
	var out wireSnapshot
	if d.through("rows through another node", func(address string) error {
		out = wireSnapshot{}
		return d.ask(ctx, address, wireCall{
			Table: table,
			Part:  part,
		}, &out)
	}) {
		return out.snapshot(), nil
	}
	rows, err := d.Store.Rows(ctx, table, part)
	d.note(err)
	return rows, err
}

// Feed waits for changes of a table after a version and returns them; it is always this node's own question, which tells
// when the store serves it again.
func (d *Detour) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (ibisstore.Snapshot, error) {
	changes, err := d.Store.Feed(ctx, table, after, wait)
	if !errors.Is(err, ibisstore.ErrHistoryLost) && ctx.Err() == nil {
		d.note(err)
	}
	return changes, err
}

// note takes in how a call of this node's own ended.
func (d *Detour) note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.failing = time.Time{}
	case d.failing.IsZero():
		d.failing = d.clock.Now()
	}
}

// through makes a call by way of other nodes, one after the other until one of them could make it, and reports whether one
// could. Where none could the others are left alone for a while.
func (d *Detour) through(line string, call func(address string) error) bool {
	others := d.route()
	for _, address := range others {
		err := call(address)
		if err == nil {
			return true
		}
		d.log.Info(line, zap.String("asked", address), zap.Error(err))
	}
	if len(others) > 0 {
		d.mu.Lock()
		d.resting = d.clock.Now().Add(detourRest)
		d.mu.Unlock()
	}
	return false
}

// route returns the nodes to ask, none while the store serves this node or turned the others away too.
func (d *Detour) route() []string {
	now := d.clock.Now()
	d.mu.Lock()
	direct := d.failing.IsZero() || now.Sub(d.failing) < detourAfter || now.Before(d.resting)
	d.mu.Unlock()
	if direct {
		return nil
	}
	others := d.others()
	return others[:min(len(others), detourNodes)]
}

// commit asks another node for a commit. Its result is unknown where the question may have arrived and no answer came.
func (d *Detour) commit(ctx context.Context, address string, commit ibisstore.Commit) ibisstore.Result {
	var out wireResult
	err := d.ask(ctx, address, wireCall{
		Commit: newWireCommit(commit),
	}, &out)
	if err == nil {
		return out.result()
	}
	outcome := ibisstore.OutcomeUnknown
	var sending *net.OpError
	if errors.Is(err, errTurnedAway) || errors.As(err, &sending) && sending.Op == "dial" {
		outcome = ibisstore.OutcomeRefused
	}
	return ibisstore.Result{
		Outcome: outcome,
		Err:     err,
	}
}

// ask brings a call to another node and its answer back.
func (d *Detour) ask(ctx context.Context, address string, call wireCall, answer any) error {
	body, err := json.Marshal(call)
	if err != nil {
		panic(fmt.Sprintf("call of the store can't be encoded: %v", err))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("ask the node at %s for the store: %w", address, err)
	}
	request.Header.Set(headerStore, storeCall)
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("ask for the store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: node at %s", errTurnedAway, address)
	default:
		return fmt.Errorf("the node at %s answers %d when asked for the store", address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, mostBytes)).Decode(answer); err != nil {
		return fmt.Errorf("answer of the store through the node at %s: %w", address, err)
	}
	return nil
}
