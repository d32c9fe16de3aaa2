package ibisforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// Client sends orders to other nodes; it is safe for concurrent use.
type Client struct {
	clock ibistimer.Service

	mu    sync.Mutex
	pools map[string]*ibislink.Pool
}

// NewClient returns a client without connections.
func NewClient(clock ibistimer.Service) *Client {
	return &Client{
		clock: clock,
		pools: make(map[string]*ibislink.Pool),
	}
}

// Send sends an order to the node at the address (host:port) and returns its answer; a failure is an answer that contains the
// error.
func (c *Client) Send(ctx context.Context, address string, order ibismessage.Order) ibismessage.Answer {
	now := c.clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	left := order.Deadline.Sub(now)
	timer := time.AfterFunc(left, func() { cancel(context.DeadlineExceeded) })
	response, err := c.pool(address).Exchange(ctx, ibislink.Request{
		Method:   order.Method,
		URI:      order.URI,
		Host:     order.Host,
		Header:   encodeOrder(order, now),
		Body:     order.BodyReader(),
		Length:   order.Length,
		Deadline: time.Now().Add(left),
	})
	timer.Stop()
	if err != nil {
		cause := context.Cause(ctx)
		cancel(nil)
		return failureAnswer(err, cause)
	}
	answer, err := decodeAnswer(response.Header.Get(headerAnswer))
	if err != nil {
		_ = response.Body.Close()
		cancel(nil)
		return ibismessage.Unknown(ibismessage.ReasonConnectionFailed, err)
	}
	if answer.Outcome != ibisid.OutcomeDone {
		_ = response.Body.Close()
		cancel(nil)
		return answer
	}
	answer.Status = response.Status
	answer.Header = ibisbackend.EndToEndHeaders(response.Header)
	answer.Length = response.Length
	answer.Body = response.Body
	return answer
}

// failureAnswer returns the answer for an order that failed: not run if it was never sent, otherwise unknown.
func failureAnswer(err, cause error) ibismessage.Answer {
	reason := ibismessage.ReasonConnectionFailed
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = ibismessage.ReasonDeadline
	case cause != nil:
		reason = ibismessage.ReasonCancelled
	}
	if !errors.Is(err, ibislink.ErrNotSent) {
		return ibismessage.Unknown(reason, err)
	}
	if reason == ibismessage.ReasonConnectionFailed {
		reason = ibismessage.ReasonUnreachable
	}
	return ibismessage.NotRun(reason, 0, err)
}

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.CloseExpired(now)
	}
}

func (c *Client) pool(address string) *ibislink.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = ibislink.New(ibislink.Options{
			Address: address,
		})
		c.pools[address] = p
	}
	return p
}
