package ibisgate

import (
	"context"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// Gate admits requests and sends them to the node's own backend server. It is safe for concurrent use.
type Gate struct {
	timer      ibistimer.Service
	histograms *histograms

	mu           sync.Mutex
	announcement ibisbackend.Announcement
	announcedAt  time.Time
	// settled means that the service has been announced twice, and rival is another one that was announced once before.
	settled  bool
	rival    ibisid.ServiceName
	client   *ibisbackend.Client
	core     *ibisadmit.Gate
	service  ibisdoc.Service
	policy   ibisadmit.Policy
	domain   ibisadmit.DomainEvent
	draining bool
	nextID   ibisadmit.RequestID
	waiting  map[ibisadmit.RequestID]chan decision
	drained  chan struct{}
}

// decision is the core's decision on a waiting request; a nil refusal admits it.
type decision struct {
	refusal *RefusedError
}

// New returns a gate that refuses requests until its backend server announces itself. Run must be called, since it sends
// the periodic ticks on which queued requests time out.
func New(timer ibistimer.Service) *Gate {
	return &Gate{
		timer:   timer,
		waiting: make(map[ibisadmit.RequestID]chan decision),
		drained: make(chan struct{}),
	}
}

// Run sends periodic ticks to the core until the context ends; it returns nil.
func (g *Gate) Run(ctx context.Context) error {
	tick := g.timer.Every(ibisadmit.TickPeriod, func(time.Time) { g.update(ibisadmit.TickEvent{}) })
	defer tick.Stop()
	<-ctx.Done()
	return nil
}

// Load returns the number of running and waiting requests divided by the concurrency limit; it is 0 before the first
// announcement of the backend server.
func (g *Gate) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return 0
	}
	return g.core.Load(g.timer.Now())
}

// ReportTypical returns the typical latency of the class if other nodes of the service should hear of it now.
func (g *Gate) ReportTypical(class ibisid.ClassName) (ibisadmit.TypicalLatency, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return ibisadmit.TypicalLatency{}, false
	}
	return g.core.ReportTypical(class, g.timer.Now())
}

// LearnTypical passes on what another node of the service reported of the class.
func (g *Gate) LearnTypical(class ibisid.ClassName, report ibisadmit.Report) {
	g.update(ibisadmit.BaselineEvent{
		Class:  class,
		Report: report,
	})
}

// Stats are the current state values of a gate.
type Stats struct {
	// Limit is the number of requests that may run now.
	Limit int `json:"limit"`
	// Running is the number of requests at the backend server.
	Running int `json:"running"`
	// Waiting is the number of requests in the queues.
	Waiting int `json:"waiting"`
	// Connections is the number of open connections to the backend server.
	Connections int `json:"connections"`
}

// Stats returns the current state values; all are 0 before the first announcement of the backend server.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return Stats{}
	}
	return Stats{
		Limit:       g.core.Limit(g.timer.Now()),
		Running:     g.core.Running(),
		Waiting:     g.core.Waiting(),
		Connections: g.core.Connections(),
	}
}

// Drain refuses new requests and waits until none is running. It fails with the context's error if the context ends first.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.core == nil {
		g.mu.Unlock()
		return nil
	}
	g.apply(ibisadmit.DrainEvent{})
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetDomain applies the operators' setting for the node's failure domain: whether it is out of service or ramping up.
func (g *Gate) SetDomain(event ibisadmit.DomainEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.domain == event {
		return
	}
	g.domain = event
	if g.core != nil {
		g.apply(event)
	}
}

func (g *Gate) update(event ibisadmit.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil {
		g.apply(event)
	}
}

// apply passes the event to the core and wakes the requests that it decides on. The caller holds g.mu.
func (g *Gate) apply(event ibisadmit.Event) {
	for _, effect := range g.core.Update(event, g.timer.Now()) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			g.wake(e.ID, decision{})
		case ibisadmit.RefuseEffect:
			g.wake(e.ID, decision{
				refusal: &RefusedError{
					Reason:     e.Reason,
					RetryAfter: e.RetryAfter,
				},
			})
		case ibisadmit.DrainedEffect:
			close(g.drained)
		}
	}
}

func (g *Gate) wake(id ibisadmit.RequestID, d decision) {
	if waiter, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		waiter <- d
	}
}
