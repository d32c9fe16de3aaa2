package ibislog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow destination. It holds a few seconds of a node's log and
	// takes at most 2 MB.
	maxQueuedLines = 2048
	// closeTimeout bounds the time for which Close waits for the destination.
	closeTimeout = 300 * time.Millisecond
)

// DroppingWriter is a writer that never blocks its caller. Lines wait in a bounded queue for the destination; lines that
// do not fit are dropped, and a later line reports how many.
type DroppingWriter struct {
	destination io.Writer
	lines       chan []byte
	done        chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// NewDroppingWriter returns a writer that writes lines to destination in the background; it must be closed.
func NewDroppingWriter(destination io.Writer) *DroppingWriter {
	d := &DroppingWriter{
		destination: destination,
		lines:       make(chan []byte, maxQueuedLines),
		done:        make(chan struct{}),
	}
	go d.run()
	return d
}

// Write queues one line, or drops it if the queue is full or the writer is closed. It always returns len(line) and no error.
func (d *DroppingWriter) Write(line []byte) (int, error) {
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

// Close writes the queued lines. It fails if the destination does not take them within closeTimeout.
func (d *DroppingWriter) Close() error {
	d.mu.Lock()
	if !d.closed {
		d.closed = true
		close(d.lines)
	}
	d.mu.Unlock()
	select {
	case <-d.done:
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("log lines remain unwritten after %s: the destination of the log is blocked", closeTimeout)
	}
}

func (d *DroppingWriter) run() {
	defer close(d.done)
	for line := range d.lines {
		// The error is ignored, since there is no other place to log it.
		_, _ = d.destination.Write(line)
	}
}
