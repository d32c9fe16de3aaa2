package ibisguard

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// lengthWindow is the number of answers that the mean length of a class spans.
const lengthWindow = 100

// Limits is what the instance bears.
type Limits struct {
	// AnswerBytes bounds the bytes of answers that wait for the link in memory; zero for none.
	AnswerBytes int
	// LinkRate is the number of bytes of long answers a second that the link takes; zero for no bound.
	LinkRate float64
}

// link counts what waits for the instance's link, and what will when running requests have been answered.
type link struct {
	limits Limits
	held   int
	coming float64
	length map[ibisid.ClassName]*ibislatency.Mean
}

// usual returns the usual length of a class's answers, zero where they are short.
func (l *link) usual(class ibisid.ClassName) float64 {
	if m := l.length[class]; m != nil && m.Value() > ibisorder.ShortAnswer {
		return m.Value()
	}
	return 0
}

// wait returns how long an answer of the class takes on the link behind those that come before it.
func (l *link) wait(class ibisid.ClassName) time.Duration {
	own := l.usual(class)
	if own == 0 || l.limits.LinkRate <= 0 {
		return 0
	}
	return time.Duration((float64(l.held) + l.coming + own) / l.limits.LinkRate * float64(time.Second))
}

// answered takes in the length of an answer, -1 where it isn't known.
func (l *link) answered(class ibisid.ClassName, length int64) {
	if length < 0 {
		return
	}
	m := l.length[class]
	if m == nil {
		m = &ibislatency.Mean{}
		l.length[class] = m
	}
	m.Add(float64(length), lengthWindow)
}

// checkLink refuses an order whose answer would come late for the link alone: bytes that wait longer than the work takes
// only make the answers behind them late as well.
func (g *Guard) checkLink(order ibisorder.Order, wait time.Duration, now time.Time) (ibisorder.Answer, bool) {
	usual := g.gate.Usual(order.Class)
	if order.Target.IsZero() || wait <= usual || !now.Add(wait+usual).After(order.Target) {
		return ibisorder.Answer{}, true
	}
	return ibisorder.NotRun(ibisorder.Reason(ibisadmit.ReasonLink), wait, nil), false
}

// hold takes a long answer off the backend server at once where memory allows.
func (g *Guard) hold(answer *ibisorder.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	length := int(answer.Length)
	if length <= ibisorder.ShortAnswer || g.link.held+length > g.link.limits.AnswerBytes {
		return
	}
	g.link.held += length
	answer.Body = newSpool(answer.Body, length, func(bytes int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.held -= bytes
	})
}
