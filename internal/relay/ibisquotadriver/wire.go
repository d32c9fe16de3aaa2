package ibisquotadriver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/request/ibisquota"
)

const (
	// headerQuota marks a message to a lender: a request that is forwarded for a caller may have any path, but no such header.
	headerQuota = ibisbackend.HeaderPrefix + "Quota"
	pathQuota   = "/-/quota"
	// exchangeTimeout limits a message and its reply: no request waits longer for a token.
	exchangeTimeout = 500 * time.Millisecond
	// maxIdleConnections is the number of messages to one lender that are on their way at once; each new connection costs a round trip.
	maxIdleConnections = 4
	// idleTimeout closes connections to former lenders. Messages to a lender are at most 2 s apart.
	idleTimeout = 10 * time.Second
	// maxMessageBytes bounds a message: it asks for tokens of as many accounts as had requests within a round trip.
	maxMessageBytes = 1 << 20
)

var errUnknownMember = errors.New("the lender is no member any more")

func newClient() *http.Client {
	return &http.Client{
		Transport: ibisresponse.NewTransport(&http.Transport{
			DialContext:            ibislink.Dialer(exchangeTimeout).DialContext,
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: ibislink.MaxHeadBytes,
		}),
		Timeout: exchangeTimeout,
	}
}

// send sends a message to a lender and applies its reply or failure.
func (d *Driver) send(lender ibisid.NodeName, request ibisquota.Request) {
	d.mu.Lock()
	address, ok := d.addresses[lender]
	d.mu.Unlock()
	reply, err := ibisquota.Reply{}, errUnknownMember
	if ok {
		reply, err = d.exchange(address, request)
	}
	if err != nil {
		d.meter.Counter(`ibisridge_quota_messages_total{result="failed"}`).Inc()
		d.log.Debug("message to a lender failed", zap.String("lender", string(lender)), zap.Error(err))
		d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect { return q.Failed(lender, request, now) })
		return
	}
	d.meter.Counter(`ibisridge_quota_messages_total{result="ok"}`).Inc()
	borrowed := 0
	for _, grant := range reply.Grants {
		borrowed += grant.Count
	}
	d.meter.Counter("ibisridge_quota_tokens_borrowed_total").Add(borrowed)
	d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect {
		return q.Replied(lender, request, reply, now)
	})
}

// exchange sends a message to the node at the address and returns its reply.
func (d *Driver) exchange(address string, message ibisquota.Request) (ibisquota.Reply, error) {
	text, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode a message to the lender at %s: %v", address, err))
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+pathQuota, bytes.NewReader(text))
	if err != nil {
		return ibisquota.Reply{}, fmt.Errorf("message to the lender at %s: %w", address, err)
	}
	request.Header[headerQuota] = []string{"1"}
	request.Header["User-Agent"] = nil
	response, err := d.client.Do(request)
	if err != nil {
		return ibisquota.Reply{}, fmt.Errorf("message to a lender: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ibisquota.Reply{}, fmt.Errorf("message to the lender at %s: unexpected status %d", address, response.StatusCode)
	}
	var reply ibisquota.Reply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&reply); err != nil {
		return ibisquota.Reply{}, fmt.Errorf("decode the reply of the lender at %s: %w", address, err)
	}
	// The connection is used again only if its response was read to the end.
	_, _ = io.Copy(io.Discard, response.Body)
	return reply, nil
}

// Handler answers messages of other nodes and passes all other requests to the next handler.
func (d *Driver) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathQuota || r.Header.Get(headerQuota) == "" {
			next.ServeHTTP(w, r)
			return
		}
		var request ibisquota.Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&request); err != nil {
			d.log.Warn("malformed message to a lender refused with status 400", zap.String("from", r.RemoteAddr), zap.Error(err))
			http.Error(w, "malformed message", http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		reply := d.quota.Answer(request, d.clock.Now())
		d.mu.Unlock()
		text, err := json.Marshal(reply)
		if err != nil {
			panic(fmt.Sprintf("encode a reply to %s: %v", request.From, err))
		}
		lent := 0
		for _, grant := range reply.Grants {
			lent += grant.Count
		}
		d.meter.Counter("ibisridge_quota_tokens_lent_total").Add(lent)
		w.Header()["Content-Type"] = nil
		w.Header()["Date"] = nil
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(text))}
		_, _ = w.Write(text)
	})
}
