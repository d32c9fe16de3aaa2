package ibispipeline

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeldBytes bounds the bytes of a socket that are read but not passed on. A head that does not fit is served alone.
	maxHeldBytes = 16 << 10
	// readBytes is how much is read of a split socket at once.
	readBytes = 4 << 10
	// lingerTime is how long a closed socket is read on. Closing it with unread bytes would reset it, and the reset may destroy
	// answers before the caller reads them. http.Server waits for the same time.
	lingerTime = 500 * time.Millisecond
)

// class is what the handler of a request has said about it.
type class int

const (
	classUnknown class = iota
	classIdempotent
	classExclusive
)

// request is a request that a Conn has, or whose answer has not been written to the end.
type request struct {
	arrived time.Time
	class   class
	// single means that no other request of the socket is passed on beside it, and endless that no later one is told apart.
	single, endless bool
	// unread is the length of the part that the Conn still reads from the held bytes.
	unread int64
	// answer is the buffered part of the answer.
	answer []byte
	// direct means that all answers before this one have been written.
	direct bool
	// done means that the answer has ended, and closes that the connection ends with it.
	done, closes bool
	// cut means that the answer will not be written.
	cut bool
	// waits means that the handler waits until the request may be passed on.
	waits bool
	conn  *Conn
}

// socket is an accepted connection with the connections of http.Server that its byte stream is split into.
type socket struct {
	pipeline *Pipeline
	inner    net.Conn
	primary  *Conn
	split    atomic.Bool

	// Before the split, these follow the one request of the socket; they belong to the goroutine that reads.

	// opaque means that the ends of requests aren't known any more, so that the socket is never split.
	opaque bool
	// partial holds the begin of a head that arrives in pieces; its memory is kept for the next one.
	partial []byte
	// single is whether the request is other than GET or HEAD without a body, and unreadBody the length of the rest of its body.
	single     bool
	unreadBody int64

	mu      sync.Mutex
	changed sync.Cond
	// ended means that the request has been read whole, and its answer has not ended.
	ended bool
	// resets means that the end of the socket resets it.
	resets bool
	// draining means that no further request is passed on, as the socket ends after the answers.
	draining bool

	// All below is used after the split only.

	// held are the bytes that have been read but not passed on, from heldFrom on in the stream; reservedBytes is the part of them that
	// the budget has granted.
	held          []byte
	heldFrom      int64
	reservedBytes int
	// awaitsLine means that the held head stays incomplete until another line ends.
	awaitsLine bool
	// arrivals holds the times at which the held bytes arrived.
	arrivals []arrival
	// requests are those whose answers have not been written to the end, in the order of the stream.
	requests []*request
	conns    []*Conn
	// bufferedBytes is the sum of the buffered answers.
	bufferedBytes int
	// flushing means that a goroutine writes buffered answers.
	flushing bool
	// headDeadline means that the socket has a deadline for the rest of a head.
	headDeadline bool
	// readErr is why nothing more can be read.
	readErr error
	// ending means that the socket ends and only waits for the caller to notice, closed that it has ended.
	ending, closed bool
}

// arrival is when the bytes of a stream before an offset had arrived.
type arrival struct {
	before int64
	at     time.Time
}

func newSocket(p *Pipeline, inner net.Conn) *socket {
	s := &socket{
		pipeline: p,
		inner:    inner,
	}
	s.changed.L = &s.mu
	s.primary = &Conn{
		socket: s,
	}
	return s
}

// wake lets all that wait for a change look again.
func (s *socket) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// readDirectly reads from a socket that is not split, and splits it if bytes behind an unanswered request arrive.
func (s *socket) readDirectly(p []byte) (int, error) {
	n, err := s.inner.Read(p)
	if n == 0 || s.opaque {
		return n, err
	}
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if !ended {
		passed := s.follow(p[:n])
		if passed < n {
			s.begin(p[passed:n], false)
		}
		return passed, err
	}
	if !s.begin(p[:n], true) {
		s.partial = append(s.partial, p[:n]...)
		return n, err
	}
	return s.primary.readAssigned(p)
}

// follow follows the request to which the bytes belong, and returns how many of them do.
func (s *socket) follow(p []byte) int {
	if s.unreadBody == 0 {
		b := p
		if len(s.partial) > 0 {
			s.partial = append(s.partial, p...)
			b = s.partial
		}
		h := head{}
		if len(b) == len(p) || bytes.IndexByte(p, '\n') >= 0 {
			h = scanHead(b)
		}
		switch {
		case h.kind == kindOpaque, h.kind == kindIncomplete && len(b) >= maxHeldBytes:
			s.opaque = true
			s.partial = nil
			return len(p)
		case h.kind == kindIncomplete:
			if len(s.partial) == 0 {
				s.partial = append(s.partial, p...)
			}
			return len(p)
		}
		before := len(b) - len(p)
		s.partial = s.partial[:0]
		s.single = h.kind == kindSingle
		s.unreadBody = h.bodyBytes
		headBytes := h.bytes - before
		return headBytes + s.followBody(p[headBytes:])
	}
	return s.followBody(p)
}

func (s *socket) followBody(p []byte) int {
	n := int(min(s.unreadBody, int64(len(p))))
	s.unreadBody -= int64(n)
	if s.unreadBody == 0 {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
	}
	return n
}

// begin splits the socket, of which the bytes behind the running request were read. If mayHaveEnded, it does not where the answer
// to that request is about to end, and reports false.
func (s *socket) begin(rest []byte, mayHaveEnded bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary.gone || mayHaveEnded && s.answerEnds() {
		return false
	}
	s.pipeline.connections.Add(1)
	running := &request{
		class:  s.primary.class,
		single: s.single,
		direct: true,
		conn:   s.primary,
	}
	s.primary.request = running
	s.requests = []*request{running}
	s.conns = []*Conn{s.primary}
	s.split.Store(true)
	// http.Server's deadline for the head of the running request ends with its head.
	_ = s.inner.SetReadDeadline(time.Time{})
	s.hold(rest)
	s.dispatch()
	go s.pump()
	return true
}

// answerEnds reports whether http.Server ends the running request. If bytes of its answer were written, they may have been the last,
// and the caller may have waited for them: then it waits until http.Server ends the request or writes more.
func (s *socket) answerEnds() bool {
	running := s.primary
	wait := running.wrote
	running.wrote = false
	for wait && !running.wrote && !running.readAborted && !running.gone {
		s.changed.Wait()
	}
	return running.readAborted || running.gone
}

// pump reads a split socket until it ends.
func (s *socket) pump() {
	buffer := make([]byte, readBytes)
	for {
		s.mu.Lock()
		for !s.mayRead() {
			s.changed.Wait()
		}
		size := readBytes
		if !s.ending {
			size = min(size, maxHeldBytes-len(s.held))
		}
		s.mu.Unlock()
		n, err := s.inner.Read(buffer[:size])
		s.mu.Lock()
		if !s.ending {
			s.hold(buffer[:n])
		}
		if err != nil {
			s.readErr = err
		}
		s.dispatch()
		if len(s.requests) == 0 && len(s.held) > 0 {
			s.setHeadDeadline(true)
		}
		s.changed.Broadcast()
		if err != nil {
			if s.ending || len(s.requests) == 0 {
				s.close()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// mayRead reports whether the socket may be read now. A socket without requests is always read, as nothing else would wake it.
func (s *socket) mayRead() bool {
	switch {
	case s.ending:
		return true
	case len(s.held) >= maxHeldBytes:
		return false
	case len(s.requests) == 0:
		return true
	}
	return len(s.requests) < s.pipeline.options.MaxRequests && s.bufferedBytes < s.pipeline.options.MaxAnswerBytes && s.reservedBytes == len(s.held)
}

// hold adds bytes that have been read.
func (s *socket) hold(b []byte) {
	if len(b) == 0 {
		return
	}
	s.held = append(s.held, b...)
	s.awaitsLine = s.awaitsLine && bytes.IndexByte(b, '\n') < 0
	s.pipeline.heldBytes.Add(int64(len(b)))
	if s.pipeline.options.Budget.Reserve(len(b)) {
		s.reservedBytes += len(b)
	}
	s.arrivals = append(s.arrivals, arrival{
		before: s.heldFrom + int64(len(s.held)),
		at:     s.pipeline.options.Clock.Now(),
	})
}

// consume removes held bytes.
func (s *socket) consume(n int) {
	s.held = s.held[n:]
	s.awaitsLine = s.awaitsLine && n == 0
	s.heldFrom += int64(n)
	if len(s.held) == 0 {
		s.held = nil
	}
	for len(s.arrivals) > 0 && s.arrivals[0].before <= s.heldFrom {
		s.arrivals = s.arrivals[1:]
	}
	s.pipeline.heldBytes.Add(-int64(n))
	released := min(n, s.reservedBytes)
	s.reservedBytes -= released
	s.pipeline.options.Budget.Release(released)
}

// arrivedAt returns when the first held bytes had arrived.
func (s *socket) arrivedAt(bytes int) time.Time {
	for _, a := range s.arrivals {
		if a.before >= s.heldFrom+int64(bytes) {
			return a.at
		}
	}
	return s.pipeline.options.Clock.Now()
}

// dispatch passes held requests on to connections of http.Server as far as that is allowed.
func (s *socket) dispatch() {
	for len(s.held) > 0 && !s.ending && !s.draining {
		running := len(s.requests)
		if running > 0 && s.requests[running-1].single {
			return
		}
		h := head{}
		if !s.awaitsLine {
			h = scanHead(s.held)
		}
		if h.kind == kindIncomplete {
			if s.readErr == nil && len(s.held) < maxHeldBytes {
				s.awaitsLine = true
				return
			}
			// http.Server answers a head that is too long or ends midway.
			h.kind = kindOpaque
		} else if s.readErr != nil {
			return
		}
		if h.kind == kindParallel {
			if running >= s.pipeline.options.MaxRequests || s.bufferedBytes >= s.pipeline.options.MaxAnswerBytes {
				return
			}
			s.assign(h)
			continue
		}
		if running > 0 || !s.primary.free {
			return
		}
		s.assign(h)
	}
}

// assign passes the first held request on.
func (s *socket) assign(h head) {
	s.setHeadDeadline(false)
	r := &request{
		arrived: s.arrivedAt(max(h.bytes, 1)),
		direct:  len(s.requests) == 0,
		conn:    s.primary,
	}
	switch h.kind {
	case kindParallel:
		r.conn = s.freeConn()
		r.conn.input = append([]byte(nil), s.held[:h.bytes]...)
		s.consume(h.bytes)
	case kindSingle:
		r.single = true
		r.unread = int64(h.bytes) + h.bodyBytes
	default:
		r.single, r.endless = true, true
		r.unread = math.MaxInt64
	}
	if len(s.requests) > 0 {
		s.pipeline.requests.Add(1)
	}
	s.requests = append(s.requests, r)
	r.conn.request = r
	r.conn.free = false
	if r.direct && !r.conn.writeDeadline.IsZero() {
		_ = s.inner.SetWriteDeadline(r.conn.writeDeadline)
	}
	s.changed.Broadcast()
}

// freeConn returns a connection of http.Server that waits for a request.
func (s *socket) freeConn() *Conn {
	for _, c := range s.conns {
		if c.free {
			return c
		}
	}
	c := &Conn{
		socket: s,
	}
	s.conns = append(s.conns, c)
	go s.pipeline.serve(c)
	return c
}

// isTurn reports whether a request may be passed to a backend server beside those before it.
func (s *socket) isTurn(r *request) bool {
	if r.class == classExclusive {
		return s.requests[0] == r
	}
	for _, before := range s.requests {
		if before == r {
			break
		}
		if !before.done && before.class != classIdempotent {
			return false
		}
	}
	return true
}

// buffer keeps bytes of an answer that can't be written yet, as many as are allowed, and returns how many it kept.
func (s *socket) buffer(r *request, p []byte) int {
	n := min(len(p), s.pipeline.options.MaxAnswerBytes-s.bufferedBytes)
	if n <= 0 || !s.pipeline.options.Budget.Reserve(n) {
		return 0
	}
	r.answer = append(r.answer, p[:n]...)
	s.bufferedBytes += n
	s.pipeline.heldBytes.Add(int64(n))
	return n
}

// unbuffer counts bytes of answers that are no longer buffered.
func (s *socket) unbuffer(n int) {
	s.bufferedBytes -= n
	s.pipeline.heldBytes.Add(-int64(n))
	s.pipeline.options.Budget.Release(n)
}

// finish records that a connection of http.Server has ended its answer, or has been closed.
func (s *socket) finish(c *Conn, closes bool) {
	r := c.request
	if closes {
		c.gone = true
	}
	if r == nil {
		if c == s.primary && s.readErr == nil && !s.ending {
			// http.Server was closed.
			s.fail()
		}
		return
	}
	if r.endless && !closes {
		r.arrived, r.class = time.Time{}, classUnknown
		if len(s.held) == 0 {
			s.setIdle()
		} else {
			s.pipeline.options.Tracker.AwaitHeader(s.inner)
		}
		return
	}
	if !closes && (r.unread > 0 || len(c.input) > 0) {
		// http.Server took less for the request than was passed on.
		s.fail()
		return
	}
	c.request = nil
	r.done, r.closes = true, closes
	if closes {
		s.cutBehind(r)
	}
	s.flush()
	c.free = !closes
	if len(s.held) > 0 && s.hasPeerClosed() {
		s.draining = true
	}
	s.dispatch()
	s.changed.Broadcast()
	s.settle()
}

// cutBehind ends the requests behind one whose answer ends the socket.
func (s *socket) cutBehind(r *request) {
	s.draining = true
	behind := false
	for _, other := range s.requests {
		if behind {
			s.cut(other)
		}
		behind = behind || other == r
	}
	s.changed.Broadcast()
}

// cut drops the answer to a request.
func (s *socket) cut(r *request) {
	r.cut = true
	s.unbuffer(len(r.answer))
	r.answer = nil
}

// flush writes buffered answers as far as it is their turn; one goroutine does so at a time.
func (s *socket) flush() {
	if s.flushing {
		return
	}
	s.flushing = true
	defer func() { s.flushing = false }()
	for len(s.requests) > 0 && !s.closed {
		r := s.requests[0]
		for len(r.answer) > 0 {
			answer := r.answer
			r.answer = nil
			s.mu.Unlock()
			_, err := s.inner.Write(answer)
			s.mu.Lock()
			s.unbuffer(len(answer))
			if err != nil {
				s.fail()
				return
			}
			s.changed.Broadcast()
		}
		if !r.direct {
			r.direct = true
			if !r.conn.writeDeadline.IsZero() {
				_ = s.inner.SetWriteDeadline(r.conn.writeDeadline)
			}
			s.changed.Broadcast()
		}
		if !r.done {
			return
		}
		s.requests = s.requests[1:]
		if r.closes {
			s.requests = nil
			s.end()
			return
		}
		s.changed.Broadcast()
	}
}

// settle records what a socket without requests waits for.
func (s *socket) settle() {
	switch {
	case len(s.requests) > 0 || s.ending:
	case s.readErr != nil || s.draining:
		s.end()
	case len(s.held) > 0:
		s.pipeline.options.Tracker.AwaitHeader(s.inner)
		s.setHeadDeadline(true)
	default:
		s.setIdle()
	}
}

func (s *socket) setIdle() { s.pipeline.options.Tracker.SetState(s.inner, http.StateIdle) }

func (s *socket) setHeadDeadline(set bool) {
	timeout := s.pipeline.options.HeadTimeout
	if set == s.headDeadline || timeout <= 0 {
		return
	}
	s.headDeadline = set
	var deadline time.Time
	if set {
		deadline = time.Now().Add(timeout)
	}
	_ = s.inner.SetReadDeadline(deadline)
}

// end ends the socket after the last answer, and lets the caller read it.
func (s *socket) end() {
	if s.ending {
		return
	}
	s.ending = true
	s.consume(len(s.held))
	if s.resets || s.readErr != nil || s.closeWrite() != nil {
		s.close()
		return
	}
	_ = s.inner.SetReadDeadline(time.Now().Add(lingerTime))
	s.changed.Broadcast()
}

// hasPeerClosed reports whether the caller has disconnected, which is not read while the allowed number of requests runs.
func (s *socket) hasPeerClosed() bool {
	inner, ok := s.inner.(interface{ HasPeerClosed() bool })
	return ok && inner.HasPeerClosed()
}

func (s *socket) closeWrite() error {
	inner, ok := s.inner.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.CloseWrite()
}

// fail ends the socket at once.
func (s *socket) fail() {
	for _, r := range s.requests {
		s.cut(r)
	}
	s.close()
}

func (s *socket) close() {
	if s.closed {
		return
	}
	s.ending, s.closed = true, true
	s.consume(len(s.held))
	if s.readErr == nil {
		s.readErr = io.EOF
	}
	_ = s.inner.Close()
	s.changed.Broadcast()
}
