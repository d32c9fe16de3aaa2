package ibisfront

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
)

var errTooLong = errors.New("body is longer than the configuration allows")

// readBody reads a short body whole; of a longer one it returns the beginning and the rest.
func readBody(r Request, limit int64) ([]byte, io.Reader, error) {
	if r.Body == nil || r.Length == 0 {
		return nil, nil, nil
	}
	if limit > 0 && r.Length > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLong, r.Length, limit)
	}
	if r.Length > bufferedBody {
		return nil, r.Body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bufferedBody+1))
	if err != nil {
		return nil, nil, fmt.Errorf("read the body: %w", err)
	}
	if len(body) > bufferedBody {
		return body, r.Body, nil
	}
	return body, nil, nil
}

func (f *Front) plan(r Request) (plan, ibisorder.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return plan{}, ibisorder.NotRun(ibisorder.ReasonNoConfig, f.spread(time.Second), nil), false
	}
	route, ok := f.config.Match(r.Host, r.Path)
	if !ok {
		return plan{}, ibisorder.NotRun(ibisorder.ReasonNoRoute, 0, nil), false
	}
	service, _ := f.config.Service(f.splitter.Next(f.config.Version(), route))
	span := route.Timeout
	if r.Patience > 0 {
		span = min(span, r.Patience)
	}
	target := route.Target
	if target <= 0 {
		target = span
	}
	f.retries.Earn()
	age := f.ages.Of(route.Name, r.Patience)
	return plan{
		route:    route,
		config:   f.config,
		service:  service,
		target:   r.Arrived.Add(min(target-age, span)),
		deadline: r.Arrived.Add(span),
		arrived:  r.Arrived,
		age:      age,
	}, ibisorder.Answer{}, true
}
