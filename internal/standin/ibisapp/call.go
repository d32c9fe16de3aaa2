package ibisapp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// releasePoll is how often a release looks whether the work on its keys has ended.
const releasePoll = 5 * time.Millisecond

// callBody is a call that grants keys or takes them back.
type callBody struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldMs   int64  `json:"holdMs"`
	Handover string `json:"handover"`
}

// serveCall carries out a grant or a release.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var body callBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.From < 0 || body.From > body.To || !s.config.Sharded {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/-/release" {
		s.release(w, r, body)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := body.From; key <= body.To; key += tokenStep {
		if s.tokens[key] > body.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := body.From; key <= body.To; key += tokenStep {
		s.tokens[key] = body.Fence
	}
	s.expire()
	granted := hold{
		from:     body.From,
		to:       body.To,
		token:    body.Fence,
		handover: body.Handover,
		until:    arrived.Add(time.Duration(float64(body.HoldMs)*clockSlow) * time.Millisecond),
	}
	granted.busy = s.cut(body.From, body.To)
	s.holds = append(s.holds, granted)
	s.ledger.granted(s, s.holds)
}

// release stops new work on the keys and answers when the work on them has ended.
func (s *Server) release(w http.ResponseWriter, r *http.Request, body callBody) {
	s.mu.Lock()
	s.expire()
	busy := s.cut(body.From, body.To)
	if busy > 0 {
		s.holds = append(s.holds, hold{
			from:    body.From,
			to:      body.To,
			token:   body.Fence,
			until:   time.Now().Add(time.Minute),
			busy:    busy,
			dropped: true,
		})
	}
	s.ledger.granted(s, s.holds)
	s.mu.Unlock()
	for s.working(body.From, body.To) {
		select {
		case <-r.Context().Done():
			return
		case <-s.done.Done():
			panic(http.ErrAbortHandler)
		case <-time.After(releasePoll):
		}
	}
	w.Header().Set("Handover", fmt.Sprintf("%s-%d-%d", s.config.ID, body.From, body.Fence))
}

// cut removes a span from what the server holds and returns the number of requests that work on the holds it touches; s.mu is
// held.
func (s *Server) cut(from, to int) int {
	busy := 0
	var kept []hold
	for _, h := range s.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		busy += h.busy
		if h.from < from {
			left := h
			left.to, left.busy = from-1, 0
			kept = append(kept, left)
		}
		if h.to > to {
			right := h
			right.from, right.busy = to+1, 0
			kept = append(kept, right)
		}
	}
	s.holds = kept
	return busy
}

// working reports whether a request works on the span, which is to be released.
func (s *Server) working(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if h.dropped && h.from == from && h.to == to {
			return true
		}
	}
	return false
}
