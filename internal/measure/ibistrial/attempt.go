package ibistrial

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

func (t *trial) send(d *door, e ibisretry.SendEffect) {
	r := d.requests[e.ID]
	node, ok := d.picker.pick(r.tried, t.Now())
	if !ok {
		t.After(0, func() { t.answer(d, e.ID, e.Attempt, ibisid.OutcomeNotRun, 0) })
		return
	}
	t.number++
	a := &attempt{
		door:    d,
		request: e.ID,
		number:  e.Attempt,
		id:      t.number,
		server:  t.byName[node],
		sent:    t.Now(),
	}
	r.tried = append(r.tried, node)
	r.attempts[e.Attempt] = a
	d.picker.update(ibisbalancer.AttemptSentEvent{
		ID:    ibisbalancer.AttemptID(a.id),
		Node:  node,
		Class: className,
	}, t.Now())
	t.After(distance(d.place, a.server.place), func() { t.enter(a, r.deadline) })
}

func distance(a, b ibisid.Place) time.Duration {
	if a.Region != b.Region {
		return betweenRegions
	}
	if a.Domain != b.Domain {
		return betweenDomains
	}
	return sameDomain
}

func (t *trial) enter(a *attempt, deadline time.Time) {
	if a.ended {
		return
	}
	s := a.server
	id := ibisadmit.RequestID(a.id)
	s.attempts[id] = a
	t.gateUpdate(s, ibisadmit.ArriveEvent{
		ID:       id,
		Tenant:   "kynnysmatto",
		Class:    className,
		Deadline: deadline,
	})
}

func (t *trial) gateUpdate(s *server, event ibisadmit.Event) {
	for _, effect := range s.gate.Update(event, t.Now()) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			t.serve(s, e)
		case ibisadmit.RefuseEffect:
			t.refuse(s, e)
		case ibisadmit.DrainedEffect:
		}
	}
}

func (t *trial) serve(s *server, e ibisadmit.AdmitEffect) {
	a := s.attempts[e.ID]
	begun := t.Now()
	if e.OpenConnection {
		begun = begun.Add(openTime)
	}
	end := s.begin(begun)
	t.At(end, func() { t.served(s, e.ID, a, end.Sub(begun)) })
}

func (t *trial) served(s *server, id ibisadmit.RequestID, a *attempt, latency time.Duration) {
	if s.attempts[id] == nil {
		return
	}
	delete(s.attempts, id)
	s.running--
	s.served++
	t.gateUpdate(s, ibisadmit.FinishEvent{
		ID:      id,
		Latency: latency,
	})
	t.goBack(a, ibisbalancer.ResultDone, ibisid.OutcomeDone, 0)
}

func (t *trial) refuse(s *server, e ibisadmit.RefuseEffect) {
	a := s.attempts[e.ID]
	delete(s.attempts, e.ID)
	t.goBack(a, ibisbalancer.ResultRefused, ibisid.OutcomeNotRun, e.RetryAfter)
}

// goBack sends an answer with the gate's load to the door.
func (t *trial) goBack(a *attempt, result ibisbalancer.Result, outcome ibisid.Outcome, retryAfter time.Duration) {
	load := a.server.gate.Load(t.Now())
	t.After(distance(a.server.place, a.door.place), func() {
		a.gateLoad = load
		t.returned(a, result, outcome, retryAfter)
	})
}

func (t *trial) returned(a *attempt, result ibisbalancer.Result, outcome ibisid.Outcome, retryAfter time.Duration) {
	if a.ended {
		return
	}
	t.close(a, result, retryAfter)
	t.answer(a.door, a.request, a.number, outcome, t.Now().Sub(a.sent))
}

func (t *trial) close(a *attempt, result ibisbalancer.Result, retryAfter time.Duration) {
	a.ended = true
	if a.door.place.Region != a.server.place.Region {
		t.result.RegionBytes += answerBytes
	}
	a.door.picker.update(ibisbalancer.AttemptEndEvent{
		ID:         ibisbalancer.AttemptID(a.id),
		Node:       a.server.name,
		Result:     result,
		Latency:    t.Now().Sub(a.sent),
		RetryAfter: retryAfter,
		GateLoad:   a.gateLoad,
		Bytes:      answerBytes,
	}, t.Now())
}

func (t *trial) answer(d *door, id ibisretry.RequestID, number ibisretry.Attempt, outcome ibisid.Outcome, latency time.Duration) {
	t.follow(d, d.policy.Update(ibisretry.AttemptEndEvent{
		ID:      id,
		Attempt: number,
		Outcome: outcome,
		Latency: latency,
	}, t.Now()))
}

// cancel takes an attempt back; the server hears of it after the way there and stops its work.
func (t *trial) cancel(a *attempt) {
	if a == nil || a.ended {
		return
	}
	t.close(a, ibisbalancer.ResultCancelled, 0)
	t.After(distance(a.door.place, a.server.place), func() { t.cancelled(a) })
}

func (t *trial) cancelled(a *attempt) {
	s := a.server
	id := ibisadmit.RequestID(a.id)
	if s.attempts[id] == nil {
		return
	}
	delete(s.attempts, id)
	running := s.gate.Running()
	waiting := s.gate.Waiting()
	t.gateUpdate(s, ibisadmit.CancelEvent{
		ID: id,
	})
	if s.gate.Waiting() < waiting || s.gate.Running() > running {
		return
	}
	s.running--
	t.gateUpdate(s, ibisadmit.FinishEvent{
		ID:               id,
		ConnectionClosed: true,
	})
}

func (t *trial) finish(d *door, e ibisretry.FinishEffect) {
	r := d.requests[e.ID]
	took := t.Now().Sub(r.begun)
	if e.Outcome != ibisid.OutcomeDone {
		t.result.NotRun++
		t.result.RefusalLatency = max(t.result.RefusalLatency, took)
		return
	}
	t.latencies = append(t.latencies, took)
	if t.Now().After(r.deadline) {
		t.result.Late++
		return
	}
	t.result.Done++
}
