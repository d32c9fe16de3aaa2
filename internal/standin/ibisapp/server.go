package ibisapp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

// Config is what a backend server is.
type Config struct {
	// ID is the id that it goes by.
	ID string
	// Service is its service.
	Service string
	// Domain is its failure domain.
	Domain string
	// Address is where it takes requests.
	Address string
	// Control is where it sends heartbeats.
	Control string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Sharded says that it runs requests only for keys that it holds.
	Sharded bool
	// ByCall says that the node grants keys by calls instead of in the answers to heartbeats.
	ByCall bool
	// Heartbeat is the time between two heartbeats.
	Heartbeat time.Duration
	// Work is how long a request takes.
	Work time.Duration
	// Body is the length of an answer in bytes.
	Body int
}

// CrashPath begins the paths of requests that end the server that begins to run them.
const CrashPath = "/look/crash/"

// CrashMidwayPath begins the paths of those that end it midway through its answer.
const CrashMidwayPath = CrashPath + "midway/"

// HeaderCounted marks a request that counts against the bounds for one that ends servers.
const HeaderCounted = "Counted"

// HeaderTenantSeen is the account that a backend server was told of, in its answer.
const HeaderTenantSeen = "Tenant-Seen"

// Server is a running backend server.
type Server struct {
	config Config
	ledger *Ledger
	born   int64
	http   *http.Server
	slots  chan struct{}
	done   context.Context
	end    context.CancelFunc

	// up is read by the ledger, which may be called with mu held.
	up atomic.Bool
	// fault is a Fault.
	fault atomic.Int32
	// reply returns the raw answer to a request, nil if requests are run.
	reply atomic.Pointer[func(r *http.Request) ibistcp.Reply]

	mu      sync.Mutex
	leaving bool
	seq     uint64
	waiting int
	holds   []hold
	freed   [][3]any
	// tokens holds the highest token seen, by key, where keys are granted by calls.
	tokens   map[int]uint64
	ackedOut time.Time
	notice   notice
	beats    chan struct{}
}

// hold is a span of keys that a server holds.
type hold struct {
	from, to int
	token    uint64
	handover string
	until    time.Time
	busy     int
	dropped  bool
}

// Start starts a backend server; it fails where its address is taken.
func Start(config Config, ledger *Ledger) (*Server, error) {
	listener, err := net.Listen("tcp4", config.Address)
	if err != nil {
		return nil, fmt.Errorf("backend server %s: %w", config.ID, err)
	}
	done, end := context.WithCancel(context.Background())
	s := &Server{
		config: config,
		ledger: ledger,
		born:   time.Now().UnixMilli(),
		slots:  make(chan struct{}, config.Slots),
		done:   done,
		end:    end,
		beats:  make(chan struct{}, 1),
		tokens: make(map[int]uint64),
	}
	s.up.Store(true)
	s.http = &http.Server{
		Handler: s,
	}
	go func() { _ = s.http.Serve(listener) }()
	go s.heartbeats()
	return s, nil
}

// Up reports whether the server runs.
func (s *Server) Up() bool { return s.up.Load() }

// Crash ends the server at once.
func (s *Server) Crash() {
	s.up.Store(false)
	s.end()
	_ = s.http.Close()
}

// Drain makes the server say that it leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.beatNow()
}

// Leave ends a drained server as planned.
func (s *Server) Leave() {
	_ = s.call(http.MethodDelete, nil, nil)
	s.Crash()
}

// ServeHTTP runs a request, or says that it doesn't.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		s.health(w)
		return
	case "/-/grant", "/-/release":
		s.serveCall(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if reply := s.reply.Load(); reply != nil {
		s.ledger.begin(s, id, r.Method == http.MethodPost, -1)
		s.sendReply(w, r, (*reply)(r))
		return
	}
	w.Header().Set("Attempt-Id", id)
	s.checkNotice(id)
	if tenant, ok := r.Header["Tenant"]; ok {
		w.Header().Set(HeaderTenantSeen, strings.Join(tenant, ","))
	}
	s.ledger.checkSecrets(s, id, r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.config.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("Time-Remaining-Ms"))
	if err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if !s.slot(r.Context(), deadline) {
		s.writeNotice(w.Header())
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	if !s.config.Sharded {
		key = -1
	} else if !s.hold(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if key >= 0 {
		// The work of an aborted request panics.
		defer s.letGo(key)
	}
	s.ledger.begin(s, id, r.Method == http.MethodPost, key)
	if strings.HasPrefix(r.URL.Path, CrashPath) {
		s.ledger.ended(s, r.URL.Path, r.Header.Get(HeaderCounted) != "")
		if strings.HasPrefix(r.URL.Path, CrashMidwayPath) {
			s.writeHalf(w, id)
		}
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.checkDrained(id)
	s.work(w, r, id, len(body), deadline)
}

// health answers a health check.
func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	w.Header().Set("Instance-Id", s.config.ID)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checkDrained reports work that arrives long after the node acknowledged that the server leaves.
func (s *Server) checkDrained(id string) {
	const bound = 2500 * time.Millisecond
	s.mu.Lock()
	acked := s.ackedOut
	s.mu.Unlock()
	if !acked.IsZero() && time.Since(acked) > bound {
		s.ledger.Report("request %s reaches %s %s after its leaving was acknowledged", id, s.config.ID, time.Since(acked))
	}
}

// slot takes a slot, unless the queue is full or the caller leaves first.
func (s *Server) slot(ctx context.Context, deadline time.Time) bool {
	s.mu.Lock()
	if s.waiting >= s.config.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (s *Server) work(w http.ResponseWriter, r *http.Request, id string, received int, deadline time.Time) {
	t := time.NewTimer(min(s.config.Work, time.Until(deadline)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-s.done.Done():
		// A handler that returned would have the server send an empty success.
		panic(http.ErrAbortHandler)
	}
	s.writeNotice(w.Header())
	if time.Now().After(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if fault := Fault(s.fault.Load()); fault != FaultNone {
		s.failAnswer(w, id, fault)
		return
	}
	w.Header().Set("Server-Seal", Seal(s.config.ID, id, s.config.Body))
	w.Header().Set("Received", strconv.Itoa(received))
	w.Header().Set("Content-Length", strconv.Itoa(s.config.Body))
	_, _ = w.Write(Body(id, s.config.Body))
}

// Seal returns the signature of an answer.
func Seal(server, id string, length int) string { return fmt.Sprintf("%s.%s.%d", server, id, length) }

// Body returns the body that answers a request.
func Body(id string, length int) []byte {
	body := make([]byte, length)
	for i := range body {
		body[i] = 'a' + byte((i+len(id))%26)
	}
	copy(body, id)
	return body
}
