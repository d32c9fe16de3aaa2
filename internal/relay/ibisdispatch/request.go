package ibisdispatch

import (
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// Request is a caller's request.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// URI is the path and query.
	URI string
	// Path is the undecoded path of the request line.
	Path string
	// Host is the host.
	Host string
	// Header holds the end-to-end headers without those of AccountHeader.
	Header http.Header
	// AccountHeader holds the end-to-end headers that name or authenticate the caller's account. They are passed on only under a
	// configuration without accounts.
	AccountHeader http.Header
	// APIKey is the key of the caller's account, empty if it sent none.
	APIKey string
	// Body reads the body; nil if there is none.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// HoldBody counts bytes of the body that are to be held in memory, if they fit, and returns the function that gives them
	// back; nil for no bound.
	HoldBody func(bytes int64) (release func(), ok bool)
	// Origin is the service of the instance where the request began.
	Origin ibisid.ServiceName
	// CallerTimeout is how long the caller waits for the answer; zero if it does not state it.
	CallerTimeout time.Duration
	// Key is the caller's key, or ibismessage.NoKey.
	Key int
	// Arrived is when the request's headers had arrived.
	Arrived time.Time
}

// timeLeft returns how long after its arrival the caller and its route's timeout allow the request to be answered.
func (r Request) timeLeft(timeout time.Duration) time.Duration {
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}
	return timeout
}

// plan holds the routing decision of a request before it is sent: its route, service and times.
type plan struct {
	route *ibisroute.Route
	// account is the account of the request, nil if it has none.
	account *ibisroute.Account
	// homes lists the only regions that may run the request; empty for all.
	homes []ibisid.RegionName
	// request is the caller's request, by which the account is checked again before each attempt.
	request  Request
	config   *ibisroute.Config
	service  ibisroute.Service
	target   time.Time
	deadline time.Time
	arrived  time.Time
	// callerAge is the estimated time since the caller's first attempt.
	callerAge time.Duration
	// priority is the rank of the account or the route, or that of the run that a call serves if it is more urgent.
	priority int
	// call reports that the request serves a run of the own backend server.
	call bool
}

// newRetrier returns a new Retrier, which decides on the retries of the plan's order.
func (p plan) newRetrier(order ibismessage.Order) *ibisretrypolicy.Retrier {
	return ibisretrypolicy.New(ibisretrypolicy.Request{
		Arrived:     p.arrived,
		Deadline:    p.deadline,
		Target:      p.route.Target,
		MaxAttempts: p.route.MaxAttempts,
		Repeatable:  order.Repeatable,
		Resendable:  order.Resendable(),
		Keyed:       order.Key != ibismessage.NoKey,
	})
}

// order returns the order that carries a request to another node.
func (p plan) order(body []byte, rest io.Reader) ibismessage.Order {
	r := p.request
	order := ibismessage.Order{
		ID:         r.ID,
		Method:     r.Method,
		URI:        r.URI,
		Host:       r.Host,
		Header:     r.passedHeader(p.config),
		Body:       body,
		BodyRest:   rest,
		Length:     r.Length,
		Origin:     r.Origin,
		Service:    p.service.Name,
		Class:      p.route.Name,
		Priority:   p.priority,
		Call:       p.call,
		Repeatable: p.route.Kind.Repeatable(),
		Key:        ibismessage.NoKey,
		Target:     p.target,
		Deadline:   p.deadline,
	}
	if p.account != nil {
		order.Tenant = p.account.Name
		if !p.route.AuthExempt {
			order.KeyDigest = uint64(ibisroute.HashKey(r.APIKey).Digest())
			order.ConfigVersion = uint64(p.config.Version())
		}
	}
	if p.service.Sharded {
		order.Key = r.Key
	}
	if rest == nil {
		order.Length = int64(len(body))
	}
	order.Fingerprint = ibisquarantine.FingerprintOf(order.Method, order.Host, order.URI, order.Body, order.Length)
	return order
}
