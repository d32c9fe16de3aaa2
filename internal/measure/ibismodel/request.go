package ibismodel

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisadmission"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

const (
	// reachTimeout is how long a node waits for a connection to one that it can't reach.
	reachTimeout = 500 * time.Millisecond
	// silenceTimeout is how long it waits for an answer on a connection that went silent.
	silenceTimeout = 2500 * time.Millisecond
)

// request is one attempt of a caller, or a call of a server, at the door of a node.
type request struct {
	class    *Class
	key      int
	origin   *node
	arrived  time.Time
	target   time.Time
	deadline time.Time
	retrier  *ibisretrypolicy.Retrier
	tried    []ibisid.NodeName
	current  *attempt
	// done is called with the end of the request; never after the caller has left.
	done func(end ending)
	gone bool
	// rank is the rank of the class, or that of the run that a call serves if it is more urgent. call says that such a run is known;
	// callID is zero for a caller's request.
	rank   int
	call   bool
	callID ibiscalls.CallID
}

// ending is how a request ended at the door.
type ending struct {
	outcome    ibisid.Outcome
	failed     bool
	retryAfter time.Duration
}

// attempt is one try of a request at a backend server.
type attempt struct {
	request *request
	id      uint64
	node    *node
	sent    time.Time
	// admitted says that the gate knows the attempt, or that it runs.
	admitted bool
	call     *request
	ended    bool
}

// newRequest returns a request at the door of a node.
func (w *world) newRequest(class *Class, key int, origin *node, callerTimeout time.Duration, done func(ending)) *request {
	now := w.Now()
	age := origin.callerAges.Estimate(class.Name, callerTimeout)
	r := &request{
		class:    class,
		key:      key,
		origin:   origin,
		arrived:  now,
		target:   now.Add(min(class.Target.Duration-age, callerTimeout)),
		deadline: now.Add(callerTimeout),
		done:     done,
		rank:     class.Priority,
	}
	attempts := class.MaxAttempts
	if attempts == 0 {
		attempts = 2
	}
	r.retrier = ibisretrypolicy.New(ibisretrypolicy.Request{
		Arrived:     now,
		Deadline:    r.deadline,
		Target:      class.Target.Duration,
		MaxAttempts: attempts,
		Repeatable:  class.Repeatable,
		Resendable:  true,
		Keyed:       w.services[class.Service].config.Keyed,
	})
	return r
}

// enter takes a request at the door of its node.
func (w *world) enter(r *request) {
	r.origin.budget.AddRequest()
	w.send(r, ending{
		outcome:    ibisid.OutcomeNotRun,
		retryAfter: ibisretrypolicy.DefaultRetryAfter,
	})
}

// send sends a request to the node that the policy picks, or ends it as its last try did.
func (w *world) send(r *request, last ending) {
	to, retryAfter := w.pick(r)
	if to == nil {
		last.outcome = r.retrier.FinalOutcome(last.outcome)
		last.retryAfter = max(last.retryAfter, retryAfter)
		w.end(r, last)
		return
	}
	w.nextID++
	a := &attempt{
		request: r,
		id:      w.nextID,
		node:    to,
		sent:    w.Now(),
	}
	r.current = a
	r.tried = append(r.tried, to.name)
	r.origin.sent[to.name]++
	if chooser := r.origin.choosers[r.class.Service]; chooser != nil {
		chooser.Update(ibisbalancer.AttemptSentEvent{
			ID:    ibisbalancer.AttemptID(a.id),
			Node:  to.name,
			Class: r.class.Name,
		}, w.Now())
	}
	w.After(w.delay(r.origin, to), func() { w.deliver(a) })
}

// deliver brings an attempt to the gate of its node.
func (w *world) deliver(a *attempt) {
	switch {
	case a.ended:
		return
	case !a.node.reachable || !a.request.origin.reachable:
		w.After(reachTimeout, func() {
			w.reply(a, ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun}, ending{outcome: ibisid.OutcomeNotRun})
		})
		return
	case !a.node.server.up:
		w.answer(a, ibisretrypolicy.Try{Outcome: ibisid.OutcomeNotRun}, ending{outcome: ibisid.OutcomeNotRun})
		return
	case a.node.gate == nil:
		w.begin(a)
		return
	}
	a.admitted = true
	a.node.waiting[ibisadmit.RequestID(a.id)] = a
	w.update(a.node, ibisadmit.ArriveEvent{
		ID:           ibisadmit.RequestID(a.id),
		Class:        a.request.class.Name,
		Call:         a.request.call,
		CallPriority: ibisadmission.ClassPolicy(a.request.rank).Priority,
		Target:       a.request.target,
		Deadline:     a.request.deadline,
	})
}

// update hands an event to a gate and carries its effects out.
func (w *world) update(n *node, event ibisadmit.Event) {
	for _, effect := range n.gate.Update(event, w.Now()) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			if a := n.take(e.ID); a != nil {
				w.begin(a)
			}
		case ibisadmit.RefuseEffect:
			if a := n.take(e.ID); a != nil {
				w.answer(a, ibisretrypolicy.Try{
					Outcome:  ibisid.OutcomeNotRun,
					GateFull: e.Reason.IsOverload(),
				}, ending{
					outcome:    ibisid.OutcomeNotRun,
					retryAfter: e.RetryAfter,
				})
			}
		case ibisadmit.DrainedEffect:
		}
	}
}

func (n *node) take(id ibisadmit.RequestID) *attempt {
	a := n.waiting[id]
	delete(n.waiting, id)
	return a
}

// answer sends the end of an attempt back to the door.
func (w *world) answer(a *attempt, try ibisretrypolicy.Try, end ending) {
	origin := a.request.origin
	if a.node != origin && (!a.node.reachable || !origin.reachable) {
		w.After(silenceTimeout, func() {
			w.reply(a, ibisretrypolicy.Try{Outcome: ibisid.OutcomeUnknown}, ending{outcome: ibisid.OutcomeUnknown})
		})
		return
	}
	load := 0.0
	if a.node.gate != nil {
		load = a.node.gate.Load(w.Now())
	}
	w.After(w.delay(a.node, origin), func() {
		if !a.ended {
			w.learn(a, resultOf(end), end.retryAfter, load)
		}
		w.reply(a, try, end)
	})
}

func resultOf(end ending) ibisbalancer.Result {
	switch {
	case end.outcome == ibisid.OutcomeNotRun:
		return ibisbalancer.ResultRefused
	case end.outcome == ibisid.OutcomeUnknown || end.failed:
		return ibisbalancer.ResultFailed
	}
	return ibisbalancer.ResultDone
}

// learn tells the door's chooser how an attempt ended.
func (w *world) learn(a *attempt, result ibisbalancer.Result, retryAfter time.Duration, load float64) {
	origin := a.request.origin
	origin.sent[a.node.name]--
	if chooser := origin.choosers[a.request.class.Service]; chooser != nil {
		chooser.Update(ibisbalancer.AttemptEndEvent{
			ID:         ibisbalancer.AttemptID(a.id),
			Node:       a.node.name,
			Result:     result,
			Latency:    w.Now().Sub(a.sent),
			RetryAfter: retryAfter,
			GateLoad:   load,
		}, w.Now())
	}
}

// reply takes the end of an attempt in at the door.
func (w *world) reply(a *attempt, try ibisretrypolicy.Try, end ending) {
	r := a.request
	if a.ended || r.gone {
		return
	}
	a.ended = true
	switch r.retrier.Next(try, r.origin.budget, w.Now()) {
	case ibisretrypolicy.StepAnswer:
		w.end(r, end)
	case ibisretrypolicy.StepRetry:
		w.send(r, end)
	case ibisretrypolicy.StepFail:
		end.outcome = r.retrier.FinalOutcome(end.outcome)
		w.end(r, end)
	}
}

// end gives a request its final answer.
func (w *world) end(r *request, end ending) {
	if r.gone {
		return
	}
	r.gone = true
	w.endCall(r, end.failed || end.outcome != ibisid.OutcomeDone, false)
	if end.outcome == ibisid.OutcomeNotRun {
		end.retryAfter = ibisretrypolicy.AddJitter(max(end.retryAfter, ibisretrypolicy.DefaultRetryAfter), r.origin.random)
	}
	// The end comes as an event of its own, so that nobody's state changes under a caller of enter.
	w.After(0, func() { r.done(end) })
}

// leave takes back a request whose caller has gone; its work stops when the server has heard so.
func (w *world) leave(r *request) {
	if r.gone {
		return
	}
	r.gone = true
	w.endCall(r, false, true)
	a := r.current
	if a == nil || a.ended {
		return
	}
	w.learn(a, ibisbalancer.ResultCancelled, 0, 0)
	w.After(w.delay(r.origin, a.node), func() {
		if a.ended {
			return
		}
		a.ended = true
		if _, runs := a.node.server.running[a]; runs {
			if a.call != nil {
				call := a.call
				a.call = nil
				w.leave(call)
			}
			w.updateCalls(a.node, ibiscalls.RunEndEvent{
				ID:        ibiscalls.RunID(a.id),
				Abandoned: true,
			})
			w.free(a)
			w.finished(a, false)
			return
		}
		if a.node.gate == nil || !a.admitted {
			return
		}
		if a.node.take(ibisadmit.RequestID(a.id)) != nil {
			w.update(a.node, ibisadmit.CancelEvent{ID: ibisadmit.RequestID(a.id)})
			return
		}
		w.finished(a, false)
	})
}
