package ibisadmission

import (
	"io"
	"math"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// lengthWindow is the number of answers in the mean length of a class.
const lengthWindow = 100

// linkTryInterval is the least time between two tries of a class that is refused only because its own answers are expected to be too
// long. It lets a class be served again within a second of one misleading answer.
const linkTryInterval = 500 * time.Millisecond

// Limits bounds the answers that the instance buffers and sends.
type Limits struct {
	// AnswerBytes is the greatest number of bytes of answers that wait for the link in memory; zero disables the buffer.
	AnswerBytes int
	// LinkRate is the number of bytes of long answers per second that the link carries; zero for no limit.
	LinkRate float64
	// Memory is the budget that buffered answers draw on, nil for none beside AnswerBytes.
	Memory AnswerMemory
}

// AnswerMemory counts the bytes of buffered answers against the memory of the process.
type AnswerMemory interface {
	// Reserve counts bytes if they fit, and reports whether they do.
	Reserve(bytes int) bool
	// Release takes bytes back.
	Release(bytes int)
}

// link counts the bytes of answers that wait for the instance's network link, and the expected bytes of requests that are
// still running.
type link struct {
	limits        Limits
	heldBytes     int
	expectedBytes float64
	meanLength    map[ibisid.ClassName]*ibislatency.Mean
	// tries holds the last try of each class that was refused for its length.
	tries map[ibisid.ClassName]linkTry
}

// linkTry is an order that was let through although its answer was expected to be too long.
type linkTry struct {
	at time.Time
	// pending means that no answer of the class has been read to its end since then.
	pending bool
}

// answerLength is what has been read of an answer.
type answerLength struct {
	bytes int64
	// whole means that the answer was read to its end, and broken that it broke off. Otherwise its caller has left.
	whole, broken bool
}

// typicalLength returns the mean length in bytes of a class's answers, or zero if they are short.
func (l *link) typicalLength(class ibisid.ClassName) float64 {
	if m := l.meanLength[class]; m != nil && m.Value() > ibismessage.MaxBufferedAnswerBytes {
		return m.Value()
	}
	return 0
}

// estimateWait returns how long an answer of the class takes on the link, including the answers queued before it.
func (l *link) estimateWait(class ibisid.ClassName) time.Duration {
	own := l.typicalLength(class)
	if own == 0 {
		return 0
	}
	return l.duration(float64(l.heldBytes) + l.expectedBytes + own)
}

// duration returns how long the link takes for bytes, zero if its rate is not limited.
func (l *link) duration(bytes float64) time.Duration {
	if l.limits.LinkRate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.limits.LinkRate * float64(time.Second))
}

// recordLength adds the length of an answer to the mean of its class; a length that is only announced doesn't count. An answer that
// its caller has left is at least as long as what was read of it, and one that broke off says nothing. The first whole answer of a class
// that was tried replaces the mean.
func (l *link) recordLength(class ibisid.ClassName, length answerLength) {
	m := l.meanLength[class]
	try := l.tries[class]
	if m == nil || try.pending && length.whole {
		m = &ibislatency.Mean{}
	}
	if length.broken || !length.whole && float64(length.bytes) <= m.Value() {
		return
	}
	if try.pending && length.whole {
		try.pending = false
		l.tries[class] = try
	}
	m.Add(float64(length.bytes), lengthWindow)
	l.meanLength[class] = m
}

// mayTry reports whether a class whose answers are expected to be too long is to be tried all the same, and records that: nothing else
// needs the link, and no recent try has shown that the expectation holds. Otherwise it returns when the next try may be.
func (l *link) mayTry(class ibisid.ClassName, now time.Time) (time.Duration, bool) {
	// Less than a byte is a rounding error.
	others := l.duration(math.Floor(float64(l.heldBytes) + l.expectedBytes))
	untilTry := max(0, others, l.tries[class].at.Add(linkTryInterval).Sub(now))
	if untilTry > 0 {
		return untilTry, false
	}
	l.tries[class] = linkTry{
		at:      now,
		pending: true,
	}
	return 0, true
}

// checkLink returns how long the answer to an order is expected to wait for the link. It refuses an order whose answer would miss its
// target and would wait longer than the backend server works on it: the bytes of such an answer only delay the answers queued behind it.
// Since the expected length may be wrong, an order that is refused for that alone is let through now and then. While the node stops, it
// also refuses an order whose answer would be cut off by the end of the process, together with all answers that share the link with it.
func (g *Guard) checkLink(order ibismessage.Order, now time.Time) (time.Duration, ibismessage.Answer, bool) {
	wait := g.link.estimateWait(order.Class)
	typicalLatency := g.gate.MeanSlotTime(order.Class)
	if g.missesEnd(wait+typicalLatency, now) {
		return wait, ibismessage.NotRun(ibismessage.ReasonStopping, 0, nil), false
	}
	isLate := func(wait time.Duration) bool {
		return !order.Target.IsZero() && wait > typicalLatency && now.Add(wait+typicalLatency).After(order.Target)
	}
	if !isLate(wait) {
		return wait, ibismessage.Answer{}, true
	}
	if isLate(g.link.duration(g.link.typicalLength(order.Class))) {
		untilTry, ok := g.link.mayTry(order.Class, now)
		if ok {
			return 0, ibismessage.Answer{}, true
		}
		wait = min(wait, untilTry)
	}
	return wait, ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonLink), wait, nil), false
}

// boundDeadline returns the earlier of a deadline and the end of the answers of a stopping node; g.mu is held.
func (g *Guard) boundDeadline(deadline time.Time) time.Time {
	if !g.answersEnd.IsZero() && g.answersEnd.Before(deadline) {
		return g.answersEnd
	}
	return deadline
}

// timeLeft returns the time that the backend server gets for an order.
func (g *Guard) timeLeft(order ibismessage.Order, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.boundDeadline(order.Deadline).Sub(now)
}

// missesEnd reports whether an answer that takes the given time would be cut off by the end of the process; g.mu is held.
func (g *Guard) missesEnd(duration time.Duration, now time.Time) bool {
	return !g.answersEnd.IsZero() && now.Add(duration).After(g.answersEnd)
}

// reserveLink reserves the expected bytes of an answer on the link when its order leaves the queue, and returns them. It reports
// false if the answers of orders that left it before take so long that this one would be cut off.
func (g *Guard) reserveLink(order ibismessage.Order, now time.Time) (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait := g.link.estimateWait(order.Class); wait > 0 && g.missesEnd(wait, now) {
		return 0, false
	}
	if g.link.tries[order.Class].pending {
		// Other classes need not wait for a length that is in doubt.
		return 0, true
	}
	expectedBytes := g.link.typicalLength(order.Class)
	g.link.expectedBytes += expectedBytes
	return expectedBytes, true
}

// bufferAnswer begins to read a long answer into memory, so that it frees its slot early, if AnswerBytes allows it.
func (g *Guard) bufferAnswer(answer *ibismessage.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	length := int(answer.Length)
	if length <= ibismessage.MaxBufferedAnswerBytes || length > g.link.limits.AnswerBytes-g.link.heldBytes {
		return
	}
	memory := g.link.limits.Memory
	if memory != nil && !memory.Reserve(length) {
		return
	}
	g.link.heldBytes += length
	answer.Body = newSpool(answer.Body, length, func(bytes int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.heldBytes -= bytes
	})
	if memory != nil {
		// The buffer stays whole until the answer is closed, however much of it has been read.
		answer.Body = &closeNotifier{
			ReadCloser: answer.Body,
			onClose:    sync.OnceFunc(func() { memory.Release(length) }),
		}
	}
}

// closeNotifier calls onClose when a body is closed.
type closeNotifier struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls onClose.
func (b *closeNotifier) Close() error {
	defer b.onClose()
	return b.ReadCloser.Close()
}
