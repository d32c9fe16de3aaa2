package ibisdispatch

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

var errTooLong = errors.New("body is longer than the configuration allows")

// readBody returns a body of up to maxBufferedBodyBytes in memory; for a longer one it also returns a reader of the rest.
// It fails if the body is longer than the limit in bytes, where zero means no limit, or if reading fails.
func readBody(r Request, limit int64) ([]byte, io.Reader, error) {
	if r.Body == nil || r.Length == 0 {
		return nil, nil, nil
	}
	if limit > 0 && r.Length > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLong, r.Length, limit)
	}
	if r.Length > maxBufferedBodyBytes {
		return nil, r.Body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("read the request body: %w", err)
	}
	if len(body) > maxBufferedBodyBytes {
		return body, r.Body, nil
	}
	return body, nil, nil
}

// plan matches the route of a request and selects its service and times; it returns a refusal if there is no configuration or
// route.
func (f *Dispatcher) plan(r Request) (plan, ibismessage.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonNoConfig, f.jitter(time.Second), nil), false
	}
	route, ok := f.config.Match(r.Host, r.Path)
	if !ok {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonNoRoute, 0, nil), false
	}
	service, _ := f.config.Service(f.splitter.Next(f.config.Version(), route))
	timeout := route.Timeout
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}
	target := route.Target
	if target <= 0 {
		target = timeout
	}
	f.retryBudget.AddRequest()
	callerAge := f.callerAges.Estimate(route.Name, r.CallerTimeout)
	return plan{
		route:     route,
		config:    f.config,
		service:   service,
		target:    r.Arrived.Add(min(target-callerAge, timeout)),
		deadline:  r.Arrived.Add(timeout),
		arrived:   r.Arrived,
		callerAge: callerAge,
	}, ibismessage.Answer{}, true
}
