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
	// headerStore marks a call of the store that another node makes through this one.
	headerStore = "X-Ibis-Store"
	storeCall   = "1"
	// mostCall bounds a call: a transaction of the store takes 64 KiB a row, and its JSON a third more.
	mostCall = 1 << 20
)

// wireCall is a commit, or a question for the rows of a partition.
type wireCall struct {
	Commit *wireCommit `json:"commit,omitempty"`
	Table  string      `json:"table,omitempty"`
	Part   string      `json:"part,omitempty"`
}

// wireCommit is a commit; conditions carry a version and writes a value.
type wireCommit struct {
	Conditions []wireEntry `json:"conditions,omitempty"`
	Writes     []wireEntry `json:"writes,omitempty"`
	Removes    []wireEntry `json:"removes,omitempty"`
}

// wireEntry is a row of any table, as it was read or as a commit names it.
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

func (e wireEntry) key() ibisstore.Key { return e.row(e.Table).Key }

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

func rowsOf(entries []wireEntry) []ibisstore.Row {
	var out []ibisstore.Row
	for _, e := range entries {
		out = append(out, e.row(e.Table))
	}
	return out
}

// wireResult answers a commit that the store didn't turn away.
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
		Rows:    rowsOf(r.Rows),
	}
	if r.Error != "" {
		out.Err = errors.New(r.Error)
	}
	return out
}

// wireSnapshot answers a question for rows.
type wireSnapshot struct {
	Rows    []wireEntry   `json:"rows,omitempty"`
	Version uint64        `json:"version"`
	ClockNs time.Duration `json:"clockNs,omitempty"`
}

func (s wireSnapshot) snapshot() ibisstore.Snapshot {
	return ibisstore.Snapshot{
		Rows:    rowsOf(s.Rows),
		Version: s.Version,
		Clock:   s.ClockNs,
	}
}

// DetourHandler makes other nodes' calls of the store, and hands everything else to the next handler. The store is to be
// this node's own, not a Detour.
func DetourHandler(store ibisstore.Store, next http.Handler, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerStore) == "" {
			next.ServeHTTP(w, r)
			return
		}
		var call wireCall
		if err := json.NewDecoder(io.LimitReader(r.Body, mostCall)).Decode(&call); err != nil {
			log.Warn("another node's call of the store can't be read", zap.String("from", r.RemoteAddr), zap.Error(err))
			http.Error(w, "call of the store can't be read", http.StatusBadRequest)
			return
		}
		answer, err := serveCall(r, store, call)
		if err != nil {
			log.Info("another node's call of the store", zap.String("from", r.RemoteAddr), zap.Error(err))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			log.Warn("answer to another node's call of the store broke off", zap.String("from", r.RemoteAddr), zap.Error(err))
		}
	})
}

// serveCall makes the call; it fails where the store turned it away or rows can't be read.
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
		return nil, fmt.Errorf("the store turns the commit away: %w", result.Err)
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
