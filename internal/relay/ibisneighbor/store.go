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
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// heldFor is how long a question without news is held: a neighbor that has gone silent is noticed after that.
	heldFor = 4 * time.Second
	// askTimeout is how long an answer may take: a held question and a second on a busy instance.
	askTimeout = heldFor + time.Second
	// dialTimeout is how long a connection to a node may take to open: many times the way between two regions.
	dialTimeout = 500 * time.Millisecond
	// avoidFor is how long a neighbor isn't asked again that gave no answer: a node that was killed is back by then.
	avoidFor = 5 * time.Second
	// mostBytes bounds an answer: all members and pages of a large deployment.
	mostBytes = 64 << 20
)

// Store is the platform's store, but for the changes of one table, for which a neighbor is asked first.
type Store struct {
	ibisstore.Store
	own      *Copy
	table    string
	neighbor func() (address string, ok bool)
	clock    ibistimer.Service
	log      *zap.Logger
	client   *http.Client

	mu      sync.Mutex
	avoided string
	until   time.Time
}

// New returns a store whose changes of the table come from the neighbor where there is one to ask.
func New(store ibisstore.Store, own *Copy, table string, neighbor func() (address string, ok bool), clock ibistimer.Service, log *zap.Logger) *Store {
	return &Store{
		Store:    store,
		own:      own,
		table:    table,
		neighbor: neighbor,
		clock:    clock,
		log:      log,
		client:   newClient(askTimeout, askTimeout),
	}
}

// newClient returns a client of other nodes; a call takes the timeout at most, and one idle connection to a node is kept.
func newClient(timeout, idle time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         ibislink.Dialer(dialTimeout).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idle,
		},
		Timeout: timeout,
	}
}

// Feed waits for changes of a table after a version; those of the neighbor's table come from it if it can tell.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (ibisstore.Snapshot, error) {
	if table != s.table {
		return s.Store.Feed(ctx, table, after, wait)
	}
	address, ok := s.neighbor()
	if !ok || s.avoids(address) {
		s.own.asks(true)
		return s.Store.Feed(ctx, table, after, wait)
	}
	s.own.asks(false)
	changes, err := s.ask(ctx, address, after)
	if err == nil || ctx.Err() != nil {
		return changes, err
	}
	s.log.Info("neighbor doesn't tell of changes, the store is asked", zap.String("neighbor", address), zap.Uint64("after", after), zap.Error(err))
	s.avoid(address)
	s.own.asks(true)
	return s.Store.Feed(ctx, table, after, wait)
}

func (s *Store) avoids(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.avoided == address && s.clock.Now().Before(s.until)
}

func (s *Store) avoid(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided, s.until = address, s.clock.Now().Add(avoidFor)
}

func (s *Store) ask(ctx context.Context, address string, after uint64) (ibisstore.Snapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("ask the neighbor at %s: %w", address, err)
	}
	request.Header.Set(headerAfter, strconv.FormatUint(after, 10))
	response, err := s.client.Do(request)
	if err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("ask the neighbor: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ibisstore.Snapshot{}, fmt.Errorf("the neighbor at %s answers %d", address, response.StatusCode)
	}
	return s.decode(response.Body)
}

func (s *Store) decode(body io.Reader) (ibisstore.Snapshot, error) {
	var changes wireChanges
	if err := json.NewDecoder(io.LimitReader(body, mostBytes)).Decode(&changes); err != nil {
		return ibisstore.Snapshot{}, fmt.Errorf("changes from the neighbor: %w", err)
	}
	out := ibisstore.Snapshot{
		Version:  changes.Version,
		Gathered: true,
	}
	for _, row := range changes.Rows {
		out.Rows = append(out.Rows, row.row(s.table))
	}
	return out, nil
}
