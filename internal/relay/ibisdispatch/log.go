package ibisdispatch

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// nodeTry is the result of sending an order to one node.
type nodeTry struct {
	node    ibisid.NodeName
	reason  ibismessage.Reason
	outcome ibisid.Outcome
	took    time.Duration
}

// crashed reports whether the backend server ended while it had the request.
func (t nodeTry) crashed() bool { return t.reason == ibismessage.ReasonServerCrashed }

// String returns the text of the try in a log line: the node, the outcome or the reason, and the time in milliseconds.
func (t nodeTry) String() string {
	end := string(t.reason)
	if t.outcome == ibisid.OutcomeDone {
		end = string(t.outcome)
	}
	return fmt.Sprintf("%s %s after %d ms", t.node, end, t.took.Milliseconds())
}

// logRequest writes the log line of a request: the nodes that it was sent to and the reason for its outcome. Only one in
// ordinaryLogInterval of the requests that were answered within their target at the first try has a line.
func (d *Dispatcher) logRequest(request Request, p plan, order ibismessage.Order, answer ibismessage.Answer, tries []nodeTry) {
	elapsed := d.clock.Now().Sub(request.Arrived)
	message := "request was answered"
	if answer.Outcome != ibisid.OutcomeDone {
		message = "request has no answer"
	} else if elapsed <= p.route.Target && answer.Status < 500 && len(tries) == 1 && d.ordinary.Add(1)%ordinaryLogInterval != 0 {
		return
	}
	entry := d.log.Check(zap.InfoLevel, message)
	if entry == nil {
		return
	}
	asked := make([]string, 0, len(tries))
	for _, t := range tries {
		asked = append(asked, t.String())
	}
	fields := []zap.Field{
		zap.String("request", request.ID),
		zap.String("class", string(p.route.Name)),
		zap.String("service", string(p.service.Name)),
		zap.Int("priority", order.Priority),
		zap.Int("key", request.Key),
		zap.Duration("patience", request.CallerTimeout),
		zap.Duration("target", p.route.Target),
		zap.Duration("age", p.callerAge),
		zap.Uint64("config", uint64(p.config.Version())),
		zap.Strings("asked", asked),
		zap.String("outcome", string(answer.Outcome)),
		zap.Duration("held", elapsed),
	}
	if p.account != nil {
		fields = append(fields, zap.String("account", string(p.account.Name)))
	}
	if p.call {
		fields = append(fields, zap.Bool("call", true))
	}
	if slices.ContainsFunc(tries, nodeTry.crashed) {
		fields = append(fields, zap.Stringer("fingerprint", order.Fingerprint))
	}
	if answer.Outcome == ibisid.OutcomeDone {
		entry.Write(append(fields, zap.Int("status", answer.Status))...)
		return
	}
	entry.Write(append(fields,
		zap.String("reason", string(answer.Reason)),
		zap.Duration("retryAfter", answer.RetryAfter),
		zap.Error(answer.Err))...)
}

// RecordCut counts and logs a request whose connection is closed without a complete answer. The line has the configuration in
// force now and its age, which tells whether it changed while the request ran.
func (d *Dispatcher) RecordCut(request Request, cut *ibismessage.Cut) {
	d.meter.RecordCut(cut.Cause)
	d.mu.Lock()
	config, since := d.config, d.configSince
	d.mu.Unlock()
	now := d.clock.Now()
	fields := []zap.Field{
		zap.String("cause", string(cut.Cause)),
		zap.String("request", request.ID),
		zap.String("host", request.Host),
		zap.String("node", string(cut.Node)),
		zap.Int64("sent", cut.SentBytes),
		zap.Int64("length", cut.Length),
		zap.Duration("patience", request.CallerTimeout),
		zap.Duration("held", now.Sub(request.Arrived)),
		zap.Error(cut.Err),
	}
	if config != nil {
		if route, ok := config.Match(request.Host, request.Path); ok {
			fields = append(fields, zap.String("class", string(route.Name)))
		}
		fields = append(fields, zap.Uint64("config", uint64(config.Version())), zap.Duration("configAge", now.Sub(since)))
	}
	level := zap.WarnLevel
	if cut.Cause == ibismessage.CutCauseCallerLeft {
		level = zap.InfoLevel
	}
	d.log.Log(level, "connection closed without a complete answer", fields...)
}
