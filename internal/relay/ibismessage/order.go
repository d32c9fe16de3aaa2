package ibismessage

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// NoKey is the key of a request to a service that is not divided by key.
const NoKey = -1

// Order is one request for one backend server.
type Order struct {
	// ID is the caller's ID of the request.
	ID string
	// Method is the HTTP method.
	Method string
	// URI is the path and query as the caller sent them.
	URI string
	// Host is the host to which the caller addressed the request.
	Host string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	// Body is the whole body, or its beginning if BodyRest is set.
	Body []byte
	// BodyRest reads the part of the body that follows Body, nil if Body is complete.
	BodyRest io.Reader
	// Length is the length of the whole body in bytes, -1 if unknown.
	Length int64
	// Origin is the service of the instance that accepted the request from the caller.
	Origin ibisid.ServiceName
	// Service is the service that runs the request.
	Service ibisid.ServiceName
	// Class is the request class, the name of its route.
	Class ibisid.ClassName
	// Tenant is the client account that sent the request, empty if it has none.
	Tenant ibisid.TenantName
	// KeyDigest is the ibisroute.KeyDigest of the key by which the account may run the request, zero if none is needed.
	KeyDigest uint64
	// ConfigVersion is the version of the configuration by which KeyDigest was accepted.
	ConfigVersion uint64
	// Priority is the rank of the account, or that of the class if there is none, where zero is the highest.
	Priority int
	// Call reports that the request serves a run of another backend server; Priority, Target and Deadline are no worse than those of the
	// run.
	Call bool
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Fingerprint identifies what the request asks for, zero if an earlier version of a node has sent it with a body.
	Fingerprint ibisquarantine.Fingerprint
	// Key is the caller's key, or NoKey.
	Key int
	// PageVersion is the version of the page by which the sender chose the node as the key's owner; a node with an older
	// page reads the page again.
	PageVersion uint64
	// Notice is what the sender last heard from the node's backend server, for a node that has heard nothing from it since its own
	// start; empty if the sender heard nothing.
	Notice ServerNotice
	// Target is the time by which the answer has its full value to the caller.
	Target time.Time
	// Deadline is the time after which the answer has no value to the caller.
	Deadline time.Time
}

// BodyReader returns a reader of the body from its beginning, nil if the body is empty.
func (o Order) BodyReader() io.Reader {
	switch {
	case o.BodyRest != nil && len(o.Body) > 0:
		return io.MultiReader(bytes.NewReader(o.Body), o.BodyRest)
	case o.BodyRest != nil:
		return o.BodyRest
	case len(o.Body) > 0:
		return bytes.NewReader(o.Body)
	}
	return nil
}

// Resendable reports whether the body is held in memory, so that the order can be sent again.
func (o Order) Resendable() bool { return o.BodyRest == nil }
