package ibisfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibischoose"
)

// attempt sends an order to one node and tells the chooser how it went. A short answer is read whole, so that one that
// breaks off counts as no answer.
func (f *Front) attempt(ctx context.Context, p plan, member ibisroster.Member, order ibisorder.Order) ibisorder.Answer {
	chooser, id, began := f.sent(p, member.Node, order.Class)
	answer := f.peers.Send(ctx, member, order)
	latency := f.clock.Now().Sub(began)
	if answer.Outcome == ibisid.OutcomeDone {
		answer = wholeIfShort(answer)
	}
	done := ibischoose.DoneEvent{
		ID:         id,
		Node:       member.Node,
		Result:     resultOf(ctx, answer),
		Latency:    latency,
		RetryAfter: answer.RetryAfter,
		GateLoad:   max(answer.Load, 0),
	}
	if answer.Outcome != ibisid.OutcomeDone {
		f.done(chooser, done)
		return answer
	}
	answer.Body = &watchedBody{
		ReadCloser: answer.Body,
		end:        sync.OnceFunc(func() { f.done(chooser, done) }),
	}
	return answer
}

func (f *Front) sent(p plan, node ibisid.NodeName, class ibisid.ClassName) (*ibischoose.Chooser, ibischoose.RequestID, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	now := f.clock.Now()
	chooser := f.choosers[p.service.Name]
	chooser.Update(ibischoose.SentEvent{
		ID:    f.nextID,
		Node:  node,
		Class: class,
	}, now)
	return chooser, f.nextID, now
}

func (f *Front) done(chooser *ibischoose.Chooser, e ibischoose.DoneEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chooser.Update(e, f.clock.Now())
}

func resultOf(ctx context.Context, a ibisorder.Answer) ibischoose.Result {
	switch {
	case ctx.Err() != nil:
		return ibischoose.ResultCancelled
	case a.Outcome == ibisid.OutcomeNotRun:
		return ibischoose.ResultRefused
	case a.Outcome == ibisid.OutcomeUnknown || a.Status >= 500:
		return ibischoose.ResultFailed
	}
	return ibischoose.ResultDone
}

// wholeIfShort reads a short answer to its end before its first byte goes out: if it breaks off it can be asked for again.
func wholeIfShort(a ibisorder.Answer) ibisorder.Answer {
	if a.Length > ibisorder.ShortAnswer {
		return a
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, ibisorder.ShortAnswer))
	if err != nil {
		_ = a.Body.Close()
		broken := ibisorder.Unknown(ibisorder.ReasonBroken, fmt.Errorf("read the answer: %w", err))
		broken.Load = a.Load
		return broken
	}
	if len(body) < ibisorder.ShortAnswer {
		_ = a.Body.Close()
		if a.Length < 0 {
			a.Length = int64(len(body))
		}
		a.Body = io.NopCloser(bytes.NewReader(body))
		return a
	}
	a.Body = joinedBody{
		Reader: io.MultiReader(bytes.NewReader(body), a.Body),
		Closer: a.Body,
	}
	return a
}

// joinedBody reads what was read already and then the rest.
type joinedBody struct {
	io.Reader
	io.Closer
}

// watchedBody tells when an answer has ended.
type watchedBody struct {
	io.ReadCloser
	end func()
}

// Close ends the answer.
func (b *watchedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
