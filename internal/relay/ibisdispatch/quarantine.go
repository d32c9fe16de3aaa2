package ibisdispatch

import (
	"errors"
	"io"
	"strconv"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// retriedEnds is the number of servers that may have ended under a request for it to be retried after the last one: the first end
// probably has another cause.
const retriedEnds = 1

// Evidence shares with the other nodes which requests backend servers had when they ended.
type Evidence interface {
	// Share shares that a server ended while it had a request.
	Share(f ibisquarantine.Fingerprint, server ibisquarantine.Server)
	// Withdraw withdraws what any node has shared of a request and a server.
	Withdraw(f ibisquarantine.Fingerprint, server ibisquarantine.Server)
}

// UpdateQuarantine applies what other nodes have shared.
func (d *Dispatcher) UpdateQuarantine(events []ibisquarantine.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		d.applyQuarantine(e)
	}
}

// QuarantineServer returns the name of an incarnation of a backend server in the quarantine.
func QuarantineServer(i ibisroster.ServerIncarnation) ibisquarantine.Server {
	return ibisquarantine.Server(i.ID + "/" + strconv.FormatInt(i.StartedAt, 10))
}

// checkQuarantine refuses an order that is blocked since backend servers ended under it.
func (d *Dispatcher) checkQuarantine(order ibismessage.Order) (ibismessage.Answer, bool) {
	if !d.hasSuspects() {
		return ibismessage.Answer{}, true
	}
	f := order.Fingerprint
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	nextTrial, blocked := d.quarantine.Blocked(f, now)
	if !blocked {
		return ibismessage.Answer{}, true
	}
	if !now.Before(nextTrial) && d.triesBlocked(f) {
		d.log.Warn("blocked request is tried once", zap.Stringer("fingerprint", f), zap.String("request", order.ID))
		d.applyQuarantine(ibisquarantine.TriedEvent{
			Fingerprint: f,
		})
		return ibismessage.Answer{}, true
	}
	return ibismessage.NotRun(ibismessage.ReasonQuarantined, max(nextTrial.Sub(now), ibisretrypolicy.DefaultRetryAfter), nil), false
}

// hasSuspects reports whether any request is a suspect, so that fingerprints are needed.
func (d *Dispatcher) hasSuspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.quarantine.Empty()
}

// triesBlocked reports whether this node is the one that tries a blocked request: the first of those that are up in an order that
// differs by request. Nodes that see other nodes as up may disagree for a while. d.mu is held.
func (d *Dispatcher) triesBlocked(f ibisquarantine.Fingerprint) bool {
	rank := func(node ibisid.NodeName) uint64 { return ibisid.HashKey(f.String() + "\x00" + string(node)) }
	own := rank(d.settings.Node)
	return len(d.roster.Matching(func(m ibisroster.Member) bool { return d.isAvailable(m) && rank(m.Node) < own })) == 0
}

// recordRun records whether a backend server ended while it had the order or ran it to an answer, and reports whether the order is too
// suspect to be retried.
func (d *Dispatcher) recordRun(order ibismessage.Order, answer ibismessage.Answer) (suspect bool) {
	switch {
	case !answer.Crashed.IsZero():
		return d.RecordServerEnd(order, answer.Crashed) > retriedEnds
	case answer.Outcome == ibisid.OutcomeDone && answer.Complete:
		d.recordAnswered(order)
	}
	return false
}

// recordBodyEnd records how the body of an answer to an order ended that had begun to go out: the backend server may have ended
// midway.
func (d *Dispatcher) recordBodyEnd(order ibismessage.Order, err error) {
	var ended *ibismessage.ServerEndedError
	switch {
	case errors.Is(err, io.EOF):
		d.recordAnswered(order)
	case errors.As(err, &ended):
		d.RecordServerEnd(order, ended.Server)
	}
}

// RecordServerEnd records that a backend server ended while it had the order, and returns the number of servers that have ended under
// it. An order of another node without a fingerprint counts under none.
func (d *Dispatcher) RecordServerEnd(order ibismessage.Order, server ibisroster.ServerIncarnation) int {
	if order.Fingerprint.IsZero() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyQuarantine(ibisquarantine.ServerEndedEvent{
		Fingerprint: order.Fingerprint,
		Server:      QuarantineServer(server),
	})
	return d.quarantine.Ends(order.Fingerprint, d.clock.Now())
}

// recordAnswered records that a backend server ran the order to a complete answer.
func (d *Dispatcher) recordAnswered(order ibismessage.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyQuarantine(ibisquarantine.AnsweredEvent{
		Fingerprint: order.Fingerprint,
	})
}

// applyQuarantine passes an event to the quarantine and applies the effects; d.mu is held.
func (d *Dispatcher) applyQuarantine(event ibisquarantine.Event) {
	for _, effect := range d.quarantine.Update(event, d.clock.Now()) {
		switch e := effect.(type) {
		case ibisquarantine.ShareEffect:
			d.evidence.Share(e.Fingerprint, e.Server)
		case ibisquarantine.WithdrawEffect:
			for _, server := range e.Servers {
				d.evidence.Withdraw(e.Fingerprint, server)
			}
		case ibisquarantine.BlockEffect:
			d.log.Error("request is blocked: backend servers ended while they had it",
				zap.Stringer("fingerprint", e.Fingerprint),
				zap.Int("servers", e.Servers),
				zap.Duration("for", ibisquarantine.Retention))
		}
	}
}
