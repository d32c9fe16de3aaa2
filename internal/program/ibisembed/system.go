package ibisembed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisnode"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
	"github.com/ibisridge/ibisridge/platform"
)

const (
	anyPort       = "127.0.0.1:0"
	readyPoll     = 20 * time.Millisecond
	serverTimeout = 5 * time.Second
	headerTimeout = 5 * time.Second
	// faultSeed draws which calls to the store shares of faults hit.
	faultSeed = 1
)

// Pair is a node and the backend server beside it.
type Pair struct {
	// Node is the node.
	Node *ibisnode.Node
	// Server is the stand-in backend server.
	Server *ibisserver.Server
	name   ibisid.NodeName
	place  ibisid.Place
	cancel context.CancelFunc
	done   chan struct{}
}

// Name returns the node's name.
func (p *Pair) Name() ibisid.NodeName { return p.name }

// Place returns where the pair stands.
func (p *Pair) Place() ibisid.Place { return p.place }

// Stop stops the node as planned and then its backend server; it fails where the server does not end in time.
func (p *Pair) Stop() error {
	p.cancel()
	<-p.done
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	return p.Server.Close(ctx)
}

// PairConfig describes a pair.
type PairConfig struct {
	// Name is the node's name.
	Name ibisid.NodeName
	// Place is where the pair stands.
	Place ibisid.Place
	// Server describes the backend server; name and node are filled in.
	Server ibisserver.Config
	// Change changes the node's settings, nil for none.
	Change func(*ibissettings.Settings)
}

// System is a running small system.
type System struct {
	store *ibisrowstore.Server
	http  *http.Server
	table *platform.Table
	log   *zap.Logger
	group *errgroup.Group
	ctx   context.Context
	end   context.CancelFunc
	pairs []*Pair
}

// New returns a system without nodes around a stand-in of the platform's store; it fails where no port can be taken.
func New(log *zap.Logger) (*System, error) {
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return nil, fmt.Errorf("stand-in of the store: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	store := ibisrowstore.NewServer(ibisrowstore.New(), faultSeed)
	s := &System{
		store: store,
		http: &http.Server{
			Handler:           store,
			ReadHeaderTimeout: headerTimeout,
		},
		table: platform.NewTable("http://"+listener.Addr().String(), ibissettings.Default().Limits.PlatformTimeout.Duration),
		log:   log,
		group: group,
		ctx:   ctx,
		end:   end,
	}
	group.Go(func() error {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stand-in of the store: %w", err)
		}
		return nil
	})
	return s, nil
}

// Store returns the stand-in of the platform's store, to switch its faults.
func (s *System) Store() *ibisrowstore.Server { return s.store }

// Table returns the table and objects that the nodes use.
func (s *System) Table() *platform.Table { return s.table }

// Pairs returns the pairs in the order in which they were started.
func (s *System) Pairs() []*Pair { return s.pairs }

// Start starts a pair; it fails where an address can't be taken.
func (s *System) Start(config PairConfig) (*Pair, error) {
	settings := ibissettings.Default()
	settings.Name = config.Name
	settings.Region = config.Place.Region
	settings.Domain = config.Place.Domain
	settings.Listen = ibissettings.Listen{
		Callers:   anyPort,
		Peers:     anyPort,
		Operators: anyPort,
		Backend:   anyPort,
	}
	if config.Change != nil {
		config.Change(&settings)
	}
	node, err := ibisnode.New(settings, s.table, s.table, ibistimer.New(), s.log)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", config.Name, err)
	}
	config.Server.Name = string(config.Name)
	config.Server.Node = "http://" + node.BackendAddress()
	pair := &Pair{
		Node:   node,
		Server: ibisserver.New(config.Server),
		name:   config.Name,
		place:  config.Place,
		done:   make(chan struct{}),
	}
	return pair, s.run(pair)
}

func (s *System) run(pair *Pair) error {
	ctx, cancel := context.WithCancel(s.ctx)
	pair.cancel = cancel
	s.pairs = append(s.pairs, pair)
	s.group.Go(func() error {
		defer close(pair.done)
		if err := pair.Node.Run(ctx); err != nil {
			return fmt.Errorf("node %s: %w", pair.name, err)
		}
		return nil
	})
	if err := pair.Server.Start(); err != nil {
		return fmt.Errorf("backend server %s: %w", pair.name, err)
	}
	return nil
}

// WaitReady waits until every node takes requests; it fails where the context ends or a node fails before.
func (s *System) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return errors.New("a node ended before the system was ready")
		case <-ctx.Done():
			return fmt.Errorf("not every node became ready: %w", ctx.Err())
		}
	}
}

func (s *System) ready() bool {
	for _, p := range s.pairs {
		if !p.Node.Ready() {
			return false
		}
	}
	return true
}

// Close stops every node and then every backend server.
func (s *System) Close() error {
	s.end()
	for _, p := range s.pairs {
		<-p.done
	}
	err := s.http.Close()
	for _, p := range s.pairs {
		_ = p.Server.Kill()
	}
	return errors.Join(s.group.Wait(), err)
}
