package ibiscell

import (
	"context"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

const (
	admitPause = 50 * time.Millisecond
	admitLimit = 3 * time.Second
)

// parker is a request handler on its own goroutine, which runs only while the world waits for it.
type parker struct {
	world  *world
	signal chan struct{}
	resume chan ibisbackend.Result
	ended  bool
}

type parkerKey struct{}

// spawn runs f until it ends or parks.
func (w *world) spawn(f func(ctx context.Context)) {
	p := &parker{
		world:  w,
		signal: make(chan struct{}),
		resume: make(chan ibisbackend.Result),
	}
	w.parked = append(w.parked, p)
	go func() {
		defer func() {
			p.ended = true
			p.signal <- struct{}{}
		}()
		f(context.WithValue(context.Background(), parkerKey{}, p))
	}()
	<-p.signal
	w.forget()
}

// forget drops the handlers that have ended, now and then.
func (w *world) forget() {
	if len(w.parked) < 512 {
		return
	}
	var kept []*parker
	for _, p := range w.parked {
		if !p.ended {
			kept = append(kept, p)
		}
	}
	w.parked = kept
}

func parkerOf(ctx context.Context) *parker { return ctx.Value(parkerKey{}).(*parker) }

// park lets the world go on until it resumes the handler.
func (p *parker) park() ibisbackend.Result {
	p.signal <- struct{}{}
	return <-p.resume
}

// wake resumes the handler and waits until it parks again or ends.
func (p *parker) wake(result ibisbackend.Result) {
	if p.ended {
		return
	}
	p.resume <- result
	<-p.signal
}

// abort ends a handler whose process is gone.
func (p *parker) abort() {
	for !p.ended {
		p.wake(ibisbackend.Result{
			Outcome: ibisid.OutcomeUnknown,
			Err:     errNoAnswer,
		})
	}
}

// ownership is the manager as the router sees it, with a wait that lets the world go on.
type ownership struct {
	*ibisowner.Manager
	node *node
}

var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// AcquirePermit waits as the manager does for a slot whose owner is not known, by asking again.
func (o ownership) AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (ibisrequestrouter.Permit, error) {
	for end := o.node.Now().Add(admitLimit); ; {
		permit, err := o.Manager.AcquirePermit(ended, slot, key)
		if err == nil {
			return permit, nil
		}
		known, _ := err.(*ibisowner.NotOwnerError)
		if o.node.dead || known == nil || !known.Owner.IsZero() || !o.node.Now().Before(end) {
			return nil, err
		}
		p := parkerOf(ctx)
		o.node.After(admitPause, func(time.Time) { p.wake(ibisbackend.Result{}) })
		p.park()
	}
}

// tryAdmit returns a permit where the node would run a request of the slot now.
func (n *node) tryAdmit(slot ibisid.Slot) *ibisowner.Permit {
	permit, err := n.manager.AcquirePermit(ended, slot, "")
	if err != nil {
		return nil
	}
	return permit
}

// noPeers stands where an owner's router would hand a request on, which none of the flows does.
type noPeers struct{}

// Send answers that nothing ran.
func (noPeers) Send(context.Context, string, ibisbackend.Request) ibisbackend.Result {
	return ibisbackend.Result{
		Outcome: ibisid.OutcomeNotRun,
		Err:     errNoAnswer,
	}
}

// recorder takes an answer.
type recorder struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the headers.
func (r *recorder) Header() http.Header { return r.header }

// Write takes a part of the body.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.body = append(r.body, b...)
	return len(b), nil
}

// WriteHeader takes the status.
func (r *recorder) WriteHeader(status int) { r.status = status }

var _ ibisgateSender = (*gate)(nil)

// ibisgateSender is what a router needs of a gate.
type ibisgateSender interface {
	Send(ctx context.Context, info ibisgate.RequestInfo, request ibisbackend.Request) ibisbackend.Result
	Load() float64
}
