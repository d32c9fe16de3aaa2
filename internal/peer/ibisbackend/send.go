package ibisbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Request is a request to send to a backend server.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URI is the path and query as sent by the caller.
	URI string
	// Host is the Host header of the caller's request.
	Host string
	// Header holds the caller's headers; hop-by-hop headers and those with HeaderPrefix are not sent.
	Header http.Header
	// Body is the request body, nil for none; it is read as fast as the backend server accepts it.
	Body io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// NodeHeader holds headers that only a node may set, for a request that goes to another node; nil for none.
	NodeHeader http.Header
	// Key is the canonical key, empty if the request has none.
	Key string
	// Grant is the permission under which the request runs, nil if the service is not partitioned by key.
	Grant *Grant
	// Deadline is the time by which the headers of the answer must arrive, zero for none; the body may take longer.
	Deadline time.Time
	// Check is called right before the first byte is written; if it returns an error, nothing is sent. It must not block.
	Check func() error
}

// Result is the result of sending a request.
type Result struct {
	// Outcome is OutcomeDone with an Answer, OutcomeNotRun if no byte was written, and OutcomeUnknown otherwise.
	Outcome ibisid.Outcome
	// Answer is the backend server's answer; its body must be closed.
	Answer *Answer
	// Err is the reason why there is no answer.
	Err error
}

// defaultHeaderTimeout limits the wait for the headers of an answer if the request has no deadline.
const defaultHeaderTimeout = time.Hour

// ErrNoLength reports an answer with neither a length nor chunks: its end can't be distinguished from a lost connection.
var ErrNoLength = errors.New("answer of the backend server has neither a length nor chunks")

// Send sends a request at most once, and returns when the headers of the answer have arrived.
func (c *Client) Send(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithCancel(ctx)
	headerTimer := cancelAt(request.Deadline, cancel)
	guard := &sendGuard{
		check: request.Check,
	}
	httpRequest, err := c.httpRequest(httptrace.WithClientTrace(ctx, guardTrace(guard)), request)
	if err != nil {
		cancel()
		return notRunResult(err)
	}
	response, err := c.requestTransport.RoundTrip(httpRequest)
	headerTimer.Stop()
	if err != nil {
		written, refusal := guard.abortUnlessWritten()
		cancel()
		switch {
		case written:
			return unknownResult(err)
		case refusal != nil:
			return notRunResult(refusal)
		}
		return notRunResult(err)
	}
	answer, err := newAnswer(request.Method, response, cancel)
	if err != nil {
		_ = response.Body.Close()
		cancel()
		return unknownResult(err)
	}
	return Result{
		Outcome: ibisid.OutcomeDone,
		Answer:  answer,
	}
}

// cancelAt calls cancel at the deadline unless the returned timer is stopped before.
func cancelAt(deadline time.Time, cancel context.CancelFunc) *time.Timer {
	wait := defaultHeaderTimeout
	if !deadline.IsZero() {
		wait = time.Until(deadline)
	}
	return time.AfterFunc(wait, cancel)
}

func guardTrace(guard *sendGuard) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.setGuard(guard)
			}
		},
	}
}

// httpRequest builds the HTTP request; it leaves GetBody unset, so that http.Transport can't send the body a second time.
func (c *Client) httpRequest(ctx context.Context, request Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, fmt.Errorf("request URI: %w", err)
	}
	target.Scheme = "http"
	target.Host = c.address
	httpRequest := (&http.Request{
		Method:        request.Method,
		URL:           target,
		Host:          request.Host,
		Header:        outgoingHeader(request),
		ContentLength: request.Length,
	}).WithContext(ctx)
	if request.Body != nil && request.Length != 0 {
		httpRequest.Body = io.NopCloser(request.Body)
	} else {
		httpRequest.ContentLength = 0
	}
	return httpRequest, nil
}

func outgoingHeader(request Request) http.Header {
	header := EndToEndHeaders(request.Header)
	header.Del("Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	maps.Copy(header, request.NodeHeader)
	if request.Key != "" {
		header.Set(HeaderKey, url.PathEscape(request.Key))
	}
	if request.Grant != nil {
		request.Grant.setHeaders(header)
	}
	if !request.Deadline.IsZero() {
		header.Set(HeaderDeadline, strconv.FormatInt(request.Deadline.UnixMilli(), 10))
	}
	return header
}

func notRunResult(err error) Result {
	return Result{
		Outcome: ibisid.OutcomeNotRun,
		Err:     err,
	}
}

func unknownResult(err error) Result {
	return Result{
		Outcome: ibisid.OutcomeUnknown,
		Err:     err,
	}
}
