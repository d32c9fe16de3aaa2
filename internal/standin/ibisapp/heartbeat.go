package ibisapp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	ackTimeout   = time.Second
	releaseEvery = 100 * time.Millisecond
	// clockSlow is how much longer than granted the server holds keys, as its clock may run 2% slow.
	clockSlow = 1.02
)

// heartbeats sends heartbeats until the server ends.
func (s *Server) heartbeats() {
	for s.done.Err() == nil {
		s.beat()
		pause := s.config.Heartbeat
		s.mu.Lock()
		if len(s.freed) > 0 || slices.ContainsFunc(s.holds, func(h hold) bool { return h.dropped }) {
			pause = releaseEvery
		}
		s.mu.Unlock()
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-s.beats:
		case <-s.done.Done():
		}
		t.Stop()
	}
}

func (s *Server) beatNow() {
	select {
	case s.beats <- struct{}{}:
	default:
	}
}

// grantBody answers a heartbeat.
type grantBody struct {
	Holds  *[][4]any `json:"holds"`
	HoldMs int64     `json:"holdMs"`
}

// beat sends one heartbeat and takes the answer in.
func (s *Server) beat() {
	s.mu.Lock()
	s.expire()
	s.seq++
	leaving := s.leaving
	holds := [][3]any{}
	for _, h := range s.holds {
		holds = append(holds, [3]any{h.from, h.to, h.token})
	}
	freed := append([][3]any{}, s.freed...)
	body := s.heartbeatBody()
	if !s.config.ByCall {
		body["holds"], body["freed"] = holds, freed
	}
	s.mu.Unlock()
	sent := time.Now()
	var grant grantBody
	if err := s.call(http.MethodPut, body, &grant); err != nil || time.Since(sent) > ackTimeout {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving && s.ackedOut.IsZero() {
		s.ackedOut = time.Now()
	}
	s.freed = s.freed[min(len(freed), len(s.freed)):]
	if grant.Holds != nil && s.Up() {
		s.take(*grant.Holds, sent.Add(time.Duration(float64(grant.HoldMs)*clockSlow)*time.Millisecond))
	}
}

// heartbeatBody returns the body of a heartbeat without lists of keys; s.mu is held.
func (s *Server) heartbeatBody() map[string]any {
	state := "in_service"
	if s.leaving {
		state = "draining"
	}
	return map[string]any{
		"address": s.config.Address,
		"born":    s.born,
		"info":    map[string]any{"service": s.config.Service, "version": "v1", "zone": s.config.Domain, "slots": s.config.Slots},
		"status":  map[string]any{"state": state, "seq": s.seq, "coldLeftMs": 0},
	}
}

// call sends a call to the node.
func (s *Server) call(method string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+s.config.Control+"/-/instances/"+s.config.ID, bytes.NewReader(text))
	if err != nil {
		return err
	}
	client := http.Client{
		Timeout: ackTimeout,
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// take holds what was granted and releases the rest; s.mu is held.
func (s *Server) take(rows [][4]any, until time.Time) {
	s.expire()
	var next []hold
	for _, row := range rows {
		from, fromOK := row[0].(float64)
		to, toOK := row[1].(float64)
		token, tokenOK := row[2].(float64)
		handover, _ := row[3].(string)
		if !fromOK || !toOK || !tokenOK {
			continue
		}
		h := hold{
			from:     int(from),
			to:       int(to),
			token:    uint64(token),
			handover: handover,
			until:    until,
		}
		for _, old := range s.holds {
			if old.from <= h.to && h.from <= old.to {
				h.busy += old.busy
			}
		}
		next = append(next, h)
	}
	for _, old := range s.holds {
		if slices.ContainsFunc(next, func(h hold) bool { return h.from <= old.from && old.to <= h.to }) {
			continue
		}
		if old.busy > 0 {
			old.dropped = true
			next = append(next, old)
			continue
		}
		s.free(old)
	}
	s.holds = next
	s.ledger.granted(s, s.holds)
}

// free notes a released span for the next heartbeat; s.mu is held.
func (s *Server) free(h hold) {
	s.freed = append(s.freed, [3]any{h.from, h.to, fmt.Sprintf("%s-%d-%d", s.config.ID, h.from, h.token)})
}

// expire drops what has run out; s.mu is held.
func (s *Server) expire() {
	now := time.Now()
	s.holds = slices.DeleteFunc(s.holds, func(h hold) bool { return !now.Before(h.until) })
}

// hold reports whether the server holds the key, and marks it as worked on.
func (s *Server) hold(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for i := range s.holds {
		if h := &s.holds[i]; h.from <= key && key <= h.to && !h.dropped {
			h.busy++
			return true
		}
	}
	return false
}

// letGo ends the work on a key, and releases its span where that was asked for.
func (s *Server) letGo(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.holds {
		h := &s.holds[i]
		if h.from > key || key > h.to || h.busy == 0 {
			continue
		}
		h.busy--
		if h.dropped && h.busy == 0 {
			s.free(*h)
			s.holds = slices.Delete(s.holds, i, i+1)
			s.ledger.granted(s, s.holds)
			s.beatNow()
		}
		return
	}
}
