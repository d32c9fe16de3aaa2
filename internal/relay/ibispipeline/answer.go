package ibispipeline

import "time"

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
			s.pipeline.options.Tracker.AwaitHeader(s.inner, s.held)
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
