package ibisrowstore

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

const (
	maxBody     = 1 << 20
	maxObject   = 8 << 20
	longestWait = 30 * time.Second
	// stallWindow is the number of bytes between two pauses of an answer that stalls.
	stallWindow = 128 << 10

	pathTransaction = "/-/rows-tx"
	headerEra       = "Store-Era"
	// tableOperator is the table that the operator writes, and tableServers that of the backend servers.
	tableOperator = "op"
	tableServers  = "servers"
)

// Server answers the store's calls over HTTP and does wrong what it was told to.
type Server struct {
	store  *Store
	faults *faults
	mux    *http.ServeMux
}

// NewServer returns a server of the store without faults; the seed decides which calls faults hit.
func NewServer(store *Store, seed uint64) *Server {
	s := &Server{
		store: store,
		faults: &faults{
			random: rand.New(rand.NewPCG(seed, 1)),
		},
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST "+pathTransaction, s.rowsTx)
	s.mux.HandleFunc("GET /-/rows-get", s.rowsGet)
	s.mux.HandleFunc("GET /-/rows-parts", s.rowsParts)
	s.mux.HandleFunc("GET /-/rows-feed", s.rowsFeed)
	s.mux.HandleFunc("PUT /-/blob-put/{id...}", s.blobPut)
	s.mux.HandleFunc("GET /-/blob-get/{id...}", s.blobGet)
	s.mux.HandleFunc("DELETE /-/blob-drop/{id...}", s.blobDrop)
	s.mux.HandleFunc("GET /-/blob-list", s.blobList)
	s.switches(s.mux)
	return s
}

// Inject adds faults to those in force.
func (s *Server) Inject(f Faults) { s.faults.add(f) }

// Clear ends every fault.
func (s *Server) Clear() { s.faults.clear() }

// Counts returns the number of calls that arrived.
func (s *Server) Counts() Counts { return s.faults.total() }

// ServeHTTP answers a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathRewind || r.URL.Path == pathFaults || r.URL.Path == pathCounts {
		s.mux.ServeHTTP(w, r)
		return
	}
	commits := r.URL.Path == pathTransaction
	f := s.faults.draw(commits || r.Method == http.MethodPut || r.Method == http.MethodDelete, commits)
	if f.delay > 0 {
		ibistimer.Sleep(r.Context(), f.delay)
	}
	if f.stall > 0 {
		w = &stallingWriter{
			ResponseWriter: w,
			ctx:            r.Context(),
			pause:          f.stall,
		}
	}
	switch f.down {
	case DownSilent:
		// Only a request that was read to its end lets the server notice that its caller has left.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case DownReset:
		reset(w)
		return
	case DownBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case DownMany:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	case DownNot:
	}
	switch {
	case f.lost:
		s.mux.ServeHTTP(discard{}, r)
		reset(w)
	case f.late > 0:
		body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
		time.AfterFunc(f.late, func() {
			var t transaction
			if json.Unmarshal(body, &t) == nil && t.fault() == "" {
				s.store.apply(t)
			}
		})
		reset(w)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// stallingWriter writes an answer with a pause before each further window.
type stallingWriter struct {
	http.ResponseWriter
	ctx   context.Context
	pause time.Duration
	sent  int
}

// Unwrap returns the writer below.
func (w *stallingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes the bytes; it fails if the caller leaves during a pause.
func (w *stallingWriter) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		if w.sent > 0 && w.sent%stallWindow == 0 {
			_ = http.NewResponseController(w.ResponseWriter).Flush()
			ibistimer.Sleep(w.ctx, w.pause)
		}
		n, err := w.ResponseWriter.Write(b[:min(len(b), stallWindow-w.sent%stallWindow)])
		written += n
		w.sent += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, w.ctx.Err()
}

// discard takes an answer that is lost.
type discard struct{}

// Header returns headers that nobody reads.
func (discard) Header() http.Header { return make(http.Header) }

// Write drops the bytes.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}

// reset ends the connection with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// rowsAnswer answers calls about rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// answerRows answers a call about rows as of a moment.
func (s *Server) answerRows(w http.ResponseWriter, status int, at moment, rows []row, more bool) {
	w.Header().Set(headerEra, strconv.FormatUint(at.era, 10))
	answer(w, status, rowsAnswer{
		Rows:    rows,
		HasMore: more,
		Ver:     at.version,
		NowMs:   s.store.nowMs(),
	})
}

func (s *Server) rowsTx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault := t.fault(); fault != "" {
		http.Error(w, fault, http.StatusBadRequest)
		return
	}
	for _, key := range changed(t) {
		if key.Table == tableOperator || key.Table == tableServers {
			http.Error(w, "the table is the operator's", http.StatusForbidden)
			return
		}
	}
	at, current, ok := s.store.apply(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answerRows(w, status, at, current, false)
}

func changed(t transaction) []rowKey {
	keys := slices.Clone(t.Remove)
	for _, write := range t.Writes {
		keys = append(keys, write.rowKey)
	}
	return keys
}

func (s *Server) rowsGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	rows, more, at := s.store.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	s.answerRows(w, http.StatusOK, at, rows, more)
}

func (s *Server) rowsParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer(w, http.StatusOK, map[string][]string{"parts": s.store.parts(q.Get("table"), q.Get("after"))})
}

func (s *Server) rowsFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.NewTimer(min(longestWait, time.Duration(ms)*time.Millisecond))
	defer timeout.Stop()
	for {
		rows, at, next, lost := s.store.feed(q.Get("table"), after)
		if lost {
			w.Header().Set(headerEra, strconv.FormatUint(at.era, 10))
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.answerRows(w, http.StatusOK, at, rows, false)
			return
		}
		select {
		case <-next:
		case <-timeout.C:
			s.answerRows(w, http.StatusOK, at, rows, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) blobPut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := s.store.objects[id]; ok && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.store.objects[id] = body
}

func (s *Server) blobGet(w http.ResponseWriter, r *http.Request) {
	s.store.mu.Lock()
	body, ok := s.store.objects[r.PathValue("id")]
	s.store.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) blobDrop(_ http.ResponseWriter, r *http.Request) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	delete(s.store.objects, r.PathValue("id"))
}

func (s *Server) blobList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.store.mu.Lock()
	var names []string
	for name := range s.store.objects {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			names = append(names, name)
		}
	}
	s.store.mu.Unlock()
	slices.Sort(names)
	const page = 1000
	more := len(names) > page
	answer(w, http.StatusOK, map[string]any{"names": names[:min(page, len(names))], "hasMore": more})
}
