package ibisforward

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

const (
	headerOrder  = ibisbackend.HeaderPrefix + "Order"
	headerAnswer = ibisbackend.HeaderPrefix + "Answer"
)

// orderHeader contains the fields of an order that the HTTP request itself does not carry.
type orderHeader struct {
	ID          string             `json:"id"`
	Origin      ibisid.ServiceName `json:"origin"`
	Service     ibisid.ServiceName `json:"service"`
	Class       ibisid.ClassName   `json:"class"`
	Tenant      ibisid.TenantName  `json:"tenant,omitempty"`
	KeyDigest   uint64             `json:"keyDigest,omitempty"`
	Config      uint64             `json:"config,omitempty"`
	Priority    int                `json:"priority,omitempty"`
	Call        bool               `json:"call,omitempty"`
	Repeatable  bool               `json:"repeatable,omitempty"`
	Key         int                `json:"key"`
	PageVersion uint64             `json:"pageVersion,omitempty"`
	// Fingerprint is absent if the order has no body: the receiver knows all else that it is made of.
	Fingerprint string        `json:"fingerprint,omitempty"`
	TargetMs    int64         `json:"targetMs"`
	LeftMs      int64         `json:"leftMs"`
	Notice      *noticeHeader `json:"notice,omitempty"`
}

// answerHeader contains the fields of an answer that the HTTP response itself does not carry.
type answerHeader struct {
	Outcome      ibisid.Outcome     `json:"outcome"`
	Reason       ibismessage.Reason `json:"reason,omitempty"`
	RetryAfterMs int64              `json:"retryAfterMs,omitempty"`
	Owner        ibisid.NodeName    `json:"owner,omitempty"`
	PageVersion  uint64             `json:"pageVersion,omitempty"`
	Arrived      bool               `json:"arrived,omitempty"`
	Load         float32            `json:"load"`
	// FailedByCalls reports that a run failed because of its calls.
	FailedByCalls bool `json:"failedByCalls,omitempty"`
	// Crashed is the incarnation of the backend server that ended while it had the request.
	Crashed ibisroster.ServerIncarnation `json:"crashed,omitzero"`
	// Notice is absent in the answer of a backend server that says nothing about itself.
	Notice *noticeHeader `json:"notice,omitempty"`
}

// noticeHeader contains what a backend server says about itself.
type noticeHeader struct {
	Server ibisroster.ServerIncarnation `json:"server"`
	// PerSecond is the server's rate limit in requests per second.
	PerSecond *float64 `json:"perSecond,omitempty"`
	Leaving   bool     `json:"leaving,omitempty"`
}

// encodeNotice returns the header of a notice, nil if it is empty.
func encodeNotice(n ibismessage.ServerNotice) *noticeHeader {
	if n.IsEmpty() {
		return nil
	}
	h := &noticeHeader{
		Server:  n.Server,
		Leaving: n.Leaving,
	}
	if perSecond, ok := n.RateLimit.Get(); ok {
		h.PerSecond = &perSecond
	}
	return h
}

// decodeNotice returns the notice in a header, empty if there is none.
func decodeNotice(h *noticeHeader) ibismessage.ServerNotice {
	if h == nil {
		return ibismessage.ServerNotice{}
	}
	n := ibismessage.ServerNotice{
		Server:  h.Server,
		Leaving: h.Leaving,
	}
	if h.PerSecond != nil {
		n.RateLimit = ibisset.Some(*h.PerSecond)
	}
	return n
}

func encodeOrder(order ibismessage.Order, now time.Time) http.Header {
	header := order.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	fingerprint := ""
	if order.BodyReader() != nil {
		fingerprint = order.Fingerprint.String()
	}
	value, err := json.Marshal(orderHeader{
		ID:          order.ID,
		Origin:      order.Origin,
		Service:     order.Service,
		Class:       order.Class,
		Tenant:      order.Tenant,
		KeyDigest:   order.KeyDigest,
		Config:      order.ConfigVersion,
		Priority:    order.Priority,
		Call:        order.Call,
		Repeatable:  order.Repeatable,
		Key:         order.Key,
		PageVersion: order.PageVersion,
		Fingerprint: fingerprint,
		TargetMs:    order.Target.Sub(now).Milliseconds(),
		LeftMs:      order.Deadline.Sub(now).Milliseconds(),
		Notice:      encodeNotice(order.Notice),
	})
	if err != nil {
		panic(fmt.Sprintf("order %s can't be encoded: %v", order.ID, err))
	}
	header[headerOrder] = []string{string(value)}
	return header
}

var errMissingOrder = errors.New("request carries no order of a node")

// decodeOrder returns the order that a request of another node carries. Its errors are the bodies of responses with status
// 400.
func decodeOrder(r *http.Request, now time.Time) (ibismessage.Order, error) {
	text := r.Header.Get(headerOrder)
	if text == "" {
		return ibismessage.Order{}, errMissingOrder
	}
	var h orderHeader
	if err := json.Unmarshal([]byte(text), &h); err != nil {
		return ibismessage.Order{}, fmt.Errorf("order of a node: %w", err)
	}
	order := ibismessage.Order{
		ID:            h.ID,
		Method:        r.Method,
		URI:           r.RequestURI,
		Host:          r.Host,
		Header:        ibisbackend.EndToEndHeaders(r.Header),
		Length:        r.ContentLength,
		Origin:        h.Origin,
		Service:       h.Service,
		Class:         h.Class,
		Tenant:        h.Tenant,
		KeyDigest:     h.KeyDigest,
		Priority:      h.Priority,
		Call:          h.Call,
		Repeatable:    h.Repeatable,
		Key:           h.Key,
		PageVersion:   h.PageVersion,
		Notice:        decodeNotice(h.Notice),
		ConfigVersion: h.Config,
		Target:        now.Add(time.Duration(h.TargetMs) * time.Millisecond),
		Deadline:      now.Add(time.Duration(h.LeftMs) * time.Millisecond),
	}
	if r.ContentLength != 0 {
		order.BodyRest = r.Body
	}
	var err error
	order.Fingerprint, err = h.fingerprint(r)
	return order, err
}

// fingerprint returns the fingerprint of the order that a request carries, zero if it has a body and its sender named none.
func (h orderHeader) fingerprint(r *http.Request) (ibisquarantine.Fingerprint, error) {
	switch {
	case h.Fingerprint != "":
		f, err := ibisquarantine.ParseFingerprint(h.Fingerprint)
		if err != nil {
			return f, fmt.Errorf("order of a node: %w", err)
		}
		return f, nil
	case r.ContentLength != 0:
		return ibisquarantine.Fingerprint{}, nil
	}
	return ibisquarantine.FingerprintOf(r.Method, r.Host, r.RequestURI, nil, 0), nil
}

func encodeAnswer(a ibismessage.Answer) string {
	value, err := json.Marshal(answerHeader{
		Outcome:       a.Outcome,
		Reason:        a.Reason,
		RetryAfterMs:  a.RetryAfter.Milliseconds(),
		Owner:         a.Owner,
		PageVersion:   a.PageVersion,
		Arrived:       a.Arrived,
		Load:          float32(int(a.Load*100)) / 100,
		FailedByCalls: a.FailedByCalls,
		Crashed:       a.Crashed,
		Notice:        encodeNotice(a.Notice.Or(ibismessage.ServerNotice{})),
	})
	if err != nil {
		panic(fmt.Sprintf("answer can't be encoded: %v", err))
	}
	return string(value)
}

func decodeAnswer(text string) (ibismessage.Answer, error) {
	var h answerHeader
	if err := json.Unmarshal([]byte(text), &h); err != nil {
		return ibismessage.Answer{}, fmt.Errorf("decode the answer header: %w", err)
	}
	switch h.Outcome {
	case ibisid.OutcomeDone, ibisid.OutcomeNotRun, ibisid.OutcomeUnknown:
	default:
		return ibismessage.Answer{}, fmt.Errorf("decode the answer header: outcome %q is not known", h.Outcome)
	}
	notice := ibisset.None[ibismessage.ServerNotice]()
	if h.Notice != nil || h.Outcome == ibisid.OutcomeDone {
		notice = ibisset.Some(decodeNotice(h.Notice))
	}
	return ibismessage.Answer{
		Outcome:       h.Outcome,
		Reason:        h.Reason,
		RetryAfter:    time.Duration(h.RetryAfterMs) * time.Millisecond,
		Owner:         h.Owner,
		PageVersion:   h.PageVersion,
		Arrived:       h.Arrived,
		Load:          float64(h.Load),
		FailedByCalls: h.FailedByCalls,
		Crashed:       h.Crashed,
		Notice:        notice,
	}, nil
}
