package ibispath

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibiscost"
)

const (
	closedWorkers  = 64
	closedRequests = 64_000
	// targetRate is the number of requests a second of one node at full size.
	targetRate = 7_000
	pacedSpan  = 3 * time.Second
	warmUp     = 6_400
)

// Report measures every way in one run and writes a table with ratios against the direct way.
func Report(ctx context.Context, out io.Writer) error {
	ways, err := Open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = ways.Close() }()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "way\trequests/s\tof direct\tB allocated/request\tprocessor/request\tadded\tp50 at %d/s\tp99\tp99 added\tfailures\t\n", targetRate)
	var direct *measured
	for _, target := range []Target{ways.Direct, ways.Proxy, ways.Owner, ways.Hop} {
		m, err := measure(ctx, target)
		if err != nil {
			return fmt.Errorf("%s: %w", target.Name, err)
		}
		if direct == nil {
			direct = m
		}
		m.write(table, direct)
	}
	return table.Flush()
}

// measured is one way's throughput in a closed loop and latency at the target rate.
type measured struct {
	closed    Result
	paced     Result
	processor time.Duration
}

func measure(ctx context.Context, target Target) (*measured, error) {
	load := NewLoad(closedWorkers)
	defer load.Close()
	if _, err := load.Throughput(ctx, target, warmUp); err != nil {
		return nil, err
	}
	var closed Result
	var err error
	processor := ibiscost.Processor(func() { closed, err = load.Throughput(ctx, target, closedRequests) })
	if err != nil {
		return nil, err
	}
	paced, err := load.Paced(ctx, target, targetRate, pacedSpan)
	return &measured{
		closed:    closed,
		paced:     paced,
		processor: processor / closedRequests,
	}, err
}

func (m *measured) write(out io.Writer, direct *measured) {
	added := m.paced.Quantile(0.99) - direct.paced.Quantile(0.99)
	_, _ = fmt.Fprintf(out, "%s\t%.0f\t%.2f\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t\n",
		m.closed.Name, m.closed.Rate(), m.closed.Rate()/direct.closed.Rate(), m.closed.BytesPerRequest(),
		m.processor.Round(time.Microsecond), (m.processor - direct.processor).Round(time.Microsecond),
		round(m.paced.Quantile(0.50)), round(m.paced.Quantile(0.99)), round(added),
		m.closed.Failures+m.paced.Failures)
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
