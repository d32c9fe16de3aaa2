package ibispipeline

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// settle records what a socket without requests waits for.
func (s *socket) settle() {
	switch {
	case len(s.requests) > 0 || s.ending:
	case s.readErr != nil || s.draining:
		s.end()
	case len(s.held) > 0:
		s.pipeline.options.Tracker.AwaitHeader(s.inner, s.held)
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

// recordPeerGone records that the caller has disconnected.
func (s *socket) recordPeerGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerGone = true
	s.changed.Broadcast()
}

// withdraw ends the requests of a caller that has disconnected. While as many requests run as are allowed, the socket is not read, so the
// disconnection would show only after an answer.
func (s *socket) withdraw() {
	if s.peerGone && s.readErr == nil {
		s.readErr = io.EOF
		s.changed.Broadcast()
	}
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
	if s.stopWatch != nil {
		s.stopWatch()
	}
	s.consume(len(s.held))
	if s.readErr == nil {
		s.readErr = io.EOF
	}
	_ = s.inner.Close()
	s.changed.Broadcast()
}
