package ibisrequestrouter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// TicketPath is the URL path at which callers request tickets. A ticket is an Idempotency-Key that is issued by the owner
// of a slot and bound to it.
const TicketPath = "/ibis/tickets"

const (
	maxTicketBodyBytes = 4 << 10
	ticketReadTimeout  = 2 * time.Second
)

// ticketRequest is the body of a request for a ticket; it names the request that will carry the ticket.
type ticketRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// ticketResponse is the body of the answer to a ticketRequest.
type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// serveTicket answers a caller's request for a ticket; the owner of the slot that the ticket is for issues it.
func (rt *Router) serveTicket(w http.ResponseWriter, r *http.Request) {
	q, refusal := rt.readTicketRequest(w, r)
	if refusal != nil {
		refuseUnread(w, r, refusal)
		return
	}
	owner, ok := rt.ownership.Owner(q.slot, q.ownedKey())
	if !ok {
		busy("noOwner", "no node owns the key at the moment", redirectRetryAfter).Write(w)
		return
	}
	if owner.Member == rt.ownership.Self().Member {
		rt.writeTicket(w, q)
		return
	}
	rt.write(w, r, rt.forward(r.Context(), q, owner, roleOwner, nil))
}

// issueTicket answers a request for a ticket that another node forwarded to this one as the owner.
func (rt *Router) issueTicket(w http.ResponseWriter, r *http.Request) {
	q, refusal := rt.readTicketRequest(w, r)
	if refusal != nil {
		refuseUnread(w, r, refusal)
		return
	}
	rt.writeTicket(w, q)
}

// readTicketRequest reads a request for a ticket and returns the request that the ticket is for, after the same checks.
func (rt *Router) readTicketRequest(w http.ResponseWriter, r *http.Request) (*request, *ibiscaller.Refusal) {
	doc := rt.documents.Current()
	if doc == nil {
		return nil, notReady("the node has no document yet")
	}
	if refusal := rt.checkTicketHome(doc, r); refusal != nil {
		return nil, refusal
	}
	received, refusal := readBody(w, r, maxTicketBodyBytes, time.Now().Add(ticketReadTimeout))
	if refusal != nil {
		return nil, refusal
	}
	var wanted ticketRequest
	if err := json.Unmarshal(received.content, &wanted); err != nil || !strings.HasPrefix(wanted.Path, "/") {
		return nil, refuse(http.StatusBadRequest, "badTicketWish", `the body must be JSON with "method" and "path" of the request that the ticket is for, and have a Content-Length`)
	}
	target, err := url.ParseRequestURI(wanted.Path)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "badTicketWish", fmt.Sprintf("path: %q is no path", wanted.Path))
	}
	q, refusal := parse(doc, impliedRequest(r, wanted.Method, target), rt.timer.Now())
	if refusal != nil {
		return nil, refusal
	}
	q.http = r
	q.body = received
	return q, rt.checkHome(q)
}

// checkTicketHome checks the tenant's home regions before the body is read, since the body names a key.
func (rt *Router) checkTicketHome(doc *ibisdoc.Document, r *http.Request) *ibiscaller.Refusal {
	account, ok := doc.AuthenticateAccount(bearer(r))
	if !ok {
		return unauthorized()
	}
	tenant, _ := doc.Tenant(account.Tenant)
	return rt.checkHome(&request{
		homes: tenant.Homes,
	})
}

// impliedRequest returns the request that the ticket is for. Without an Idempotency-Key it sets a random one on r, which
// determines the slot if the service is not divided by key and is forwarded with r, so that the owner computes the same slot.
func impliedRequest(r *http.Request, method string, target *url.URL) *http.Request {
	if r.Header.Get(ibiscaller.HeaderIdempotencyKey) == "" {
		r.Header.Set(ibiscaller.HeaderIdempotencyKey, uuid.NewString())
	}
	implied := r.Clone(r.Context())
	implied.Method = method
	implied.URL = target
	implied.ContentLength = 0
	return implied
}

func (rt *Router) writeTicket(w http.ResponseWriter, q *request) {
	permit, err := rt.acquirePermit(q.http.Context(), q)
	if err != nil {
		notOwner(err).Write(w)
		return
	}
	defer permit.Release()
	var text string
	var ok bool
	rt.memory.WithCore(func(core *ibisidempotency.Memory) { text, ok = core.IssueTicket(permit.Slot(), q.account.Tenant) })
	if !ok {
		notOwner(&ibisowner.NotOwnerError{}).Write(w)
		return
	}
	body, err := json.Marshal(ticketResponse{
		Ticket: text,
	})
	if err != nil {
		panic("encode a ticket: " + err.Error())
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	rt.write(w, q.http, result{
		outcome: ibisid.OutcomeDone,
		answer:  ibisbackend.NewStoredAnswer(http.StatusCreated, header, body),
	})
}

// useTicketSlot replaces the request's slot by the one that its ticket is bound to, if it has a ticket and the service is
// not divided by key.
func (rt *Router) useTicketSlot(q *request) {
	if !q.match.Route.NonIdempotent || q.keyed() {
		return
	}
	var slot ibisid.Slot
	var ok bool
	rt.memory.WithCore(func(core *ibisidempotency.Memory) { slot, ok = core.TicketSlot(q.idempotencyKey) })
	if ok && slot.Space == q.slot.Space {
		q.slot = slot
	}
}
