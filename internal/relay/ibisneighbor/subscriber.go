package ibisneighbor

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// subscriptions is the number of nodes that a subscriber is subscribed to at once: one of them may be slow itself.
	subscriptions = 2
	// silenceTimeout ends a subscription without messages: three heartbeats, and the wait of a packet at a full link.
	silenceTimeout = 3*heartbeatInterval + 2*time.Second
	// subscribeDialTimeout limits dialling: on a full link the answer of the peer waits for seconds.
	subscribeDialTimeout = 5 * time.Second
	// verifyTimeout limits a verification; its caller waits for it.
	verifyTimeout = time.Second
	// verifyValidity is how long the result of a verification serves others, so that requests can't cause many.
	verifyValidity = 500 * time.Millisecond
	// resubscribeDelay is the time between the end of a subscription and the next one.
	resubscribeDelay = time.Second
)

// Follower is kept up to date with a table.
type Follower interface {
	// Position returns the version up to which the follower has the table, and false before it has read the table once.
	Position() (version uint64, ok bool)
	// Offer gives it the changes after a version, or the whole table after version zero, whose rows it reads only if it lacks them.
	Offer(after, version uint64, rows func() ([]ibisstore.Row, error)) error
}

// Subscriber keeps a follower up to date with what other nodes publish, beside what the follower reads from the store: a change
// arrives compressed, unasked for and from the node that has it first, where the way from the store is slow.
type Subscriber struct {
	table    string
	follower Follower
	peers    func() []string
	log      *zap.Logger
	client   *http.Client

	mu           sync.Mutex
	verification *verification
}

// verification is one check of the follower's position, whose result is set once done is closed.
type verification struct {
	began   time.Time
	done    chan struct{}
	current bool
}

// NewSubscriber returns a subscriber for a table; peers returns the addresses of the nodes to subscribe to, preferred ones first.
func NewSubscriber(table string, follower Follower, peers func() []string, log *zap.Logger) *Subscriber {
	return &Subscriber{
		table:    table,
		follower: follower,
		peers:    peers,
		log:      log,
		client: &http.Client{
			Transport: ibisresponse.NewTransport(&http.Transport{
				DialContext:            ibislink.Dialer(subscribeDialTimeout).DialContext,
				DisableKeepAlives:      true,
				MaxResponseHeaderBytes: ibislink.MaxHeadBytes,
			}),
		},
	}
}

// Run keeps subscriptions open until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	var group errgroup.Group
	for i := range subscriptions {
		group.Go(func() error {
			s.keepSubscribed(ctx, i)
			return nil
		})
	}
	_ = group.Wait()
}

// keepSubscribed keeps one subscription open. The next one is to another node, since the node may be the cause of the end.
func (s *Subscriber) keepSubscribed(ctx context.Context, index int) {
	for next := index; ctx.Err() == nil; ibistimer.Sleep(ctx, resubscribeDelay) {
		peers := s.peers()
		after, ok := s.follower.Position()
		if !ok || index >= len(peers) {
			continue
		}
		address := peers[next%len(peers)]
		next += subscriptions
		if err := s.subscribe(ctx, address, after); ctx.Err() == nil {
			s.log.Info("subscription to another node has ended", zap.String("table", s.table), zap.String("peer", address), zap.Error(err))
		}
	}
}

// Verify reports whether the follower has all that another node had when it was asked, or gets it from there. It reports false if no
// node answers in time, and true if there is none.
func (s *Subscriber) Verify(ctx context.Context) bool {
	s.mu.Lock()
	v := s.verification
	if v == nil || time.Since(v.began) > verifyValidity {
		v = &verification{
			began: time.Now(),
			done:  make(chan struct{}),
		}
		s.verification = v
		go s.verify(v)
	}
	s.mu.Unlock()
	select {
	case <-v.done:
		return v.current
	case <-ctx.Done():
		return false
	}
}

// verify sets the result of a verification, as soon as one of the preferred nodes has answered.
func (s *Subscriber) verify(v *verification) {
	defer close(v.done)
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	after, _ := s.follower.Position()
	peers := s.peers()
	peers = peers[:min(len(peers), subscriptions)]
	results := make(chan error, len(peers))
	for _, address := range peers {
		go func() { results <- s.receive(ctx, address, after, 1) }()
	}
	var failures []error
	for range peers {
		err := <-results
		if err == nil {
			v.current = true
			return
		}
		failures = append(failures, err)
	}
	if len(failures) == 0 {
		v.current = true
		return
	}
	s.log.Info("no other node says whether it has newer rows", zap.String("table", s.table), zap.Uint64("position", after), zap.Errors("errors", failures))
}

// subscribe passes on the changes after the version that the node at the address publishes, until that fails.
func (s *Subscriber) subscribe(ctx context.Context, address string, after uint64) error {
	return s.receive(ctx, address, after, math.MaxInt)
}

// receive passes on a number of messages of the node at the address, which starts with the changes after the version.
func (s *Subscriber) receive(ctx context.Context, address string, after uint64, count int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return fmt.Errorf("subscribe at %s: %w", address, err)
	}
	request.Header.Set(headerSubscribeAfter, strconv.FormatUint(after, 10))
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("subscribe at %s after version %d: unexpected status %d", address, after, response.StatusCode)
	}
	limited := &io.LimitedReader{R: response.Body}
	messages := gob.NewDecoder(limited)
	for range count {
		limited.N = maxAnswerBytes
		var message wireMessage
		if err := messages.Decode(&message); err != nil {
			return fmt.Errorf("read a message of the subscription: %w", err)
		}
		silence.Reset(silenceTimeout)
		if err := s.follower.Offer(message.After, message.Version, func() ([]ibisstore.Row, error) { return s.rows(message) }); err != nil {
			return err
		}
	}
	return nil
}

// errSilent reports that a node to which this one is subscribed sends nothing any more.
var errSilent = errors.New("the node has sent no message for too long")

// rows returns the rows of a message.
func (s *Subscriber) rows(message wireMessage) ([]ibisstore.Row, error) {
	if len(message.Rows) == 0 {
		return nil, nil
	}
	text, err := gzip.NewReader(bytes.NewReader(message.Rows))
	if err != nil {
		return nil, fmt.Errorf("decompress the rows of a message: %w", err)
	}
	var wire []wireRow
	if err := json.NewDecoder(io.LimitReader(text, maxAnswerBytes)).Decode(&wire); err != nil {
		return nil, fmt.Errorf("decode the rows of a message: %w", err)
	}
	return decodeRows(wire, s.table, message.Version)
}
