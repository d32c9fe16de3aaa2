package ibisrequestrouter

import (
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// copyBufferBytes is the memory that a streamed answer uses, independent of its length.
const copyBufferBytes = 32 << 10

// writeStallTimeout is the time after which the connection of a caller that reads nothing of its answer is closed.
const writeStallTimeout = 30 * time.Second

var copyBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, copyBufferBytes)
		return &buffer
	},
}

// write sends a result as the response to a request. If the answer ends early, it aborts the connection, so that the receiver can't
// take the response for a complete one.
func (rt *Router) write(w http.ResponseWriter, request *http.Request, r result) {
	if r.answer == nil {
		r.refusal.Write(w)
		return
	}
	body := r.answer.Body()
	defer func() { _ = body.Close() }()
	writeHead(w, r.answer, r.outcome)
	length := r.answer.Length()
	if r.bodyPending || length < 0 || length > copyBufferBytes {
		// The node that forwarded the request has a time limit for the response headers but none for the body.
		_ = http.NewResponseController(w).Flush()
	}
	readErr, writeErr := stream(w, body)
	switch {
	case readErr != nil:
		rt.requestMetrics.cutShort.Inc()
	case writeErr != nil:
		rt.requestMetrics.callerGone.Inc()
	default:
		return
	}
	if length < 0 && !request.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a response. In HTTP/1.0 an orderly end would complete one without a length.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if secure, ok := conn.(*tls.Conn); ok {
		// Closing the TLS connection would tell the peer of an orderly end.
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func writeHead(w http.ResponseWriter, answer *ibisbackend.Answer, outcome ibisid.Outcome) {
	header := w.Header()
	maps.Copy(header, answer.Header())
	header.Del(ibiscaller.HeaderOutcome)
	if outcome == ibisid.OutcomeFailed {
		header.Set(ibiscaller.HeaderOutcome, string(outcome))
	}
	if answer.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length(), 10))
	}
	w.WriteHeader(answer.Status())
}

// stream copies the body to the response and flushes received data without waiting for more; it returns the error of
// reading or of writing. A write that makes no progress for writeStallTimeout fails, since a caller that does not read holds
// a slot of the backend server.
func stream(w http.ResponseWriter, body io.Reader) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	var extended time.Time
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if now := time.Now(); now.Sub(extended) > writeStallTimeout/4 {
				extended = now
				_ = controller.SetWriteDeadline(now.Add(writeStallTimeout))
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if n < len(buffer) {
			_ = controller.Flush()
		}
	}
}
