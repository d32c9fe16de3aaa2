package ibispipeline

import "math"

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
			if running == 0 && s.primary.free {
				s.pipeline.options.Tracker.AwaitHeader(s.inner, s.held)
			}
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
