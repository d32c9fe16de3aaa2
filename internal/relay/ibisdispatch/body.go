package ibisdispatch

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// limitedBody reads the rest of a body of unknown length; beyond the limit it calls onTooLong and fails with errTooLong.
type limitedBody struct {
	source    io.Reader
	bytesLeft int64
	tooLong   atomic.Bool
	onTooLong func()
}

// Read reads the body up to the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.tooLong.Load() {
		return 0, errTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.bytesLeft+1)])
	b.bytesLeft -= int64(n)
	if b.bytesLeft >= 0 {
		return n, err
	}
	b.tooLong.Store(true)
	b.onTooLong()
	return 0, errTooLong
}

// sendWithLimit sends an order whose body may turn out to be longer than the limit in bytes, where zero means no limit, while
// it is sent. The order is then cancelled unless it has an answer; it may have run.
func (d *Dispatcher) sendWithLimit(ctx context.Context, p plan, order ibismessage.Order, limit int64) (ibismessage.Answer, []nodeTry) {
	if order.BodyRest == nil || order.Length >= 0 || limit <= 0 {
		return d.sendWithRetries(ctx, p, order)
	}
	ctx, cancel := context.WithCancel(ctx)
	var answered atomic.Bool
	body := &limitedBody{
		source:    order.BodyRest,
		bytesLeft: limit - int64(len(order.Body)),
		onTooLong: func() {
			if !answered.Load() {
				cancel()
			}
		},
	}
	order.BodyRest = body
	answer, tries := d.sendWithRetries(ctx, p, order)
	if answer.Outcome == ibisid.OutcomeDone {
		answered.Store(true)
		return answer, tries
	}
	cancel()
	if body.tooLong.Load() {
		answer.Reason, answer.RetryAfter, answer.Err = ibismessage.ReasonTooLong, 0, bodyTooLong(limit)
	}
	return answer, tries
}
