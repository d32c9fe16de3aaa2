package ibisdispatch

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// stoppingRetryAfter is the retry-after time of a stopping node: after it, the instance has restarted or is known to be gone.
const stoppingRetryAfter = time.Second

// faultyRouteRetryAfter is the retry-after time for a route whose configuration can't be used: the operator must correct it.
const faultyRouteRetryAfter = time.Second

var errTooLong = errors.New("body is longer than the configuration allows")

// bodyTooLong returns the error of a body of unknown length that exceeds the limit in bytes.
func bodyTooLong(limit int64) error { return fmt.Errorf("%w: more than %d bytes", errTooLong, limit) }

// memoryRetryAfter is the retry-after time of a request whose body does not fit into the memory: what holds it are requests that end
// or are cut off within about that time.
const memoryRetryAfter = time.Second

// readAllFactor is how many bytes a body of unknown length takes at most for each of its own, since its buffer doubles as it grows.
const readAllFactor = 2

// holdBody counts what readBody will hold of the body, before it reads any of it, and reports whether that fits.
func holdBody(r Request, limit int64) (release func(), ok bool) {
	if r.HoldBody == nil || r.Body == nil || r.Length == 0 || limit > 0 && r.Length > limit {
		return func() {}, true
	}
	switch {
	case r.Length < 0:
		return r.HoldBody(readAllFactor * (maxBufferedBodyBytes + 1))
	case r.Length > maxBufferedBodyBytes:
		return r.HoldBody(ibisquarantine.BodyBytes)
	}
	return r.HoldBody(r.Length + 1)
}

// readBody returns a body of up to maxBufferedBodyBytes in memory; for a longer one it returns the beginning and a reader of the rest.
// It fails if the body, as far as it is known, is longer than the limit in bytes, where zero means no limit, or if reading
// fails.
func readBody(r Request, limit int64) ([]byte, io.Reader, error) {
	if r.Body == nil || r.Length == 0 {
		return nil, nil, nil
	}
	if limit > 0 && r.Length > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLong, r.Length, limit)
	}
	held := int64(maxBufferedBodyBytes + 1)
	if r.Length > maxBufferedBodyBytes {
		held = ibisquarantine.BodyBytes
	}
	var buffer bytes.Buffer
	if r.Length > 0 && r.Length <= maxBufferedBodyBytes {
		// The buffer reads on for the end while it has room, and would grow without.
		buffer.Grow(int(r.Length) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(r.Body, held))
	body := buffer.Bytes()
	if err != nil {
		return nil, nil, fmt.Errorf("read the request body: %w", err)
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, nil, bodyTooLong(limit)
	}
	if len(body) > maxBufferedBodyBytes || r.Length > maxBufferedBodyBytes {
		return body, r.Body, nil
	}
	return body, nil, nil
}

// plan matches the route and the account of a request and selects its service and times; it returns a refusal if there is no
// configuration, no route or no account that may use it.
func (d *Dispatcher) plan(r Request) (plan, ibismessage.Answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config == nil {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonNoConfig, d.jitter(time.Second), nil), false
	}
	route, ok := d.config.Match(r.Host, r.Path)
	if !ok {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonNoRoute, 0, nil), false
	}
	if route.Fault != nil {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonFaultyRoute, d.jitter(faultyRouteRetryAfter), route.Fault), false
	}
	account, refusal, ok := d.authenticate(d.config, route, r)
	if !ok {
		return plan{
			route: route,
		}, refusal, false
	}
	homes, ok := ibisroute.CommonHomes(account, route)
	if !ok {
		return plan{
			route:   route,
			account: account,
		}, d.refuseHomes(account), false
	}
	timeout := r.timeLeft(route.Timeout)
	if !d.shutdown.Takes(r.Arrived, timeout) {
		return plan{}, ibismessage.NotRun(ibismessage.ReasonStopping, d.jitter(stoppingRetryAfter), nil), false
	}
	service, _ := d.config.Service(d.splitter.Next(d.config.Version(), route))
	target := route.Target
	if target <= 0 {
		target = timeout
	}
	d.retryBudget.AddRequest()
	callerAge := d.callerAges.Estimate(route.Name, r.CallerTimeout)
	return plan{
		route:     route,
		account:   account,
		homes:     homes,
		request:   r,
		config:    d.config,
		service:   service,
		target:    r.Arrived.Add(min(target-callerAge, timeout)),
		deadline:  d.boundDeadline(r.Arrived.Add(timeout)),
		arrived:   r.Arrived,
		callerAge: callerAge,
		priority:  ibisroute.EffectivePriority(account, route),
	}, ibismessage.Answer{}, true
}
