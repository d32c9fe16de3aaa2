package ibisdispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

// attempt sends an order to one node and reports the result to the chooser, that of a panic as a failure. A short answer is
// read to its end first, so that a truncated one counts as no answer.
func (d *Dispatcher) attempt(ctx context.Context, p plan, member ibisroster.Member, order ibismessage.Order) ibismessage.Answer {
	chooser, id, began := d.recordSent(p, member.Node, order.Class)
	end := ibisbalancer.AttemptEndEvent{
		ID:     id,
		Node:   member.Node,
		Result: ibisbalancer.ResultFailed,
	}
	endsWithBody := false
	defer func() {
		if !endsWithBody {
			d.recordDone(chooser, end)
		}
	}()
	order.Notice = d.notice(member.Node)
	answer := d.peers.Send(ctx, member, order)
	answer.Node = member.Node
	d.recordNotice(member.Node, answer)
	latency := d.clock.Now().Sub(began)
	if answer.Outcome == ibisid.OutcomeDone {
		answer = bufferAnswerStart(answer)
	}
	end.Result = resultOf(ctx, answer)
	end.Latency = latency
	end.RetryAfter = answer.RetryAfter
	end.GateLoad = max(answer.Load, 0)
	end.Bytes = exchangedBytes(order, answer)
	if answer.Outcome != ibisid.OutcomeDone {
		return answer
	}
	answer.Body = &notifyingBody{
		ReadCloser: answer.Body,
		onClose:    sync.OnceFunc(func() { d.recordDone(chooser, end) }),
	}
	if !answer.Complete {
		answer.Body = &watchedBody{
			ReadCloser: answer.Body,
			onEnd:      func(err error) { d.recordBodyEnd(order, err) },
		}
	}
	endsWithBody = true
	return answer
}

// exchangedBytes returns the size of the bodies of an order and its answer, zero unless there is an answer and both are known.
func exchangedBytes(order ibismessage.Order, answer ibismessage.Answer) int64 {
	if answer.Outcome != ibisid.OutcomeDone || order.Length < 0 || answer.Length < 0 {
		return 0
	}
	return order.Length + answer.Length
}

func (d *Dispatcher) recordSent(p plan, node ibisid.NodeName, class ibisid.ClassName) (*ibisbalancer.Chooser, ibisbalancer.AttemptID, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	now := d.clock.Now()
	chooser := d.chooser(p.service.Name)
	chooser.Update(ibisbalancer.AttemptSentEvent{
		ID:    d.nextID,
		Node:  node,
		Class: class,
	}, now)
	return chooser, d.nextID, now
}

func (d *Dispatcher) recordDone(chooser *ibisbalancer.Chooser, e ibisbalancer.AttemptEndEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	chooser.Update(e, d.clock.Now())
}

// resultOf returns the result of a try as the chooser counts it; a status of 500 or above is a failure, a
// reset by a full server and a failure because of calls to other services are not.
func resultOf(ctx context.Context, a ibismessage.Answer) ibisbalancer.Result {
	switch {
	case ctx.Err() != nil:
		return ibisbalancer.ResultCancelled
	case a.Outcome == ibisid.OutcomeNotRun, a.Reason == ibismessage.ReasonServerReset, a.FailedByCalls:
		return ibisbalancer.ResultRefused
	case a.Outcome == ibisid.OutcomeUnknown || a.Status >= 500:
		return ibisbalancer.ResultFailed
	}
	return ibisbalancer.ResultDone
}

// bufferAnswerStart reads a short answer to its end, and the first bytes of a long one, before its first byte goes out, so that
// an answer that fails by then can be retried or replaced by a refusal.
func bufferAnswerStart(a ibismessage.Answer) ibismessage.Answer {
	if a.Length > ibismessage.MaxBufferedAnswerBytes {
		return awaitFirstBytes(a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, ibismessage.MaxBufferedAnswerBytes))
	if err != nil {
		return brokenAnswer(a, err)
	}
	if len(body) < ibismessage.MaxBufferedAnswerBytes {
		_ = a.Body.Close()
		if a.Length < 0 {
			a.Length = int64(len(body))
		}
		a.Body = io.NopCloser(bytes.NewReader(body))
		a.Complete = true
		return a
	}
	a.Body = joinBody(body, a.Body)
	return a
}

// awaitFirstBytes reads the first bytes of a long answer.
func awaitFirstBytes(a ibismessage.Answer) ibismessage.Answer {
	first := make([]byte, ibismessage.MaxBufferedAnswerBytes)
	n, err := io.ReadAtLeast(a.Body, first, 1)
	// The answer to a HEAD request has a length and no body.
	if err != nil && !errors.Is(err, io.EOF) {
		return brokenAnswer(a, err)
	}
	a.Body = joinBody(first[:n], a.Body)
	return a
}

// brokenAnswer closes an answer whose body failed before its first byte went out.
func brokenAnswer(a ibismessage.Answer, err error) ibismessage.Answer {
	_ = a.Body.Close()
	broken := ibismessage.Unknown(ibismessage.ReasonConnectionFailed, fmt.Errorf("read the body of the answer: %w", err))
	broken.Load = a.Load
	broken.Node = a.Node
	var ended *ibismessage.ServerEndedError
	if errors.As(err, &ended) {
		broken.Reason = ibismessage.ReasonServerCrashed
		broken.Crashed = ended.Server
	}
	return broken
}

func joinBody(start []byte, rest io.ReadCloser) io.ReadCloser {
	return joinedBody{
		Reader: io.MultiReader(bytes.NewReader(start), rest),
		Closer: rest,
	}
}

// joinedBody returns the bytes that were read already and then the rest.
type joinedBody struct {
	io.Reader
	io.Closer
}

// notifyingBody calls onClose when an answer is closed.
type notifyingBody struct {
	io.ReadCloser
	onClose func()
}

// Close calls onClose and closes the body.
func (b *notifyingBody) Close() error {
	b.onClose()
	return b.ReadCloser.Close()
}

// watchedBody calls onEnd once with the error that ends a body, io.EOF if it is complete.
type watchedBody struct {
	io.ReadCloser
	onEnd func(err error)
	ended bool
}

// Read reads the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		b.onEnd(err)
	}
	return n, err
}
