package ibisserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

const readHeaderTimeout = 5 * time.Second

// Server is a stand-in backend server.
type Server struct {
	config    Config
	run       string
	http      *http.Server
	announcer *ibisbackend.Announcer
	listener  net.Listener
	served    chan error

	mu          sync.Mutex
	state       ibisbackend.State
	coldFrom    time.Time
	coldUntil   time.Time
	running     int
	waiting     []*waiter
	connections int
	faults      Faults
	frozen      chan struct{}
	slow        straggler
	tokens      map[string]ibisid.Token
	counts      Counts
	reported    ibisbackend.Load
}

// New returns a server that is not yet started.
func New(config Config) *Server {
	s := &Server{
		config: config.withDefaults(),
		run:    uuid.NewString(),
		served: make(chan error, 1),
		state:  ibisbackend.StateServing,
		tokens: make(map[string]ibisid.Token),
		counts: newCounts(),
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         s.trackConnection,
	}
	if s.config.Node != "" {
		s.announcer = ibisbackend.NewAnnouncer(s.config.Timer, s.config.Node, nil, s.Announcement)
	}
	return s
}

// Start listens, serves and announces the server; it fails where the address can't be listened on.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return fmt.Errorf("backend server %s: %w", s.config.Name, err)
	}
	s.listener = listener
	s.TurnCold()
	go func() { s.served <- s.http.Serve(limitListener(listener, s.config.Connections)) }()
	if s.announcer != nil {
		s.announcer.Start()
	}
	return nil
}

// Address returns the IP address and port that the server listens on, empty before Start.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Announcement returns what the server tells its node at present.
func (s *Server) Announcement() ibisbackend.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ibisbackend.Announcement{
		Service:      s.config.Service,
		Address:      s.Address(),
		Slots:        s.config.Slots,
		Connections:  s.config.Connections,
		ChecksGrants: s.config.ChecksGrants,
		Cold:         s.cold(s.config.Timer.Now()) && !s.config.HideCold,
		Weight:       s.config.Weight,
		State:        s.state,
		Run:          s.run,
	}
}

// AnnounceError returns the error of the last announcement, nil where the node took it.
func (s *Server) AnnounceError() error {
	if s.announcer == nil {
		return nil
	}
	return s.announcer.Err()
}

// Drain announces that the server takes no new work, and returns when nothing runs or waits, or with the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.setState(ibisbackend.StateDraining)
	for !s.idle() {
		if err := s.pause(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// Close announces that the server leaves and ends it once running requests have been answered, or with the context.
func (s *Server) Close(ctx context.Context) error {
	s.setState(ibisbackend.StateLeaving)
	if s.announcer != nil {
		s.announcer.Stop()
	}
	return s.http.Shutdown(ctx)
}

// Kill ends the server at once and cuts off every connection, without a word to its node.
func (s *Server) Kill() error {
	if s.announcer != nil {
		s.announcer.Stop()
	}
	return s.http.Close()
}

// Wait returns when the server no longer serves, with an error where it was not closed.
func (s *Server) Wait() error {
	err := <-s.served
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

const drainPoll = 10 * time.Millisecond

func (s *Server) setState(state ibisbackend.State) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	if s.announcer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ibisbackend.AnnouncePeriod)
	defer cancel()
	_ = s.announcer.Announce(ctx)
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && len(s.waiting) == 0
}

func (s *Server) pause(ctx context.Context, d time.Duration) error {
	done := make(chan struct{})
	subscription := s.config.Timer.After(d, func(time.Time) { close(done) })
	defer subscription.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
