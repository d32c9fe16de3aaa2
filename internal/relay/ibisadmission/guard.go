package ibisadmission

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// incomingKeyWait is the longest wait for a key that is moving: a heartbeat and a half.
	incomingKeyWait = 1500 * time.Millisecond
	// movingKeyRetryAfter is the retry-after time for a key that is moving: a release and a heartbeat of the next owner.
	movingKeyRetryAfter = 800 * time.Millisecond
	// coldRateFactor multiplies the rate that a cold server can process: the excess is half of what the rules allow.
	coldRateFactor = 1.25
	// queueLength is the greatest number of requests of one class that wait at a gate.
	queueLength = 48
	// minTimeLeft is the least time before the deadline of a request at which it is still sent to the backend server.
	minTimeLeft = 5 * time.Millisecond
)

// Backend sends requests to the backend server.
type Backend interface {
	// Send sends an order once to the given incarnation of the backend server; it returns when the answer's headers have
	// arrived.
	Send(ctx context.Context, order ibismessage.Order, incarnation ibisroster.ServerIncarnation, left time.Duration) ibismessage.Answer
}

// Ownership provides the ownership state of keys, which ibisrange decides.
type Ownership interface {
	// StateOfKey returns the ownership state of a key and the node that owns it.
	StateOfKey(key int) (ibisrange.KeyState, ibisid.NodeName)
	// PageVersion returns the version of the page that the ownership states come from.
	PageVersion() uint64
	// Refresh requests the newest page, after an order referred to a newer one.
	Refresh()
	// Changed returns a channel that is closed when the grants of keys change.
	Changed() <-chan struct{}
	// ReportServerEnded reports an incarnation of the backend server whose port accepts no connections.
	ReportServerEnded(incarnation ibisroster.ServerIncarnation)
	// ReportServerLeaving reports an incarnation of the backend server that said in an answer that it stops soon.
	ReportServerLeaving(incarnation ibisroster.ServerIncarnation)
}

// Guard admits requests to the backend server of its own instance.
type Guard struct {
	backend   Backend
	ownership Ownership
	clock     ibistimer.Service
	log       *zap.Logger

	mu         sync.Mutex
	server     ibisroster.Server
	rules      *Rules
	coldUntil  time.Time
	stopping   bool
	answersEnd time.Time
	gate       *ibisadmit.Gate
	// gateOf is the incarnation of the server that the gate admits to, and startedAt when the guard was created.
	gateOf    ibisroster.ServerIncarnation
	startedAt time.Time
	// abandonedUntil is when the server has to end its work on requests whose callers have left.
	abandonedUntil time.Time
	nextID         ibisadmit.RequestID
	waiting        map[ibisadmit.RequestID]chan decision
	tickScheduled  bool
	link           link
	// notice is what the backend server last said about itself, absent before its first answer.
	notice ibisset.Option[ibismessage.ServerNotice]
	stats  Stats
	// calls learns what the backend server's runs call, and callBounds holds the classes whose runs are bounded because their calls
	// fail.
	calls      *ibiscalls.Tracker
	nextCall   ibiscalls.CallID
	callBounds ibisset.Set[ibisid.ClassName]
	// keptFree is whether the gate kept slots free at keptFreeAt, as logged last.
	keptFree   bool
	keptFreeAt time.Time
	// resetLoggedAt is when a reset by the backend server was last logged.
	resetLoggedAt time.Time
}

// Stats contains the counts of admission decisions since the start, and the current load.
type Stats struct {
	// Admitted is the number of requests sent to the backend server.
	Admitted uint64
	// Resent is the number of times that a request was sent again because the backend server had rejected it.
	Resent uint64
	// Refused is the number of requests that were not admitted.
	Refused uint64
	// Calls is the number of requests of the own backend server that got the rank of a run.
	Calls uint64
	// FailedByCalls is the number of runs that failed because of their calls.
	FailedByCalls uint64
	// RefusedForCalls is the number of requests that were refused because the calls of their runs would fail.
	RefusedForCalls uint64
	// Resets is the number of connections that the backend server reset because it was full.
	Resets uint64
	// KeptFree is the number of slots that are kept free for urgent classes.
	KeptFree int
	// Running is the number of requests that the backend server processes.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// RateLimit is the number of requests per second that the backend server names as its limit, zero if it names none.
	RateLimit float64
	// LinkBytes is the number of bytes of buffered answers that wait for the link.
	LinkBytes int
	// ColdLeft is how much longer the backend server counts as cold.
	ColdLeft time.Duration
	// Abandoned is how much longer the backend server may work on requests whose callers have left.
	Abandoned time.Duration
}

// New returns a guard without a backend server and without rules; it refuses all requests until it has both.
func New(backend Backend, ownership Ownership, limits Limits, clock ibistimer.Service, log *zap.Logger) *Guard {
	return &Guard{
		backend:    backend,
		ownership:  ownership,
		clock:      clock,
		log:        log,
		waiting:    make(map[ibisadmit.RequestID]chan decision),
		startedAt:  clock.Now(),
		calls:      ibiscalls.New(clock.Now()),
		callBounds: make(ibisset.Set[ibisid.ClassName]),
		link: link{
			limits:     limits,
			meanLength: make(map[ibisid.ClassName]*ibislatency.Mean),
			tries:      make(map[ibisid.ClassName]linkTry),
		},
	}
}

// refuseWaiting refuses all waiting requests; g.mu is held.
func (g *Guard) refuseWaiting(reason ibisadmit.Reason) {
	now := g.clock.Now()
	for id, answer := range g.waiting {
		delete(g.waiting, id)
		g.apply(ibisadmit.CancelEvent{
			ID: id,
		}, now)
		answer <- decision{
			reason: reason,
		}
	}
}

// SetAnswersEnd refuses from now on orders whose answers are not expected by the given time, because the node ends then. The
// backend server gets no more time for the others.
func (g *Guard) SetAnswersEnd(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answersEnd = end
}

// Stop refuses all waiting and new requests, because the node is about to stop.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.refuseWaiting(ibisadmit.ReasonDraining)
}

// Stats returns the current statistics.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Waiting = len(g.waiting)
	s.LinkBytes = g.link.heldBytes
	s.RateLimit = g.notice.Or(ibismessage.ServerNotice{}).RateLimit.Or(0)
	now := g.clock.Now()
	s.ColdLeft = max(0, g.coldUntil.Sub(now))
	s.Abandoned = max(0, g.abandonedUntil.Sub(now))
	if g.gate != nil {
		s.Running = g.gate.Running()
		s.KeptFree = g.gate.KeptFree(now)
	}
	return s
}

// Send runs an order on the own backend server and returns its answer, or a refusal with its reason.
func (g *Guard) Send(ctx context.Context, order ibismessage.Order) ibismessage.Answer {
	g.hearSender(order.Notice)
	if refusal, ok := g.awaitKey(ctx, order); !ok {
		return g.withState(refusal)
	}
	id, incarnation, refusal, ok := g.admit(ctx, order)
	if !ok {
		return g.withState(refusal)
	}
	return g.withState(g.run(ctx, order, id, incarnation))
}

// run sends an admitted order and returns its answer. The slot is free again, after a panic too, unless the answer has a body,
// which frees it.
func (g *Guard) run(ctx context.Context, order ibismessage.Order, id ibisadmit.RequestID, incarnation ibisroster.ServerIncarnation) ibismessage.Answer {
	end := ibisadmit.FinishEvent{
		ID: id,
	}
	freedByBody := false
	defer func() {
		if !freedByBody {
			g.finish(end)
		}
	}()
	if refusal, ok := g.checkKey(order); !ok {
		return refusal
	}
	if refusal, ok := g.checkAccount(order); !ok {
		return refusal
	}
	began := g.clock.Now()
	left := g.timeLeft(order, began)
	if left < minTimeLeft {
		return ibismessage.NotRun(ibismessage.ReasonDeadline, 0, nil)
	}
	expectedBytes, ok := g.reserveLink(order, began)
	if !ok {
		return ibismessage.NotRun(ibismessage.ReasonStopping, 0, nil)
	}
	answer := g.sendUntilTaken(ctx, order, id, incarnation, expectedBytes)
	g.hear(answer.Notice)
	end.Latency = g.clock.Now().Sub(began)
	end.CutOff = answer.Reason == ibismessage.ReasonCancelled || answer.Reason == ibismessage.ReasonDeadline
	if end.CutOff {
		g.abandon(incarnation, began.Add(left))
	}
	if answer.Outcome != ibisid.OutcomeDone {
		if answer.Reason == ibismessage.ReasonServerEnded || !answer.Crashed.IsZero() {
			g.ownership.ReportServerEnded(incarnation)
		}
		if answer.Reset && answer.Reason == ibismessage.ReasonConnectionFailed {
			answer.Reason = g.judgeReset(incarnation)
		}
		end.Failed = answer.Arrived && answer.Reason != ibismessage.ReasonServerReset
		return answer
	}
	end.Failed = answer.Status >= http.StatusInternalServerError
	g.recordHeaders(id)
	answer.Body = &slotBody{
		body:          answer.Body,
		release:       func(length answerLength) { g.finishAnswer(order.Class, length, end) },
		onAbandoned:   func() { g.abandon(incarnation, began.Add(left)) },
		onServerEnded: func() { g.ownership.ReportServerEnded(incarnation) },
	}
	g.bufferAnswer(&answer)
	freedByBody = true
	return answer
}

// abandon records that an incarnation of the server may work on a request whose caller has left until the time that it was given.
func (g *Guard) abandon(incarnation ibisroster.ServerIncarnation, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation == g.server.Incarnation && until.After(g.abandonedUntil) {
		g.abandonedUntil = until
	}
}

// sendUntilTaken sends an order, and again if the backend server rejects it and the gate asks for it.
func (g *Guard) sendUntilTaken(ctx context.Context, order ibismessage.Order, id ibisadmit.RequestID, incarnation ibisroster.ServerIncarnation, expectedBytes float64) ibismessage.Answer {
	for {
		answer := g.send(ctx, order, id, incarnation, g.timeLeft(order, g.clock.Now()), expectedBytes)
		if !isRejected(answer) || order.Key == ibismessage.NoKey || order.BodyRest != nil {
			return answer
		}
		// The reserved bytes of the link are free again.
		expectedBytes = 0
		g.hear(answer.Notice)
		after, ok := g.mayResend(order, id, incarnation)
		if !ok || !ibistimer.Sleep(ctx, after) {
			return answer
		}
		if _, owned := g.checkKey(order); !owned || g.timeLeft(order, g.clock.Now()) < minTimeLeft {
			return answer
		}
	}
}

// isRejected reports whether the backend server turned an order away without running it.
func isRejected(answer ibismessage.Answer) bool {
	return answer.Outcome == ibisid.OutcomeNotRun && answer.Arrived && answer.Reason == ibismessage.ReasonServerFull
}

// mayResend asks the gate whether to send a rejected order again, and after which time.
func (g *Guard) mayResend(order ibismessage.Order, id ibisadmit.RequestID, incarnation ibisroster.ServerIncarnation) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping || g.server.Incarnation != incarnation || g.server.State == ibisroster.StateDraining {
		return 0, false
	}
	return g.apply(ibisadmit.RejectedEvent{
		ID:       id,
		Deadline: g.boundDeadline(order.Deadline),
	}, g.clock.Now()).Get()
}

// send runs an order and accounts for the bytes of its answer on the link, of which expectedBytes are reserved.
func (g *Guard) send(ctx context.Context, order ibismessage.Order, id ibisadmit.RequestID, incarnation ibisroster.ServerIncarnation, left time.Duration, expectedBytes float64) (answer ibismessage.Answer) {
	g.beginRun(id, order)
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.expectedBytes -= expectedBytes
		answer.FailedByCalls = g.endRun(id, answer)
	}()
	return g.backend.Send(ctx, order, incarnation, left)
}

// finishAnswer records the length of an answer and releases its slot.
func (g *Guard) finishAnswer(class ibisid.ClassName, length answerLength, e ibisadmit.FinishEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link.recordLength(class, length)
	g.apply(e, g.clock.Now())
}

// slotBody releases the slot of a request when its answer has been read to the end, has failed or is closed.
type slotBody struct {
	body io.ReadCloser
	read atomic.Int64
	once sync.Once
	// release is called once, with what has been read of the answer.
	release func(length answerLength)
	// onServerEnded is called if the body breaks off because the backend server has ended, and onAbandoned if it is not read to its end
	// for another reason.
	onServerEnded, onAbandoned func()
}

// Read reads the body; it releases the slot at the end or at an error.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	read := b.read.Add(int64(n))
	if err != nil {
		b.once.Do(func() { b.end(read, err) })
	}
	return n, err
}

// end releases the slot after the error that ended the body.
func (b *slotBody) end(read int64, err error) {
	whole := errors.Is(err, io.EOF)
	var ended *ibismessage.ServerEndedError
	serverEnded := errors.As(err, &ended)
	if !whole && !serverEnded {
		b.onAbandoned()
	}
	b.release(answerLength{
		bytes:  read,
		whole:  whole,
		broken: !whole,
	})
	if serverEnded {
		b.onServerEnded()
	}
}

// Close releases the slot and closes the body.
func (b *slotBody) Close() error {
	b.once.Do(func() {
		b.onAbandoned()
		b.release(answerLength{
			bytes: b.read.Load(),
		})
	})
	return b.body.Close()
}

// withState returns the answer with the present load of the gate, which other nodes use to choose a backend server, and with what
// the backend server last said about itself, which they keep for the gate.
func (g *Guard) withState(a ibismessage.Answer) ibismessage.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate != nil {
		a.Load = g.gate.Load(g.clock.Now())
	}
	a.Notice = g.notice
	return a
}
