package ibispipeline

import (
	"bytes"
	"time"
)

// pump reads a split socket until it ends.
func (s *socket) pump() {
	buffer := make([]byte, readBytes)
	for {
		s.mu.Lock()
		for !s.mayRead() {
			s.withdraw()
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

// awaitBody tells the underlying connection whether a handler waits for bytes of its request.
func (s *socket) awaitBody(waits bool) {
	if inner, ok := s.inner.(interface{ AwaitBody(waits bool) }); ok {
		inner.AwaitBody(waits)
	}
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
