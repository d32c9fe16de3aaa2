package ibislink

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// requestWriter writes a request to its connection, counts the bytes and keeps the first error.
type requestWriter struct {
	tcp   *net.TCPConn
	bytes atomic.Int64

	// mu is held during a write.
	mu  sync.Mutex
	err error
}

func newRequestWriter(tcp *net.TCPConn) *requestWriter {
	return &requestWriter{
		tcp: tcp,
	}
}

// Write writes to the connection.
func (w *requestWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.tcp.Write(b)
	w.bytes.Add(int64(n))
	w.err = err
	return n, err
}

// written returns the number of bytes that were written.
func (w *requestWriter) written() int64 { return w.bytes.Load() }

// connectionFailure ends the writing of the request once a read has reached the end of the connection, and returns the failure of the
// connection that a write got in place of that read, nil if the peer ended the connection in order.
func (w *requestWriter) connectionFailure() error {
	// It wakes a write that waits for the peer.
	_ = w.tcp.SetWriteDeadline(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	// A reset that follows an orderly end is reported as EPIPE.
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return w.err
}
