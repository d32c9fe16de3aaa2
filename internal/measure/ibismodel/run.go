package ibismodel

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// begin hands an attempt to the backend server.
func (w *world) begin(a *attempt) {
	s := a.node.server
	if !s.arrive(w.Now()) {
		w.fall(s)
		return
	}
	switch {
	case len(s.running) < s.config.Slots:
		w.run(a)
	case len(s.queue) < s.config.Queue:
		s.queue = append(s.queue, a)
	default:
		s.rejected++
		w.finished(a, true)
		w.answer(a, ibisretrypolicy.Try{
			Outcome: ibisid.OutcomeNotRun,
			Arrived: true,
		}, ending{outcome: ibisid.OutcomeNotRun})
	}
}

// run begins the work of an attempt; half-way it may call another service while it keeps its slot.
func (w *world) run(a *attempt) {
	s, class := a.node.server, a.request.class
	s.running[a] = struct{}{}
	s.served++
	w.updateCalls(a.node, ibiscalls.RunBeginEvent{
		ID:       ibiscalls.RunID(a.id),
		Class:    class.Name,
		Rank:     a.request.rank,
		Target:   a.request.target,
		Deadline: a.request.deadline,
	})
	span := s.span(class.Work.Duration, w.Now())
	fails := s.random.Float64() < s.grey
	calls := class.Calls != "" && (class.CallShare == 0 || s.random.Float64() < class.CallShare)
	if !calls {
		w.After(span, func() { w.complete(a, fails) })
		return
	}
	w.After(span/2, func() {
		if a.ended {
			return
		}
		w.tally.callingRuns++
		callee := w.classes[class.Calls]
		callerTimeout := min(callee.Deadline.Duration, a.request.deadline.Sub(w.Now()))
		a.call = w.call(callee, a.node, callerTimeout, func(end ending) {
			a.call = nil
			failed := fails || end.failed || end.outcome != ibisid.OutcomeDone
			if failed {
				w.tally.failedByCalls++
				w.After(0, func() { w.complete(a, true) })
				return
			}
			w.After(span/2, func() { w.complete(a, false) })
		})
		w.After(callerTimeout, func() {
			if a.call != nil {
				call := a.call
				a.call = nil
				w.leave(call)
				w.tally.failedByCalls++
				w.complete(a, true)
			}
		})
	})
}

// complete ends the work of an attempt with the server's own answer.
func (w *world) complete(a *attempt, failed bool) {
	if a.ended {
		return
	}
	w.updateCalls(a.node, ibiscalls.RunEndEvent{
		ID:     ibiscalls.RunID(a.id),
		Failed: failed,
	})
	w.free(a)
	w.finished(a, failed)
	transfer := time.Duration(0)
	if w.config.Fleet.MegabitsPerSecond > 0 {
		transfer = time.Duration(float64(a.request.class.AnswerBytes) * 8 / (w.config.Fleet.MegabitsPerSecond * 1e6) * float64(time.Second))
	}
	if a.node.region != a.request.origin.region {
		w.tally.regionBytes += int64(a.request.class.AnswerBytes)
	}
	w.After(transfer, func() {
		w.answer(a, ibisretrypolicy.Try{
			Outcome: ibisid.OutcomeDone,
			Arrived: true,
		}, ending{
			outcome: ibisid.OutcomeDone,
			failed:  failed,
		})
	})
}

// free gives the slot of an attempt to the next one in the server's own queue.
func (w *world) free(a *attempt) {
	s := a.node.server
	delete(s.running, a)
	for len(s.queue) > 0 && len(s.running) < s.config.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.ended {
			w.run(next)
		}
	}
}

// finished tells the gate that an attempt has left its server.
func (w *world) finished(a *attempt, failed bool) {
	if a.node.gate != nil && a.admitted {
		w.update(a.node, ibisadmit.FinishEvent{
			ID:      ibisadmit.RequestID(a.id),
			Latency: w.Now().Sub(a.sent),
			Failed:  failed,
		})
	}
}
