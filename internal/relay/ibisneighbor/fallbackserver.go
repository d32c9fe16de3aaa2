package ibisneighbor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// headerStore marks a request as another node's call of the store.
	headerStore    = "X-Ibis-Store"
	storeCallValue = "1"
	// maxCallBytes bounds a call: a transaction of the store takes up to 64 KiB per row, and base64 in JSON adds a third.
	maxCallBytes = 1 << 20
)

// wireCall is a commit or, if Commit is nil, a request for the rows of a partition.
type wireCall struct {
	Commit *wireCommit `json:"commit,omitempty"`
	Table  string      `json:"table,omitempty"`
	Part   string      `json:"part,omitempty"`
}

// wireCommit encodes a commit; its conditions carry a version and its writes a value.
type wireCommit struct {
	Conditions []wireEntry `json:"conditions,omitempty"`
	Writes     []wireEntry `json:"writes,omitempty"`
	Removes    []wireEntry `json:"removes,omitempty"`
}

// wireEntry encodes a row and its table: a row that was read, or a key in a commit with its version or value.
type wireEntry struct {
	Table string `json:"table"`
	wireRow
}

func newWireEntry(key ibisstore.Key, value []byte, version uint64) wireEntry {
	return wireEntry{
		Table:   key.Table,
		wireRow: newWireRow(key, value, version),
	}
}

func (e wireEntry) key() ibisstore.Key { return e.storeRow(e.Table).Key }

func newWireCommit(commit ibisstore.Commit) *wireCommit {
	out := &wireCommit{}
	for _, c := range commit.Conditions {
		out.Conditions = append(out.Conditions, newWireEntry(c.Key, nil, c.Version))
	}
	for _, w := range commit.Writes {
		out.Writes = append(out.Writes, newWireEntry(w.Key, w.Value, 0))
	}
	for _, key := range commit.Removes {
		out.Removes = append(out.Removes, newWireEntry(key, nil, 0))
	}
	return out
}

func (c *wireCommit) commit() ibisstore.Commit {
	var out ibisstore.Commit
	for _, e := range c.Conditions {
		out.Conditions = append(out.Conditions, ibisstore.Condition{
			Key:     e.key(),
			Version: e.Version,
		})
	}
	for _, e := range c.Writes {
		out.Writes = append(out.Writes, ibisstore.Write{
			Key:   e.key(),
			Value: e.Value,
		})
	}
	for _, e := range c.Removes {
		out.Removes = append(out.Removes, e.key())
	}
	return out
}

func newWireEntries(rows []ibisstore.Row) []wireEntry {
	var out []wireEntry
	for _, row := range rows {
		out = append(out, wireEntry{
			Table:   row.Key.Table,
			wireRow: wireRowOf(row),
		})
	}
	return out
}

func storeRows(entries []wireEntry) []ibisstore.Row {
	var out []ibisstore.Row
	for _, e := range entries {
		out = append(out, e.storeRow(e.Table))
	}
	return out
}

// wireResult encodes the result of a commit that the store did not refuse.
type wireResult struct {
	Outcome ibisstore.Outcome `json:"outcome"`
	Version uint64            `json:"version,omitempty"`
	ClockNs time.Duration     `json:"clockNs,omitempty"`
	Rows    []wireEntry       `json:"rows,omitempty"`
	Error   string            `json:"error,omitempty"`
}

func (r wireResult) result() ibisstore.Result {
	out := ibisstore.Result{
		Outcome: r.Outcome,
		Version: r.Version,
		Clock:   r.ClockNs,
		Rows:    storeRows(r.Rows),
	}
	if r.Error != "" {
		out.Err = errors.New(r.Error)
	}
	return out
}

// wireSnapshot encodes the rows of a partition.
type wireSnapshot struct {
	Rows    []wireEntry   `json:"rows,omitempty"`
	Version uint64        `json:"version"`
	ClockNs time.Duration `json:"clockNs,omitempty"`
}

func (s wireSnapshot) snapshot() ibisstore.Snapshot {
	return ibisstore.Snapshot{
		Rows:    storeRows(s.Rows),
		Version: s.Version,
		Clock:   s.ClockNs,
	}
}

// FallbackHandler serves other nodes' calls of the store and passes all other requests to the next handler. The store must
// call the platform directly and not be a FallbackStore, so that no call is forwarded twice.
func FallbackHandler(store ibisstore.Store, next http.Handler, log *zap.Logger, options ...FallbackOption) http.Handler {
	calls := callHandler(store, log)
	for _, o := range options {
		calls = o(calls)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerStore) == "" {
			next.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// FallbackOption changes a FallbackHandler.
type FallbackOption func(calls http.Handler) http.Handler

// WithCallHandler wraps the handler of calls of the store, whose bodies are read into memory.
func WithCallHandler(wrap func(calls http.Handler) http.Handler) FallbackOption { return wrap }

func callHandler(store ibisstore.Store, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call wireCall
		if err := json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(&call); err != nil {
			log.Warn("rejecting a malformed call of the store from another node", zap.String("from", r.RemoteAddr), zap.Error(err))
			http.Error(w, "call of the store can't be read", http.StatusBadRequest)
			return
		}
		answer, err := serveCall(r, store, call)
		if err != nil {
			log.Info("call of the store for another node failed", zap.String("from", r.RemoteAddr), zap.Error(err))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			log.Warn("sending the store's answer to another node failed", zap.String("from", r.RemoteAddr), zap.Error(err))
		}
	})
}

// serveCall makes a call of the store and returns the encoded answer; it fails if the store refused the commit or the rows
// could not be read.
func serveCall(r *http.Request, store ibisstore.Store, call wireCall) (any, error) {
	if call.Commit == nil {
		rows, err := store.Rows(r.Context(), call.Table, call.Part)
		if err != nil {
			return nil, err
		}
		return wireSnapshot{
			Rows:    newWireEntries(rows.Rows),
			Version: rows.Version,
			ClockNs: rows.Clock,
		}, nil
	}
	result := store.Commit(r.Context(), call.Commit.commit())
	if result.Outcome == ibisstore.OutcomeRefused {
		return nil, fmt.Errorf("the store refused the commit: %w", result.Err)
	}
	answer := wireResult{
		Outcome: result.Outcome,
		Version: result.Version,
		ClockNs: result.Clock,
		Rows:    newWireEntries(result.Rows),
	}
	if result.Err != nil {
		answer.Error = result.Err.Error()
	}
	return answer, nil
}
