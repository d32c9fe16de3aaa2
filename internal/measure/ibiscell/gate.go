package ibiscell

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

const (
	coldStart   = 10 * time.Second
	connectTime = time.Millisecond
)

// gate drives the admission core of one node around a server in memory.
type gate struct {
	node    *node
	core    *ibisadmit.Gate
	nextID  ibisadmit.RequestID
	waiting map[ibisadmit.RequestID]*handed
	drained bool
	state   ibisbackend.State
}

// handed is a request on its way through the gate.
type handed struct {
	parker  *parker
	request ibisbackend.Request
	result  ibisbackend.Result
	began   time.Time
	settled bool
}

func newGate(n *node, cold bool) *gate {
	return &gate{
		node: n,
		core: ibisadmit.New(ibisadmit.Config{
			Slots:       serverSlots,
			Connections: 130,
			ColdStart:   coldStart,
			StartCold:   cold,
			KeepQueue:   n.world.service == floorService,
		}, n.Now()),
		waiting: make(map[ibisadmit.RequestID]*handed),
		state:   ibisbackend.StateServing,
	}
}

func (g *gate) start() {
	g.node.Every(ibisadmit.TickPeriod, func(time.Time) { g.update(ibisadmit.TickEvent{}) })
}

// LatestAnnouncement returns what the backend server says of itself.
func (g *gate) LatestAnnouncement() (ibisbackend.Announcement, bool) {
	return ibisbackend.Announcement{
		Service:      g.node.world.service,
		Slots:        serverSlots,
		Weight:       1,
		ChecksGrants: g.node.world.checks,
		State:        g.state,
	}, true
}

// SetDomain follows the operators' word on the failure domain.
func (g *gate) SetDomain(e ibisadmit.DomainEvent) { g.update(e) }

// Load returns the load that routers see.
func (g *gate) Load() float64 { return g.core.Load(g.node.Now()) }

// ReportTypical returns what other nodes should hear of the class now.
func (g *gate) ReportTypical(class ibisid.ClassName) (ibisadmit.TypicalLatency, bool) {
	return g.core.ReportTypical(class, g.node.Now())
}

// LearnTypical takes in what another node reported of the class.
func (g *gate) LearnTypical(class ibisid.ClassName, report ibisadmit.Report) {
	g.update(ibisadmit.BaselineEvent{
		Class:  class,
		Report: report,
	})
}

// report returns what the entry node's side of the router reports with a request.
func (g *gate) report(class ibisid.ClassName) string {
	typical, ok := g.ReportTypical(class)
	if !ok {
		return ""
	}
	return ibisadmit.Report{
		From:    g.node.name,
		Typical: typical,
	}.String()
}

// learn takes in what an answer tells.
func (g *gate) learn(class ibisid.ClassName, reported string) {
	if report, err := ibisadmit.ParseReport(reported); err == nil {
		g.LearnTypical(class, report)
	}
}

// policy follows the document.
func (g *gate) policy(doc *ibisdoc.Document) {
	policy := ibisadmit.Policy{
		Classes: make(map[ibisid.ClassName]ibisadmit.ClassPolicy),
	}
	for name := range doc.Content().Classes {
		class := doc.Class(name)
		policy.Classes[name] = ibisadmit.ClassPolicy{
			Priority:    class.Priority,
			Share:       class.Share,
			QueueLength: class.QueueLength,
		}
	}
	g.update(ibisadmit.PolicyEvent{Policy: policy})
}

// Send parks the request's handler until the core refuses it or the server has answered.
func (g *gate) Send(ctx context.Context, info ibisgate.RequestInfo, request ibisbackend.Request) ibisbackend.Result {
	g.nextID++
	id := g.nextID
	h := &handed{
		parker:  parkerOf(ctx),
		request: request,
	}
	g.waiting[id] = h
	g.node.world.after(0, func() {
		g.node.do(func() {
			g.update(ibisadmit.ArriveEvent{
				ID:       id,
				Tenant:   info.Tenant,
				Class:    info.Class,
				Deadline: info.Deadline,
			})
		})
	})
	return h.parker.park()
}

func (g *gate) update(event ibisadmit.Event) {
	for _, effect := range g.core.Update(event, g.node.Now()) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			id := e.ID
			g.node.After(connectTime, func(time.Time) { g.handOver(id) })
		case ibisadmit.RefuseEffect:
			h := g.waiting[e.ID]
			delete(g.waiting, e.ID)
			g.resume(h, ibisbackend.Result{
				Outcome: ibisid.OutcomeNotRun,
				Err: &ibisgate.RefusedError{
					Reason:     e.Reason,
					RetryAfter: e.RetryAfter,
				},
			})
		case ibisadmit.DrainedEffect:
			g.drained = true
		}
	}
}

func (g *gate) resume(h *handed, result ibisbackend.Result) {
	g.node.world.after(0, func() { g.node.do(func() { h.parker.wake(result) }) })
}

// handOver asks for the last check and gives the request to the server.
func (g *gate) handOver(id ibisadmit.RequestID) {
	h := g.waiting[id]
	g.node.world.points("hand over", g.node)
	if g.node.frozen {
		g.node.do(func() { g.handOver(id) })
		return
	}
	if check := h.request.Check; check != nil {
		if err := check(); err != nil {
			g.finish(id, ibisbackend.Result{
				Outcome: ibisid.OutcomeNotRun,
				Err:     err,
			})
			return
		}
	}
	h.began = g.node.Now()
	if !h.request.Deadline.IsZero() {
		g.node.After(h.request.Deadline.Sub(h.began), func(time.Time) {
			g.finish(id, ibisbackend.Result{
				Outcome: ibisid.OutcomeUnknown,
				Err:     errNoAnswer,
			})
		})
	}
	g.node.server.run(h.request, func(result ibisbackend.Result) {
		g.node.do(func() { g.finish(id, result) })
	})
}

func (g *gate) finish(id ibisadmit.RequestID, result ibisbackend.Result) {
	h, ok := g.waiting[id]
	if !ok {
		return
	}
	delete(g.waiting, id)
	latency := time.Duration(0)
	if result.Answer != nil {
		latency = g.node.Now().Sub(h.began)
	}
	g.update(ibisadmit.FinishEvent{
		ID:      id,
		Latency: latency,
		Failed:  result.Outcome == ibisid.OutcomeUnknown,
	})
	g.resume(h, result)
}

// drain refuses new requests; the gate is drained once nothing runs.
func (g *gate) drain() { g.update(ibisadmit.DrainEvent{}) }
