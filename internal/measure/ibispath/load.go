package ibispath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	greatestLatency   = 10 * time.Second
	significantDigits = 3
)

// Target is something that answers GET requests.
type Target struct {
	// Name names the target in reports.
	Name string
	// URL is what is asked for.
	URL string
	// Header is sent with every request.
	Header http.Header
}

// Result is what a run measured.
type Result struct {
	// Name is the name of the target.
	Name string
	// Requests is the number of whole answers.
	Requests int64
	// Failures is the number of requests without a whole answer of status 200.
	Failures int64
	// Elapsed is the time of the run.
	Elapsed time.Duration
	// AllocatedBytes is the memory that the process allocated during the run, client and servers together.
	AllocatedBytes uint64
	latencies      *hdrhistogram.Histogram
}

// Rate returns the whole answers a second.
func (r Result) Rate() float64 { return float64(r.Requests) / r.Elapsed.Seconds() }

// Quantile returns the latency that the given share of requests kept, from 0 to 1.
func (r Result) Quantile(share float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(share * 100))
}

// BytesPerRequest returns the memory allocated for each whole answer, client and servers together.
func (r Result) BytesPerRequest() uint64 {
	if r.Requests == 0 {
		return 0
	}
	return r.AllocatedBytes / uint64(r.Requests)
}

// Load sends requests with a bounded number of workers.
type Load struct {
	workers int
	client  *http.Client
}

// NewLoad returns a load of the given number of workers, each with a connection of its own.
func NewLoad(workers int) *Load {
	return &Load{
		workers: workers,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: workers,
				DisableCompression:  true,
			},
		},
	}
}

// Close closes the idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }

// Throughput sends the given number of requests as fast as the workers can.
func (l *Load) Throughput(ctx context.Context, target Target, requests int) (Result, error) {
	each := requests / l.workers
	return l.run(ctx, target, func(_ int, ask func(due time.Time)) {
		for range each {
			ask(time.Now())
		}
	})
}

// Paced sends requests at the given rate a second for the given time.
func (l *Load) Paced(ctx context.Context, target Target, rate float64, span time.Duration) (Result, error) {
	gap := time.Duration(float64(time.Second) * float64(l.workers) / rate)
	start := time.Now().Add(gap)
	return l.run(ctx, target, func(worker int, ask func(due time.Time)) {
		due := start.Add(gap * time.Duration(worker) / time.Duration(l.workers))
		for end := start.Add(span); due.Before(end); due = due.Add(gap) {
			time.Sleep(time.Until(due))
			ask(due)
		}
	})
}

func (l *Load) run(ctx context.Context, target Target, work func(worker int, ask func(due time.Time))) (Result, error) {
	result := Result{
		Name:      target.Name,
		latencies: newHistogram(),
	}
	before := allocated()
	start := time.Now()
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for worker := range l.workers {
		group.Go(func() error {
			count := counter{
				latencies: newHistogram(),
			}
			work(worker, func(due time.Time) { count.add(l.ask(ctx, target), time.Since(due)) })
			mu.Lock()
			defer mu.Unlock()
			result.merge(count)
			return ctx.Err()
		})
	}
	err := group.Wait()
	result.Elapsed = time.Since(start)
	result.AllocatedBytes = allocated() - before
	return result, err
}

// ask sends one request and reads its whole answer.
func (l *Load) ask(ctx context.Context, target Target) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.URL, nil)
	if err != nil {
		return err
	}
	request.Header = target.Header
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", target.Name, response.Status)
	}
	return nil
}

// counter is what one worker saw.
type counter struct {
	requests  int64
	failures  int64
	latencies *hdrhistogram.Histogram
}

func (c *counter) add(err error, latency time.Duration) {
	if err != nil {
		c.failures++
		return
	}
	c.requests++
	_ = c.latencies.RecordValue(int64(min(max(latency, 1), greatestLatency)))
}

func (r *Result) merge(c counter) {
	r.Requests += c.requests
	r.Failures += c.failures
	r.latencies.Merge(c.latencies)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(greatestLatency), significantDigits)
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
