package ibisbackend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxResponseHeaders = 64 << 10
	// controlConnections is the number of announced connections that are reserved for load and health requests.
	controlConnections = 1
	controlTimeout     = time.Second
)

// Client sends requests to one backend server and opens no more connections than the server announced, except that it always
// has one connection for requests and one for control requests.
type Client struct {
	address          string
	requestTransport *http.Transport
	controlTransport *ibisresponse.Transport
}

// ClientOption configures a Client.
type ClientOption func(*clientOptions)

type clientOptions struct{ tls *tls.Config }

// WithTLS makes the client connect by TLS with the configuration; nil means plain TCP, which is the default.
func WithTLS(config *tls.Config) ClientOption { return func(o *clientOptions) { o.tls = config } }

// NewClient returns a Client of the backend server at the address that opens at most the given number of connections, or at
// most two if fewer are given.
func NewClient(address string, connections int, options ...ClientOption) *Client {
	var chosen clientOptions
	for _, option := range options {
		option(&chosen)
	}
	dial := chosen.dial()
	return &Client{
		address:          address,
		requestTransport: newTransport(guardedDial(dial), max(1, connections-controlConnections)),
		controlTransport: ibisresponse.NewTransport(newTransport(dial, controlConnections)),
	}
}

func (o clientOptions) dial() dialFunc {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	if o.tls == nil {
		return dialer.DialContext
	}
	secure := &tls.Dialer{
		NetDialer: dialer,
		Config:    o.tls,
	}
	return secure.DialContext
}

func newTransport(dial dialFunc, connections int) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaders,
	}
}

// Address returns the address of the backend server.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections.
func (c *Client) Close() {
	c.requestTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

// sendControl sends a GET request that may be retried; its caller closes the body.
func (c *Client) sendControl(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport: c.controlTransport,
		Timeout:   controlTimeout,
	}
	return client.Do(request)
}
