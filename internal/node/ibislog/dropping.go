package ibislog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines is how many lines may wait for a slow reader: some seconds of a node's lines, at most 2 MB.
	queuedLines = 2048
	// closeLimit is how long Close waits for a reader.
	closeLimit = 300 * time.Millisecond
)

// Dropping is a writer that never blocks its caller: lines wait in a bounded queue for the reader behind, those that don't fit
// are dropped, and a line tells how many.
type Dropping struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewDropping returns a writer that passes lines on to another; it must be closed.
func NewDropping(to io.Writer) *Dropping {
	d := &Dropping{
		to:    to,
		lines: make(chan []byte, queuedLines),
		done:  make(chan struct{}),
	}
	go d.run()
	return d
}

// Write queues one line, or drops it; it never fails.
func (d *Dropping) Write(line []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return len(line), nil
	}
	if d.dropped > 0 && len(d.lines) < cap(d.lines) {
		d.lines <- fmt.Appendf(nil, `{"level":"warn","time":%q,"message":"log lines were dropped","count":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), d.dropped)
		d.dropped = 0
	}
	select {
	case d.lines <- append([]byte(nil), line...):
	default:
		d.dropped++
	}
	return len(line), nil
}

// Close passes on what waits, for a moment at most.
func (d *Dropping) Close() error {
	d.mu.Lock()
	if !d.closed {
		d.closed = true
		close(d.lines)
	}
	d.mu.Unlock()
	select {
	case <-d.done:
		return nil
	case <-time.After(closeLimit):
		return fmt.Errorf("log lines are left after %s: the reader of the log is stuck", closeLimit)
	}
}

func (d *Dropping) run() {
	defer close(d.done)
	for line := range d.lines {
		// A log that can't be written has nowhere to say so.
		_, _ = d.to.Write(line)
	}
}
