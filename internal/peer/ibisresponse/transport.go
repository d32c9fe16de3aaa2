package ibisresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that checks responses; one with a fault fails.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that takes over the base, which must dial with DialContext.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{
		base: base,
	}
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				_ = conn.BeginResponse(nil)
			}
		},
	}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
