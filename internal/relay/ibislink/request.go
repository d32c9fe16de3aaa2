package ibislink

import (
	"errors"
	"io"
	"net/http"
	"net/url"
)

// Request is one request of an exchange.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URI is the path and query as they stand in the request line.
	URI string
	// Host is the host header.
	Host string
	// Header holds the other headers; it is not changed.
	Header http.Header
	// Body is the body, nil for none.
	Body io.Reader
	// Length is the length of the body, -1 where it is not known.
	Length int64
	// ID is repeated by the answer in the pool's id header; empty where answers carry none.
	ID string
}

// Response is the answer of an exchange; its body must be closed.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the headers.
	Header http.Header
	// Length is the length of the body, -1 where it is not known.
	Length int64
	// Body reads the body; an error other than io.EOF means that the answer is not whole.
	Body io.ReadCloser
}

// ErrNotSent reports that no byte of the request was written.
var ErrNotSent = errors.New("request not sent")

// ErrForeignAnswer reports an answer that names no request or too many that name another.
var ErrForeignAnswer = errors.New("answer belongs to another request")

func (r Request) httpRequest() *http.Request {
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http",
			Host:   r.Host,
			Opaque: r.URI,
		},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.Length,
	}
	if r.Body != nil && r.Length != 0 {
		out.Body = io.NopCloser(r.Body)
	} else {
		out.ContentLength = 0
	}
	return out
}
