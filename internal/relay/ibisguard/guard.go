package ibisguard

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// comingWait is how long a request waits for a key that the own backend server is about to get: a heartbeat and a half.
	comingWait = 1500 * time.Millisecond
	// movingRetry is when to come back for a key that is moving: a release and a heartbeat of the next owner.
	movingRetry = 800 * time.Millisecond
	// coldHeadroom is how much more than it says a cold server gets: half of what the rules allow above that.
	coldHeadroom = 1.25
	// queueLength is how many requests of one class may wait at a gate.
	queueLength = 48
	// shortestTime is the least time left that is worth a request to a backend server.
	shortestTime = 5 * time.Millisecond
)

// Backend sends one request to the backend server.
type Backend interface {
	// Send sends an order once to the life of the backend server; it returns when the answer's headers are there.
	Send(ctx context.Context, order ibisorder.Order, life ibisroster.Life, left time.Duration) ibisorder.Answer
}

// Ownership says where keys stand; ibiskeep decides it.
type Ownership interface {
	// Stand returns where a key stands and the node that owns it.
	Stand(key int) (ibiskeep.Standing, ibisid.NodeName)
	// PageVersion returns the version of the page that answers are given from.
	PageVersion() uint64
	// Refresh asks for the newest page, since somebody knows of a newer one.
	Refresh()
	// Changed returns a channel that is closed when grants change.
	Changed() <-chan struct{}
	// Ended says that the backend server's port takes no connections.
	Ended(life ibisroster.Life)
}

// Guard admits requests to the backend server of the own instance.
type Guard struct {
	backend   Backend
	ownership Ownership
	clock     ibistimer.Service
	log       *zap.Logger

	mu        sync.Mutex
	server    ibisroster.Server
	rules     *Rules
	coldUntil time.Time
	stopping  bool
	gate      *ibisadmit.Gate
	nextID    ibisadmit.RequestID
	waiting   map[ibisadmit.RequestID]chan verdict
	ticking   bool
	link      link
	figures   Figures
}

// Figures counts what the guard decided since its start.
type Figures struct {
	// Admitted is the number of requests sent to the backend server.
	Admitted uint64
	// Refused is the number of requests that were not admitted.
	Refused uint64
	// Running is the number of requests at the backend server.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// LinkBytes is the number of bytes of answers that wait for the link.
	LinkBytes int
}

// New returns a guard without a backend server.
func New(backend Backend, ownership Ownership, limits Limits, clock ibistimer.Service, log *zap.Logger) *Guard {
	return &Guard{
		backend:   backend,
		ownership: ownership,
		clock:     clock,
		log:       log,
		waiting:   make(map[ibisadmit.RequestID]chan verdict),
		link: link{
			limits: limits,
			length: make(map[ibisid.ClassName]*ibislatency.Mean),
		},
	}
}

// refuseWaiting sends everything back that waits.
func (g *Guard) refuseWaiting(reason ibisadmit.Reason) {
	now := g.clock.Now()
	for id, answer := range g.waiting {
		delete(g.waiting, id)
		g.apply(ibisadmit.CancelEvent{
			ID: id,
		}, now)
		answer <- verdict{
			reason: reason,
		}
	}
}

// Stop makes the guard refuse new requests, as the node is about to end.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.refuseWaiting(ibisadmit.ReasonDraining)
}

// Figures returns what the guard decided so far.
func (g *Guard) Figures() Figures {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.figures
	f.Waiting = len(g.waiting)
	f.LinkBytes = g.link.held
	if g.gate != nil {
		f.Running = g.gate.Running()
	}
	return f
}

// Send runs an order on the own backend server, or answers why it was not run.
func (g *Guard) Send(ctx context.Context, order ibisorder.Order) ibisorder.Answer {
	if refusal, ok := g.awaitKey(ctx, order); !ok {
		return g.withLoad(refusal)
	}
	id, life, refusal, ok := g.admit(ctx, order)
	if !ok {
		return g.withLoad(refusal)
	}
	if refusal, ok := g.checkKey(order); !ok {
		g.finish(ibisadmit.FinishEvent{
			ID: id,
		})
		return g.withLoad(refusal)
	}
	began := g.clock.Now()
	left := order.Deadline.Sub(began)
	if left < shortestTime {
		g.finish(ibisadmit.FinishEvent{
			ID: id,
		})
		return g.withLoad(ibisorder.NotRun(ibisorder.ReasonDeadline, 0, nil))
	}
	answer := g.send(ctx, order, life, left)
	latency := g.clock.Now().Sub(began)
	if answer.Outcome != ibisid.OutcomeDone {
		if answer.Reason == ibisorder.ReasonServerEnded {
			g.ownership.Ended(life)
		}
		g.finish(ibisadmit.FinishEvent{
			ID:      id,
			Latency: latency,
			Failed:  answer.Arrived,
		})
		return g.withLoad(answer)
	}
	g.head(id)
	answer.Body = &countedBody{
		from: answer.Body,
		end: sync.OnceFunc(func() {
			g.finish(ibisadmit.FinishEvent{
				ID:      id,
				Latency: latency,
				Failed:  answer.Status >= http.StatusInternalServerError,
			})
		}),
	}
	g.hold(&answer)
	return g.withLoad(answer)
}

// send runs an order and takes in what its answer brings onto the link.
func (g *Guard) send(ctx context.Context, order ibisorder.Order, life ibisroster.Life, left time.Duration) ibisorder.Answer {
	g.mu.Lock()
	coming := g.link.usual(order.Class)
	g.link.coming += coming
	g.mu.Unlock()
	answer := g.backend.Send(ctx, order, life, left)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link.coming -= coming
	if answer.Outcome == ibisid.OutcomeDone {
		g.link.answered(order.Class, answer.Length)
	}
	return answer
}

// countedBody frees the slot when the answer has been read to its end or was given up.
type countedBody struct {
	from io.ReadCloser
	end  func()
}

// Read reads the body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close gives the body up.
func (b *countedBody) Close() error {
	b.end()
	return b.from.Close()
}

func (g *Guard) withLoad(a ibisorder.Answer) ibisorder.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate != nil {
		a.Load = g.gate.Load(g.clock.Now())
	}
	return a
}
