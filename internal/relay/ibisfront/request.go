package ibisfront

import (
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibispursue"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

// Request is a caller's request.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// URI is the path and query.
	URI string
	// Path is the path as it stands in the request line.
	Path string
	// Host is the host.
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body reads the body, nil for none.
	Body io.Reader
	// Length is the length of the body, -1 where it isn't known.
	Length int64
	// Origin is the service of the instance where the request began.
	Origin ibisid.ServiceName
	// Patience is how long the caller waits; zero where it doesn't say.
	Patience time.Duration
	// Key is the caller's key, or ibisorder.NoKey.
	Key int
	// Arrived is when the request's headers were read.
	Arrived time.Time
}

// plan is what is known of a request before it is sent: its route, service and times.
type plan struct {
	route    *ibisroute.Route
	config   *ibisroute.Config
	service  ibisroute.Service
	target   time.Time
	deadline time.Time
	arrived  time.Time
	// age is how long the caller has been trying already.
	age time.Duration
}

// pursuit begins the pursuit of the plan's order.
func (p plan) pursuit(order ibisorder.Order) *ibispursue.Pursuit {
	return ibispursue.New(ibispursue.Request{
		Arrived:     p.arrived,
		Deadline:    p.deadline,
		Target:      p.route.Target,
		MaxAttempts: p.route.MaxAttempts,
		Repeatable:  order.Repeatable,
		Resendable:  order.Resendable(),
		Keyed:       order.Key != ibisorder.NoKey,
	})
}

// order makes an order of a request.
func (p plan) order(r Request, body []byte, rest io.Reader) ibisorder.Order {
	order := ibisorder.Order{
		ID:         r.ID,
		Method:     r.Method,
		URI:        r.URI,
		Host:       r.Host,
		Header:     r.Header,
		Body:       body,
		Rest:       rest,
		Length:     r.Length,
		Origin:     r.Origin,
		Service:    p.service.Name,
		Class:      p.route.Name,
		Priority:   p.route.Priority,
		Repeatable: p.route.Kind.Repeatable(),
		Key:        ibisorder.NoKey,
		Target:     p.target,
		Deadline:   p.deadline,
	}
	if p.service.Sharded {
		order.Key = r.Key
	}
	if rest == nil {
		order.Length = int64(len(body))
	}
	return order
}
