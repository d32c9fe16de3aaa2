package ibisneighbor

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// headerAfter marks a request for changes; its value is the version after which changes are requested.
const headerAfter = "X-Ibis-Changes-After"

// wireChanges encodes the answer to a request for changes.
type wireChanges struct {
	Version uint64    `json:"version"`
	Rows    []wireRow `json:"rows,omitempty"`
}

// wireRow encodes a row without its table.
type wireRow struct {
	Part    string `json:"part"`
	Name    string `json:"name"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

func newWireRow(key ibisstore.Key, value []byte, version uint64) wireRow {
	return wireRow{
		Part:    key.Partition,
		Name:    key.Name,
		Value:   value,
		Version: version,
	}
}

// storeRow returns the row as a row of the table.
func (r wireRow) storeRow(table string) ibisstore.Row {
	return ibisstore.Row{
		Key: ibisstore.Key{
			Table:     table,
			Partition: r.Part,
			Name:      r.Name,
		},
		Value:   r.Value,
		Version: r.Version,
		Removed: r.Removed,
	}
}

// decodeRows returns the rows of an answer as of the version. It fails if one has no name or is of a later era: the answer is then
// not one that a node has read from the store.
func decodeRows(rows []wireRow, table string, version uint64) ([]ibisstore.Row, error) {
	out := make([]ibisstore.Row, 0, len(rows))
	for i, row := range rows {
		if row.Name == "" || ibisstore.EraOf(row.Version) > ibisstore.EraOf(version) {
			return nil, fmt.Errorf("row %d, %q, has version %d in an answer of version %d: must have a name and no later era", i, row.Name, row.Version, version)
		}
		out = append(out, row.storeRow(table))
	}
	return out, nil
}

func wireRowOf(row ibisstore.Row) wireRow {
	out := newWireRow(row.Key, row.Value, row.Version)
	out.Removed = row.Removed
	return out
}

// Handler answers neighbors' requests for changes from the local copy and passes all other requests to the next handler.
func Handler(local *Copy, next http.Handler, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value := r.Header.Get(headerAfter)
		if value == "" {
			next.ServeHTTP(w, r)
			return
		}
		after, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			log.Warn("rejecting a neighbor's request for changes with a malformed version", zap.String("from", r.RemoteAddr), zap.String("after", value), zap.Error(err))
			http.Error(w, headerAfter+" must be a version", http.StatusBadRequest)
			return
		}
		changes, ok := awaitChanges(r, local, after)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeChanges(w, changes, log)
	})
}

// awaitChanges waits up to longPollTime for changes after the version, and reports whether the copy could answer the request.
func awaitChanges(r *http.Request, local *Copy, after uint64) (ibisstore.Snapshot, bool) {
	timeout := time.NewTimer(longPollTime)
	defer timeout.Stop()
	for {
		changes, changed, ok := local.ChangesAfter(after)
		if !ok || len(changes.Rows) > 0 {
			return changes, ok
		}
		select {
		case <-changed:
		case <-timeout.C:
			return changes, true
		case <-r.Context().Done():
			return changes, false
		}
	}
}

// writeChanges sends changes compressed, since a page of ranges repeats the same names many times.
func writeChanges(w http.ResponseWriter, changes ibisstore.Snapshot, log *zap.Logger) {
	body := wireChanges{
		Version: changes.Version,
	}
	for _, row := range changes.Rows {
		body.Rows = append(body.Rows, wireRowOf(row))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(compressed).Encode(body)
	}
	if err == nil {
		err = compressed.Close()
	}
	if err != nil {
		log.Warn("sending changes to a neighbor failed", zap.Uint64("version", changes.Version), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}
