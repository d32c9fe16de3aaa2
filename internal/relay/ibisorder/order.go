package ibisorder

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// NoKey is the key of a request to a service that is not divided by key.
const NoKey = -1

// Order is one request for one backend server.
type Order struct {
	// ID is the caller's id of the request.
	ID string
	// Method is the HTTP method.
	Method string
	// URI is the path and query as the caller sent them.
	URI string
	// Host is the host that the caller named.
	Host string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	// Body is the whole body; where Rest is set, its beginning.
	Body []byte
	// Rest reads what follows Body, nil where Body is whole.
	Rest io.Reader
	// Length is the length of the whole body, -1 where it isn't known.
	Length int64
	// Origin is the service of the instance where the request began.
	Origin ibisid.ServiceName
	// Service is the service that is to run the request.
	Service ibisid.ServiceName
	// Class is the request class, the name of its route.
	Class ibisid.ClassName
	// Priority is the rank of the class, where zero is the highest.
	Priority int
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Key is the caller's key, or NoKey.
	Key int
	// PageVersion is the version of the page that named the node as the key's owner, so that a node with an older one knows.
	PageVersion uint64
	// Target is the time by which the answer is worth most.
	Target time.Time
	// Deadline is the time after which an answer is of no use.
	Deadline time.Time
}

// BodyReader returns a reader of the body from its beginning, nil where there is none.
func (o Order) BodyReader() io.Reader {
	switch {
	case o.Rest != nil && len(o.Body) > 0:
		return io.MultiReader(bytes.NewReader(o.Body), o.Rest)
	case o.Rest != nil:
		return o.Rest
	case len(o.Body) > 0:
		return bytes.NewReader(o.Body)
	}
	return nil
}

// Resendable reports whether the body can be sent again.
func (o Order) Resendable() bool { return o.Rest == nil }
