package ibisforward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// Target runs orders on the backend server of the own instance.
type Target interface {
	// Send runs an order and returns its answer, or a refusal with its reason.
	Send(ctx context.Context, order ibismessage.Order) ibismessage.Answer
}

// RateLimiter limits the rate of long answers, so that short ones and new connections don't queue behind them on the
// instance's network link.
type RateLimiter interface {
	// WaitN waits until n bytes may be sent, ibismessage.MaxBufferedAnswerBytes at most; it fails if the context ends first.
	WaitN(ctx context.Context, n int) error
}

// Handler returns the handler of the port that accepts orders of other nodes. While shouldClose reports true, answers announce
// the end of their connection, so that no further order is sent on it.
func Handler(target Target, rateLimiter RateLimiter, shouldClose func() bool, clock ibistimer.Service, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		order, err := decodeOrder(r, clock.Now())
		if err != nil {
			log.Warn("malformed order of another node refused with status 400", zap.String("from", r.RemoteAddr), zap.Error(err))
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := target.Send(r.Context(), order)
		if shouldClose() {
			w.Header()["Connection"] = []string{"close"}
		}
		if answer.Outcome != ibisid.OutcomeDone {
			w.Header()[headerAnswer] = []string{encodeAnswer(answer)}
			w.Header()["Date"] = nil
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header()[headerAnswer] = []string{encodeAnswer(answer)}
		if answer.Length < 0 || answer.Length > ibismessage.MaxBufferedAnswerBytes {
			answer.Body = rateLimitedBody{
				ReadCloser:  answer.Body,
				ctx:         r.Context(),
				rateLimiter: rateLimiter,
			}
		}
		WriteAnswer(w, answer, log)
	})
}

// rateLimitedBody reads a body at the rate that a rate limiter allows.
type rateLimitedBody struct {
	io.ReadCloser
	ctx         context.Context
	rateLimiter RateLimiter
}

// Read reads the body and waits until the bytes may be sent.
func (b rateLimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), ibismessage.MaxBufferedAnswerBytes)])
	if n == 0 {
		return n, err
	}
	if wait := b.rateLimiter.WaitN(b.ctx, n); wait != nil {
		return 0, fmt.Errorf("wait for link capacity: %w", wait)
	}
	return n, err
}

// WriteAnswer writes a backend server's answer unchanged. If the answer can't be read or written to its end, it panics with
// http.ErrAbortHandler, which closes the connection, so that the receiver can't take the answer as complete.
func WriteAnswer(w http.ResponseWriter, answer ibismessage.Answer, log *zap.Logger) {
	defer func() { _ = answer.Body.Close() }()
	header := w.Header()
	maps.Copy(header, answer.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	if answer.Length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(answer.Length, 10)}
	}
	w.WriteHeader(answer.Status)
	if err := copyBody(w, answer.Body); err != nil {
		log.Warn("answer was not sent in full; closing the connection", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// copyBody passes a body on as it arrives: bytes that have been read are flushed before the next read can block.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, ibismessage.MaxBufferedAnswerBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if flusher != nil && n < len(buffer) {
			flusher.Flush()
		}
	}
}
