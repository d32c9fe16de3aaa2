package ibisnode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
)

const (
	idleTimeout = 2 * time.Minute
	// maxPeerConnections bounds the connections from other nodes.
	maxPeerConnections = 32_768
	// maxLocalConnections bounds the connections from the backend server, and separately those from operators.
	maxLocalConnections = 256
)

// listeners holds the open listeners of a node.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	backend   net.Listener
	operators net.Listener
}

// openListeners opens a listener for every address of the settings. If one fails, it closes the others and returns the errors.
func openListeners(s ibissettings.Settings) (*listeners, error) {
	l := &listeners{}
	err := errors.Join(
		openListener(&l.callers, "callers", s.Listen.Callers, s.Limits.Connections),
		openListener(&l.peers, "peers", s.Listen.Peers, maxPeerConnections),
		openListener(&l.backend, "backend", s.Listen.Backend, maxLocalConnections),
		openListener(&l.operators, "operators", s.Listen.Operators, maxLocalConnections),
	)
	if err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func openListener(target *net.Listener, name, address string, maxConnections int) error {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen.%s: %w", name, err)
	}
	*target = netutil.LimitListener(opened, maxConnections)
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.backend, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// newServer returns an HTTP server with limits on headers. It serves HTTP/1.1 and, over TLS if allowHTTP2 is true, HTTP/2.
func newServer(handler http.Handler, limits ibissettings.Limits, config *tls.Config, allowHTTP2 bool, log *zap.Logger) *http.Server {
	if config != nil {
		config = config.Clone() // the server modifies its configuration, which two listeners may share
	}
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(log),
	}
	if !allowHTTP2 {
		server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){}
	}
	return server
}

// serve runs the server until the context ends, and then waits at most stopTimeout for running requests. It fails with
// context.DeadlineExceeded if some still run then.
func serve(ctx context.Context, server *http.Server, listener net.Listener, stopTimeout time.Duration) error {
	shutdownDone := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		shutdownDone <- server.Shutdown(shutdownCtx)
	}()
	err := serveListener(server, listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-shutdownDone
}

func serveListener(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

// serve starts the HTTP server of the named listener in the group.
func (n *Node) serve(ctx context.Context, group *errgroup.Group, name string, handler http.Handler) {
	limits := n.settings.Limits
	var server *http.Server
	listener := n.listeners.backend
	switch name {
	case "callers":
		listener = n.listeners.callers
		server = newServer(handler, limits, n.keyPairs.callers, true, n.log)
	case "peers":
		listener = n.listeners.peers
		server = newServer(handler, limits, n.keyPairs.peerServer, false, n.log)
	case "operators":
		listener = n.listeners.operators
		server = newServer(handler, limits, n.keyPairs.callers, true, n.log)
	default:
		server = newServer(handler, limits, nil, false, n.log)
	}
	group.Go(func() error {
		err := serve(ctx, server, listener, limits.StopTimeout.Duration)
		if errors.Is(err, context.DeadlineExceeded) {
			n.log.Warn("stop timeout reached; requests still running on the listener are cut off", zap.String("listener", name))
			return nil
		}
		return err
	})
}
