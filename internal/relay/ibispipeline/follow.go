package ibispipeline

import (
	"bytes"
	"time"
)

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
	s.stopWatch = s.pipeline.options.Tracker.OnPeerClosed(s.inner, s.recordPeerGone)
	// http.Server's deadline for the head of the running request ends with its head.
	_ = s.inner.SetReadDeadline(time.Time{})
	s.awaitBody(false)
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
