package ibisneighbor

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// headerSubscribeAfter marks a subscription to the changes of a table; its value is the version after which they are sent.
	headerSubscribeAfter = "X-Ibis-Subscribe-After"
	// heartbeatInterval is the time between two messages of a subscription while there are no changes.
	heartbeatInterval = 2 * time.Second
	// messageTimeout limits the time in which a subscriber's connection takes a message.
	messageTimeout = 10 * time.Second
)

// wireMessage is one message of a subscription: the changes between two versions. After version zero, it has the whole table.
type wireMessage struct {
	After   uint64
	Version uint64
	// Rows holds the changed rows, as compressed JSON; it is empty if there are none.
	Rows []byte
}

// Publisher sends the changes of one table to other nodes from the local copy, without a request for each change.
type Publisher struct {
	local *Copy
	log   *zap.Logger

	mu sync.Mutex
	// last is the latest message with changes: most subscribers need the same one.
	last wireMessage
}

// NewPublisher returns a publisher of the changes that the copy gets.
func NewPublisher(local *Copy, log *zap.Logger) *Publisher {
	return &Publisher{
		local: local,
		log:   log,
	}
}

// Handler serves subscriptions and passes all other requests to the next handler.
func (p *Publisher) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value := r.Header.Get(headerSubscribeAfter)
		if value == "" {
			next.ServeHTTP(w, r)
			return
		}
		after, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			p.log.Warn("rejecting a subscription with a malformed version", zap.String("from", r.RemoteAddr), zap.String("after", value), zap.Error(err))
			http.Error(w, headerSubscribeAfter+" must be a version", http.StatusBadRequest)
			return
		}
		p.serve(w, r, after)
	})
}

// serve sends the changes after the version until the subscriber leaves or the copy is closed.
func (p *Publisher) serve(w http.ResponseWriter, r *http.Request, version uint64) {
	after, changes, changed, ok := p.local.updateFor(version)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Connection", "close")
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	controller := http.NewResponseController(w)
	messages := gob.NewEncoder(w)
	for ok {
		// A writer without deadlines is one of a test.
		_ = controller.SetWriteDeadline(time.Now().Add(messageTimeout))
		err := messages.Encode(p.message(after, changes))
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			p.log.Debug("subscriber has left", zap.String("from", r.RemoteAddr), zap.Error(err))
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		}
		after, changes, changed, ok = p.local.updateFor(changes.Version)
	}
}

// message returns the message with the changes after the version.
func (p *Publisher) message(after uint64, changes ibisstore.Snapshot) wireMessage {
	message := wireMessage{
		After:   after,
		Version: changes.Version,
	}
	if len(changes.Rows) == 0 {
		return message
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.After != after || p.last.Version != changes.Version {
		message.Rows = compressRows(changes.Rows)
		p.last = message
	}
	return p.last
}

func compressRows(rows []ibisstore.Row) []byte {
	var out bytes.Buffer
	compressed := gzip.NewWriter(&out)
	wire := make([]wireRow, 0, len(rows))
	for _, row := range rows {
		wire = append(wire, wireRowOf(row))
	}
	err := json.NewEncoder(compressed).Encode(wire)
	if err == nil {
		err = compressed.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("compress rows in memory: %v", err))
	}
	return out.Bytes()
}
