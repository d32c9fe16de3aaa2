package ibisforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// Target runs orders on the backend server of the own instance.
type Target interface {
	// Send runs an order and returns its answer, or a refusal with its reason.
	Send(ctx context.Context, order ibismessage.Order) ibismessage.Answer
}

// EndRecorder records under which orders backend servers end.
type EndRecorder interface {
	// RecordServerEnd records that a backend server ended while it had the order, and returns the number of servers that have ended
	// under it.
	RecordServerEnd(order ibismessage.Order, server ibisroster.ServerIncarnation) int
}

// RateLimiter limits the rate of long answers, so that short ones and new connections don't queue behind them on the
// instance's network link.
type RateLimiter interface {
	// WaitN waits until n bytes may be sent, ibismessage.MaxBufferedAnswerBytes at most; it fails if the context ends first.
	WaitN(ctx context.Context, n int) error
}

// Handler returns the handler of the port that accepts orders of other nodes. While shouldClose reports true, answers announce
// the end of their connection, so that no further order is sent on it. If the backend server ends midway through an answer, the
// sender can't be told why the answer breaks off, so ends records it here.
func Handler(target Target, ends EndRecorder, rateLimiter RateLimiter, shouldClose func() bool, clock ibistimer.Service, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		order, err := decodeOrder(r, clock.Now())
		if err != nil {
			log.Warn("malformed order of another node refused with status 400", zap.String("from", r.RemoteAddr), zap.Error(err))
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body := KeepBody(w, r)
		if order.BodyRest != nil {
			order.BodyRest = body
		}
		answer := target.Send(r.Context(), order)
		body.AnnounceClose(w.Header())
		if shouldClose() {
			w.Header()["Connection"] = []string{"close"}
		}
		if answer.Outcome != ibisid.OutcomeDone {
			WriteRefusal(r.Context(), w, answer)
			body.DiscardRest()
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
		if cut := WriteAnswer(r.Context(), w, answer); cut != nil {
			log.Warn("answer to another node was cut off; closing the connection",
				zap.String("request", order.ID),
				zap.String("class", string(order.Class)),
				zap.String("from", r.RemoteAddr),
				zap.String("cause", string(cut.Cause)),
				zap.Int64("sent", cut.SentBytes),
				zap.Int64("length", cut.Length),
				zap.Error(cut.Err))
			var ended *ibismessage.ServerEndedError
			if errors.As(cut.Err, &ended) {
				ends.RecordServerEnd(order, ended.Server)
			}
			panic(http.ErrAbortHandler)
		}
		body.DiscardRest()
	})
}

// WriteRefusal writes an answer that is not one of a backend server.
func WriteRefusal(ctx context.Context, w http.ResponseWriter, answer ibismessage.Answer) {
	w.Header()[headerAnswer] = []string{encodeAnswer(answer)}
	w.Header()["Date"] = nil
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = Flush(ctx, w)
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

// WriteAnswer writes a backend server's answer unchanged; the context is that of the request. If it can't read or write the
// answer to its end, it returns why: the connection must then be closed, so that the receiver can't take the answer as
// complete.
func WriteAnswer(ctx context.Context, w http.ResponseWriter, answer ibismessage.Answer) *ibismessage.Cut {
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
	sent, cut := copyBody(ctx, w, answer.Body)
	if cut == nil && answer.Length >= 0 {
		// The rest of a body of unknown length goes out with its end mark, in one write.
		cut = Flush(ctx, w)
	}
	if cut != nil {
		cut.Node = answer.Node
		cut.SentBytes = sent
		cut.Length = answer.Length
	}
	return cut
}

// Flush sends what has been written of an answer and returns why it can't, nil if it can.
func Flush(ctx context.Context, w http.ResponseWriter) *ibismessage.Cut {
	// A failed write ends the context, too.
	cause := ibismessage.CutCauseOf(ctx, ibismessage.CutCauseConnection)
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return writeCut(cause, err)
	}
	return nil
}

func writeCut(cause ibismessage.CutCause, err error) *ibismessage.Cut {
	return &ibismessage.Cut{
		Cause: cause,
		Err:   fmt.Errorf("write the answer: %w", err),
	}
}

// copyBody passes a body on as it arrives: bytes that have been read are flushed before the next read can block. It returns
// the number of bytes written.
func copyBody(ctx context.Context, w http.ResponseWriter, body io.Reader) (int64, *ibismessage.Cut) {
	buffer := make([]byte, ibismessage.MaxBufferedAnswerBytes)
	for sent := int64(0); ; {
		n, err := body.Read(buffer)
		if n > 0 {
			cause := ibismessage.CutCauseOf(ctx, ibismessage.CutCauseConnection)
			written, werr := w.Write(buffer[:n])
			sent += int64(written)
			if errors.Is(werr, http.ErrContentLength) {
				cause = ibismessage.CutCauseSource
			}
			if werr != nil {
				return sent, writeCut(cause, werr)
			}
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, &ibismessage.Cut{
				Cause: ibismessage.CutCauseOf(ctx, ibismessage.CutCauseSource),
				Err:   fmt.Errorf("read the answer: %w", err),
			}
		}
		if n < len(buffer) {
			if cut := Flush(ctx, w); cut != nil {
				return sent, cut
			}
		}
	}
}
