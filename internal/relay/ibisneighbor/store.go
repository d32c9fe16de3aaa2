package ibisneighbor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// longPollTime is how long a request for changes is held while there are none. A neighbor that stops responding is
	// detected only after this time.
	longPollTime = 4 * time.Second
	// feedTimeout limits a request for changes: the long poll, plus a second for a busy instance.
	feedTimeout = longPollTime + time.Second
	// dialTimeout limits dialling another node; it is many times the latency between two regions.
	dialTimeout = 500 * time.Millisecond
	// avoidTime is how long a neighbor isn't asked after it failed to answer: a node that was killed has restarted by then.
	avoidTime = 5 * time.Second
	// maxAnswerBytes bounds an answer, decompressed, which may hold all members and pages of a large deployment. While it is
	// decoded, it takes more than twice its size in memory.
	maxAnswerBytes = 24 << 20
)

// Store is the platform's store, except that it asks a neighbor first for the changes of one table.
type Store struct {
	ibisstore.Store
	local    *Copy
	table    string
	neighbor func() (address string, ok bool)
	clock    ibistimer.Service
	log      *zap.Logger
	client   *http.Client

	mu             sync.Mutex
	avoidedAddress string
	avoidedUntil   time.Time
}

// New returns a store that asks the neighbor for changes of the table if there is one. It records in the local copy whether
// it reads from the store itself.
func New(store ibisstore.Store, local *Copy, table string, neighbor func() (address string, ok bool), clock ibistimer.Service, log *zap.Logger) *Store {
	return &Store{
		Store:    store,
		local:    local,
		table:    table,
		neighbor: neighbor,
		clock:    clock,
		log:      log,
		client:   newClient(feedTimeout, feedTimeout),
	}
}

// newClient returns an HTTP client for calls of other nodes. The timeout limits a whole call; one idle connection is kept to
// each node, for the idle time.
func newClient(timeout, idle time.Duration) *http.Client {
	return &http.Client{
		Transport: ibisresponse.NewTransport(&http.Transport{
			DialContext:            ibislink.Dialer(dialTimeout).DialContext,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idle,
			MaxResponseHeaderBytes: ibislink.MaxHeadBytes,
		}),
		Timeout: timeout,
	}
}

// Feed waits for changes of a table after a version and returns them. For the table given to New, it asks the neighbor and falls
// back to the platform's store if the neighbor fails.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (ibisstore.Snapshot, error) {
	if table != s.table {
		return s.Store.Feed(ctx, table, after, wait)
	}
	address, ok := s.neighbor()
	if !ok || s.isAvoided(address) {
		s.local.setDirect(true)
		return s.Store.Feed(ctx, table, after, wait)
	}
	s.local.setDirect(false)
	changes, err := s.fetchChanges(ctx, address, after)
	if err == nil || ctx.Err() != nil {
		return changes, err
	}
	s.log.Info("request for changes to the neighbor failed, reading from the store", zap.String("neighbor", address), zap.Uint64("after", after), zap.Error(err))
	s.avoid(address)
	s.local.setDirect(true)
	return s.Store.Feed(ctx, table, after, wait)
}

func (s *Store) isAvoided(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.avoidedAddress == address && s.clock.Now().Before(s.avoidedUntil)
}

func (s *Store) avoid(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidedAddress, s.avoidedUntil = address, s.clock.Now().Add(avoidTime)
}

func (s *Store) fetchChanges(ctx context.Context, address string, after uint64) (ibisstore.Snapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("request changes from the neighbor at %s: %w", address, err)
	}
	request.Header.Set(headerAfter, strconv.FormatUint(after, 10))
	response, err := s.client.Do(request)
	if err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("request changes from the neighbor: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ibisstore.Snapshot{}, fmt.Errorf("request changes from the neighbor at %s: unexpected status %d", address, response.StatusCode)
	}
	return s.decode(response.Body)
}

func (s *Store) decode(body io.Reader) (ibisstore.Snapshot, error) {
	var changes wireChanges
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&changes); err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("decode changes from the neighbor: %w", err)
	}
	rows, err := decodeRows(changes.Rows, s.table, changes.Version)
	if err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("decode changes from the neighbor: %w", err)
	}
	return ibisstore.Snapshot{
		Rows:    rows,
		Version: changes.Version,
		Batched: true,
	}, nil
}
