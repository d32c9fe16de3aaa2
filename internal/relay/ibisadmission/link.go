package ibisadmission

import (
	"io"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// lengthWindow is the number of answers in the mean length of a class.
const lengthWindow = 100

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

// bytesWithin returns how many bytes of long answers the link carries within a duration.
func (l Limits) bytesWithin(d time.Duration) int64 { return int64(l.LinkRate * d.Seconds()) }

// link counts the bytes of answers that wait for the instance's network link, and the expected bytes of requests that are
// still running.
type link struct {
	limits        Limits
	heldBytes     int
	expectedBytes float64
	meanLength    map[ibisid.ClassName]*ibislatency.Mean
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
	if own == 0 || l.limits.LinkRate <= 0 {
		return 0
	}
	return time.Duration((float64(l.heldBytes) + l.expectedBytes + own) / l.limits.LinkRate * float64(time.Second))
}

// recordLength adds the length of an answer in bytes to the mean of its class; -1 means unknown and is ignored.
func (l *link) recordLength(class ibisid.ClassName, length int64) {
	if length < 0 {
		return
	}
	m := l.meanLength[class]
	if m == nil {
		m = &ibislatency.Mean{}
		l.meanLength[class] = m
	}
	m.Add(float64(length), lengthWindow)
}

// checkLink refuses an order whose answer would miss its target and would wait for the link longer than the backend server
// works on it: the bytes of such an answer only delay the answers queued behind it. While the node stops, it also refuses an
// order whose answer would be cut off by the end of the process, together with all answers that share the link with it.
func (g *Guard) checkLink(order ibismessage.Order, wait time.Duration, now time.Time) (ibismessage.Answer, bool) {
	typicalLatency := g.gate.MeanSlotTime(order.Class)
	if g.missesEnd(wait+typicalLatency, now) {
		return ibismessage.NotRun(ibismessage.ReasonStopping, 0, nil), false
	}
	if order.Target.IsZero() || wait <= typicalLatency || !now.Add(wait+typicalLatency).After(order.Target) {
		return ibismessage.Answer{}, true
	}
	return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonLink), wait, nil), false
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
