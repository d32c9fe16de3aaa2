package ibisneighbor

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// headerAfter marks a question for changes, and says after which version.
const headerAfter = "X-Ibis-Changes-After"

// wireChanges answers a question for changes.
type wireChanges struct {
	Version uint64    `json:"version"`
	Rows    []wireRow `json:"rows,omitempty"`
}

// wireRow is one changed row.
type wireRow struct {
	Part    string `json:"part"`
	Name    string `json:"name"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

func newWireRow(key ibisstore.Key, value []byte, version uint64) wireRow {
	return wireRow{
		Part:    key.Part,
		Name:    key.Name,
		Value:   value,
		Version: version,
	}
}

// row returns the row of the table, whose name the question told.
func (r wireRow) row(table string) ibisstore.Row {
	return ibisstore.Row{
		Key: ibisstore.Key{
			Table: table,
			Part:  r.Part,
			Name:  r.Name,
		},
		Value:   r.Value,
		Version: r.Version,
		Removed: r.Removed,
	}
}

func wireRowOf(row ibisstore.Row) wireRow {
	out := newWireRow(row.Key, row.Value, row.Version)
	out.Removed = row.Removed
	return out
}

// Handler answers neighbors' questions for changes from a copy, and hands everything else to the next handler.
func Handler(own *Copy, next http.Handler, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := r.Header.Get(headerAfter)
		if text == "" {
			next.ServeHTTP(w, r)
			return
		}
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			log.Warn("question of a neighbor can't be read", zap.String("from", r.RemoteAddr), zap.String("after", text), zap.Error(err))
			http.Error(w, headerAfter+" must be a version", http.StatusBadRequest)
			return
		}
		changes, ok := await(r, own, after)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		write(w, changes, log)
	})
}

// await waits for changes until the neighbor's patience ends, and reports whether the copy could tell.
func await(r *http.Request, own *Copy, after uint64) (ibisstore.Snapshot, bool) {
	timeout := time.NewTimer(heldFor)
	defer timeout.Stop()
	for {
		changes, more, ok := own.After(after)
		if !ok || len(changes.Rows) > 0 {
			return changes, ok
		}
		select {
		case <-more:
		case <-timeout.C:
			return changes, true
		case <-r.Context().Done():
			return changes, false
		}
	}
}

// write sends changes compressed: a page of ranges repeats the same names many times.
func write(w http.ResponseWriter, changes ibisstore.Snapshot, log *zap.Logger) {
	body := wireChanges{
		Version: changes.Version,
	}
	for _, row := range changes.Rows {
		body.Rows = append(body.Rows, wireRowOf(row))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	packed, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(packed).Encode(body)
	}
	if err == nil {
		err = packed.Close()
	}
	if err != nil {
		log.Warn("changes for a neighbor broke off", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}
