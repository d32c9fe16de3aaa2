package ibisrequestrouter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// request is a caller's request with its route, account and slot, resolved against one revision of the document.
type request struct {
	http           *http.Request
	document       *ibisdoc.Document
	match          ibisdoc.Match
	account        ibisdoc.AccountRef
	homes          []ibisid.RegionName
	slot           ibisid.Slot
	idempotencyKey string
	deadline       time.Time
	body           *body
}

// parse resolves and checks a request against the document without reading its body.
func parse(doc *ibisdoc.Document, r *http.Request, now time.Time) (*request, *ibiscaller.Refusal) {
	match, status := doc.MatchRoute(r.Method, r.Host, r.URL.Path)
	if refusal := matchRefusal(match, status); refusal != nil {
		return nil, refusal
	}
	account, ok := doc.AuthenticateAccount(bearer(r))
	if !ok {
		return nil, unauthorized()
	}
	if !account.MayUseRoute(match.RouteName) || match.HasKey && !account.MayUseKey(match.Key) {
		return nil, refuse(http.StatusForbidden, "forbidden", fmt.Sprintf("account %s of %s may not use route %s for this key", account.Account, account.Tenant, match.RouteName))
	}
	tenant, _ := doc.Tenant(account.Tenant)
	q := &request{
		http:           r,
		document:       doc,
		match:          match,
		account:        account,
		homes:          tenant.Homes,
		idempotencyKey: r.Header.Get(ibiscaller.HeaderIdempotencyKey),
	}
	if refusal := q.readHeaders(now); refusal != nil {
		return nil, refusal
	}
	q.setSlot()
	return q, nil
}

// readHeaders sets the deadline and checks the idempotency key and the announced length of the body. The deadline is the
// earliest of those that the class and the caller set, and for a non-idempotent request the service's LongestOrder.
func (q *request) readHeaders(now time.Time) *ibiscaller.Refusal {
	budget := q.document.Class(q.match.Route.Class).Deadline.Duration
	if text := q.http.Header.Get(ibiscaller.HeaderDeadline); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 {
			return refuse(http.StatusBadRequest, "badDeadline", fmt.Sprintf("%s: %q must be a positive duration such as \"1500ms\"", ibiscaller.HeaderDeadline, text))
		}
		budget = min(budget, given)
	}
	if q.match.Route.NonIdempotent {
		service, _ := q.document.Service(q.match.Route.Service)
		budget = min(budget, service.LongestOrder.Duration)
	}
	q.deadline = now.Add(budget)
	if q.match.Route.NonIdempotent && !validIdempotencyKey(q.idempotencyKey) {
		return refuse(http.StatusBadRequest, "badIdempotencyKey", fmt.Sprintf("%s: this route needs one of 1 to %d visible ASCII characters", ibiscaller.HeaderIdempotencyKey, ibiscaller.MaxIdempotencyKeyBytes))
	}
	if limit := q.match.Route.MaxBody; q.http.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", fmt.Sprintf("the body has %d bytes and at most %d are allowed", q.http.ContentLength, limit))
	}
	return nil
}

// setSlot computes the slot from the key, or from the idempotency key if the service is not divided by key.
func (q *request) setSlot() {
	space, slots := q.document.SlotSpaceFor(q.match, q.account.Tenant)
	q.slot = ibisid.Slot{
		Space: space,
	}
	q.slot.Index = ibisname.SlotOf(q.ownedKey(), slots)
}

// ownedKey returns the key by which the owner is found: the key of the request, or the tenant and the idempotency key if
// the service is not divided by key.
func (q *request) ownedKey() string {
	if q.keyed() {
		return string(q.match.Key)
	}
	return string(q.account.Tenant) + "/" + q.idempotencyKey
}

// keyed reports whether the service is divided by key, so that only the owner of the request's key may run it.
func (q *request) keyed() bool { return !q.slot.Space.Hidden }

// needsOwner reports whether the request must go through the owner of its slot.
func (q *request) needsOwner() bool { return q.keyed() || q.match.Route.NonIdempotent }

// outgoing returns the request in the form in which it is sent to the backend server or to another node.
func (q *request) outgoing() ibisbackend.Request {
	return ibisbackend.Request{
		Method: q.http.Method,
		URI:    q.http.URL.RequestURI(),
		Host:   q.http.Host,
		Header: q.http.Header,
		Body:   q.body.open(),
		Length: q.body.length,
	}
}

func matchRefusal(match ibisdoc.Match, status ibisdoc.MatchStatus) *ibiscaller.Refusal {
	switch status {
	case ibisdoc.MatchNoRoute:
		return refuse(http.StatusNotFound, "noRoute", "no route of the document has this path")
	case ibisdoc.MatchMethodNotAllowed:
		return refuse(http.StatusMethodNotAllowed, "methodNotAllowed", "this path allows "+strings.Join(match.Allowed, ", "))
	case ibisdoc.MatchBadName:
		return refuse(http.StatusBadRequest, "badName", match.Err.Error())
	case ibisdoc.MatchFound:
	}
	return nil
}

func bearer(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > ibiscaller.MaxIdempotencyKeyBytes {
		return false
	}
	return !slices.ContainsFunc([]byte(key), func(b byte) bool { return b <= ' ' || b >= 0x7f })
}
