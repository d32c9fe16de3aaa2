package ibisdispatch

import (
	"context"
	"net/http"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// Calls tells which requests for other services the own backend server sends for its runs.
type Calls interface {
	// BeginCall records a request from the own instance for another service. It reports true with what the request takes over from the
	// runs that it may serve.
	BeginCall(class ibisid.ClassName) (ibiscalls.CallID, ibiscalls.Inheritance, bool)
	// EndCall records the end of the request.
	EndCall(id ibiscalls.CallID, failed, cancelled bool)
}

// SetCalls sets what tells calls from callers' requests; without it every request counts as a caller's.
func (d *Dispatcher) SetCalls(calls Calls) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = calls
}

// beginCall gives the plan of a call the rank, target and deadline of the runs that it may serve, and returns a function that records
// its end. A server is not taken to call its own service.
func (d *Dispatcher) beginCall(request Request, p *plan) func(ctx context.Context, answer ibismessage.Answer) {
	d.mu.Lock()
	calls := d.calls
	d.mu.Unlock()
	if calls == nil || request.Origin == "" || request.Origin == p.service.Name {
		return func(context.Context, ibismessage.Answer) {}
	}
	id, inherited, ok := calls.BeginCall(p.route.Name)
	if ok {
		p.inherit(inherited)
	}
	return func(ctx context.Context, answer ibismessage.Answer) {
		answered := answer.Outcome == ibisid.OutcomeDone && answer.Status < http.StatusInternalServerError
		calls.EndCall(id, !answered, ctx.Err() != nil)
	}
}

// inherit applies what a call takes over from its run. It keeps its own rank if that is more urgent, and is never late while its run
// is in time.
func (p *plan) inherit(i ibiscalls.Inheritance) {
	p.call = true
	p.priority = min(p.priority, i.Rank)
	if i.Deadline.Before(p.deadline) {
		p.deadline = i.Deadline
	}
	if i.Target.After(p.target) {
		p.target = i.Target
	}
	if p.target.After(p.deadline) {
		p.target = p.deadline
	}
}
