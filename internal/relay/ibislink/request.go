package ibislink

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Request is the request of an exchange.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URI is the path and query exactly as they are sent in the request line.
	URI string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers, nil for none; Exchange doesn't modify it.
	Header http.Header
	// Body is the body, nil for none.
	Body io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Begin, if set, is called when a connection is ready, right before the request is written to it, and may change the body.
	// If it fails, nothing is written.
	Begin func(r *Request) error
	// ID is the id that the response must repeat in the header Options.IDHeader; empty if responses carry none.
	ID string
	// Deadline is the time after which a body that makes no progress, or does not end, is cut off. It doesn't limit the time
	// until the head arrives. The zero time sets no bounds.
	Deadline time.Time
}

// Response is the response of an exchange; its body must be closed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers.
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Body reads the body; a read error other than io.EOF means that the response is incomplete.
	Body io.ReadCloser
}

// ErrNotSent reports that no byte of the request was written.
var ErrNotSent = errors.New("request not sent")

// ErrGreeting reports that the greeting on a new connection failed.
var ErrGreeting = errors.New("greeting failed")

// ErrMismatchedResponse reports that a response carried no id, or that responses to other requests could not be discarded
// because they were too many, too long or closed the connection.
var ErrMismatchedResponse = errors.New("response does not match the request")

// ErrLongHead reports that the head of a response, with the heads read before it, did not end within MaxHeadBytes.
var ErrLongHead = errors.New("response head is too long")

// ErrLateBody reports that after Request.Deadline no byte of a body arrived for too long, or the body did not end in time.
var ErrLateBody = errors.New("response body did not end in time")

// target returns the URL whose request line is the URI. An opaque part that begins with two slashes would be sent behind the scheme,
// as if it named a host.
func (r Request) target() *url.URL {
	target := &url.URL{
		Scheme: "http",
		Host:   r.Host,
	}
	path, query, hasQuery := strings.Cut(r.URI, "?")
	decoded, err := url.PathUnescape(path)
	if !strings.HasPrefix(path, "//") || err != nil {
		target.Opaque = r.URI
		return target
	}
	target.Path, target.RawPath = decoded, path
	target.RawQuery, target.ForceQuery = query, hasQuery
	return target
}

func (r Request) httpRequest() *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           r.target(),
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.Length,
	}
	if out.Header == nil {
		out.Header = make(http.Header)
	}
	if r.Body != nil && r.Length != 0 {
		out.Body = io.NopCloser(r.Body)
	} else {
		out.ContentLength = 0
	}
	return out
}
