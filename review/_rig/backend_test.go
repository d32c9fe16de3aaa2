package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	ackTimeout = time.Second
	// idleTimeout is how long a backend server keeps an idle connection, as it says in its answers.
	idleTimeout = 30 * time.Second
)

// backendConfig is what a backend server is.
type backendConfig struct {
	id        string
	service   string
	zone      string
	slots     int
	heartbeat time.Duration
	// sharded says that it runs a request only while it holds the request's key, and byCall that keys are granted by calls.
	sharded, byCall bool
	// work is how long a request takes.
	work time.Duration
	// body is the length of an answer, zero for a short text.
	body int
}

// backend is a sound backend server.
type backend struct {
	config  backendConfig
	address string
	control string
	record  *record
	book    *book
	born    int64
	server  *http.Server
	ctx     context.Context
	end     context.CancelFunc

	mu      sync.Mutex
	seq     uint64
	leaving bool
	holds   []*hold
	freed   [][3]any
	highest map[int]uint64
	nudge   chan struct{}
}

// hold is a span of keys that a backend server holds.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
	working  int
	// released says that no new work begins on it.
	released bool
}

// book notes which keys the backend servers have held, and what they ran; it is safe for concurrent use.
type book struct {
	mu    sync.Mutex
	spans []*heldSpan
	runs  map[string]int
}

// heldSpan is a span of keys that a backend server has held for a time.
type heldSpan struct {
	backend    string
	from, to   int
	fence      uint64
	since, end time.Time
	open       *hold
}

func newBook() *book {
	return &book{
		runs: make(map[string]int),
	}
}

// keyStep is the distance of the keys whose fences are noted.
const keyStep = 64

func startBackend(config backendConfig, address, control string, r *record, b *book) (*backend, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	s := &backend{
		config:  config,
		address: address,
		control: control,
		record:  r,
		book:    b,
		born:    time.Now().UnixMilli(),
		ctx:     ctx,
		end:     end,
		highest: make(map[int]uint64),
		nudge:   make(chan struct{}, 1),
	}
	s.server = &http.Server{
		Handler:     s,
		IdleTimeout: idleTimeout,
	}
	go func() { _ = s.server.Serve(listener) }()
	go s.beats()
	r.add("backend %s of %s starts at %s", config.id, config.service, address)
	return s, nil
}

// crash ends the backend server at once.
func (s *backend) crash() {
	s.end()
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		s.book.close(h, time.Now())
	}
	s.holds = nil
	s.record.add("backend %s ends", s.config.id)
}

// ServeHTTP answers a call or runs a request.
func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	switch r.URL.Path {
	case healthPath:
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		w.Header().Set("Instance-Id", s.config.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/-/grant":
		s.grant(w, r, arrived)
		return
	case "/-/release":
		s.release(w, r)
		return
	}
	s.run(w, r)
}

func (s *backend) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	reject := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		s.record.add("%s rejects %s with %d", s.config.id, id, status)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	left, err := strconv.Atoi(r.Header.Get("Time-Remaining-Ms"))
	switch expected := r.Header.Get("Expected-Instance"); {
	case id == "" || err != nil:
		reject(http.StatusBadRequest)
		return
	case expected != "" && expected != s.config.id:
		reject(http.StatusMisdirectedRequest)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	var held *hold
	if s.config.sharded {
		if held = s.take(key); held == nil {
			reject(http.StatusMisdirectedRequest)
			return
		}
		defer s.letGo(held)
	}
	s.book.mu.Lock()
	s.book.runs[id]++
	s.book.mu.Unlock()
	s.record.add("%s runs %s %s %s, key %d", s.config.id, id, r.Method, r.URL.Path, key)
	select {
	case <-time.After(min(s.config.work, time.Duration(left)*time.Millisecond)):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-s.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", s.config.id+"."+id)
	if s.config.body > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(s.config.body))
		_, _ = w.Write(make([]byte, s.config.body))
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s\n", s.config.id, id)
}

// take begins work on a key, and returns nil if the backend server doesn't hold it.
func (s *backend) take(key int) *hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && !h.released && time.Now().Before(h.until) {
			h.working++
			return h
		}
	}
	return nil
}

func (s *backend) letGo(h *hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.working--
	s.tidy(time.Now())
}

// tidy ends the holds that have run out or were released; s.mu is held.
func (s *backend) tidy(now time.Time) {
	var kept []*hold
	for _, h := range s.holds {
		if h.working == 0 && (h.released || !now.Before(h.until)) {
			end := now
			if !h.released && h.until.Before(now) {
				end = h.until
				s.record.add("%s held %d to %d, fence %d, until %.3f", s.config.id, h.from, h.to, h.fence, s.record.at(end))
			}
			s.book.close(h, end)
			continue
		}
		kept = append(kept, h)
	}
	s.holds = kept
}

type callBody struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"holdMs"`
}

func (s *backend) grant(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	var body callBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.From < 0 || body.From > body.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tidy(time.Now())
	for key := body.From; key <= body.To; key += keyStep {
		if s.highest[key] > body.Fence {
			s.record.add("%s answers 409 to the grant of %d to %d, fence %d", s.config.id, body.From, body.To, body.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := body.From; key <= body.To; key += keyStep {
		s.highest[key] = body.Fence
	}
	until := arrived.Add(time.Duration(body.HoldMs) * time.Millisecond)
	for _, h := range s.holds {
		if h.from == body.From && h.to == body.To && h.fence == body.Fence && !h.released {
			h.until = until
			return
		}
	}
	s.cut(body.From, body.To)
	h := &hold{
		from:  body.From,
		to:    body.To,
		fence: body.Fence,
		until: until,
	}
	s.holds = append(s.holds, h)
	s.book.open(s.config.id, h)
	s.record.add("%s is granted %d to %d, fence %d, for %d ms", s.config.id, body.From, body.To, body.Fence, body.HoldMs)
}

// cut takes a span out of the holds; s.mu is held. Holds that lie partly outside go on with the rest.
func (s *backend) cut(from, to int) (working []*hold) {
	now := time.Now()
	var kept []*hold
	for _, h := range s.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		for _, part := range [][2]int{{h.from, from - 1}, {to + 1, h.to}} {
			if part[0] <= part[1] {
				rest := &hold{
					from:  part[0],
					to:    part[1],
					fence: h.fence,
					until: h.until,
				}
				kept = append(kept, rest)
				s.book.open(s.config.id, rest)
			}
		}
		if h.working > 0 {
			h.released = true
			kept = append(kept, h)
			working = append(working, h)
			continue
		}
		s.book.close(h, now)
	}
	s.holds = kept
	return working
}

func (s *backend) release(w http.ResponseWriter, r *http.Request) {
	var body callBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.tidy(time.Now())
	working := s.cut(body.From, body.To)
	s.mu.Unlock()
	s.record.add("%s is told to release %d to %d, fence %d", s.config.id, body.From, body.To, body.Fence)
	for {
		s.mu.Lock()
		busy := 0
		for _, h := range working {
			busy += h.working
		}
		s.mu.Unlock()
		if busy == 0 {
			break
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Handover", fmt.Sprintf("%x", time.Now().UnixNano()))
}

// beats sends heartbeats until the backend server ends.
func (s *backend) beats() {
	for s.ctx.Err() == nil {
		s.beat()
		pause := s.config.heartbeat
		s.mu.Lock()
		s.tidy(time.Now())
		for _, h := range s.holds {
			if h.released {
				pause = 100 * time.Millisecond
			}
		}
		s.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-s.nudge:
		case <-s.ctx.Done():
		}
	}
}

func (s *backend) beat() {
	s.mu.Lock()
	s.seq++
	state := "in_service"
	if s.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": s.address,
		"born":    s.born,
		"info":    map[string]any{"service": s.config.service, "version": "v1", "zone": s.config.zone, "slots": s.config.slots},
		"status":  map[string]any{"state": state, "seq": s.seq, "coldLeftMs": 0},
	}
	freed := s.freed
	if s.config.sharded && !s.config.byCall {
		s.tidy(time.Now())
		holds := [][3]any{}
		for _, h := range s.holds {
			holds = append(holds, [3]any{h.from, h.to, h.fence})
		}
		body["holds"], body["freed"] = holds, append([][3]any{}, freed...)
	}
	s.mu.Unlock()
	sent := time.Now()
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs int64     `json:"holdMs"`
	}
	if err := s.call(http.MethodPut, body, &answer); err != nil || time.Since(sent) > ackTimeout {
		return
	}
	if s.config.sharded && !s.config.byCall {
		s.mu.Lock()
		s.freed = s.freed[len(freed):]
		if answer.Holds != nil {
			s.hold(*answer.Holds, sent.Add(time.Duration(answer.HoldMs)*time.Millisecond))
		}
		s.mu.Unlock()
	}
}

// hold takes what an answer to a heartbeat grants and releases the rest; s.mu is held.
func (s *backend) hold(rows [][4]any, until time.Time) {
	now := time.Now()
	s.tidy(now)
	var next []*hold
	listed := make(map[*hold]bool)
	for _, row := range rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		refused := false
		for key := from; key <= to; key += keyStep {
			refused = refused || s.highest[key] > fence
		}
		if refused {
			s.record.add("%s doesn't accept %d to %d, fence %d", s.config.id, from, to, fence)
			continue
		}
		for key := from; key <= to; key += keyStep {
			s.highest[key] = fence
		}
		known := false
		for _, h := range s.holds {
			if h.from == from && h.to == to && h.fence == fence && !h.released {
				h.until, known, listed[h] = until, true, true
			}
		}
		if !known {
			h := &hold{
				from:  from,
				to:    to,
				fence: fence,
				until: until,
			}
			next = append(next, h)
			s.book.open(s.config.id, h)
			s.record.add("%s is granted %d to %d, fence %d", s.config.id, from, to, fence)
		}
	}
	var kept []*hold
	for _, h := range s.holds {
		switch {
		case listed[h]:
			kept = append(kept, h)
		case h.working > 0:
			h.released = true
			kept = append(kept, h)
		default:
			s.book.close(h, now)
			s.freed = append(s.freed, [3]any{h.from, h.to, fmt.Sprintf("%x", now.UnixNano())})
		}
	}
	s.holds = append(kept, next...)
}

func (s *backend) call(method string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.control+"/-/instances/"+s.config.id, bytes.NewReader(text))
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

// open notes that a backend server holds a span from now on.
func (b *book) open(id string, h *hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spans = append(b.spans, &heldSpan{
		backend: id,
		from:    h.from,
		to:      h.to,
		fence:   h.fence,
		since:   time.Now(),
		open:    h,
	})
}

// close notes the end of a hold.
func (b *book) close(h *hold, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.spans {
		if s.open == h {
			s.end, s.open = at, nil
		}
	}
}

// keysOf returns the number of keys that a backend server holds.
func (b *book) keysOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.spans {
		if s.open != nil && s.backend == id {
			n += s.to - s.from + 1
		}
	}
	return n
}

// maxOverlap is how long two backend servers that are up may hold the same keys.
const maxOverlap = 500 * time.Millisecond

// judgeOwners reports keys that two backend servers have held for longer than maxOverlap.
func (b *book) judgeOwners(r *record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	end := func(s *heldSpan) time.Time {
		if s.open != nil {
			return now
		}
		return s.end
	}
	for i, a := range b.spans {
		for _, c := range b.spans[i+1:] {
			if a.backend == c.backend || a.from > c.to || c.from > a.to {
				continue
			}
			from, to := a.since, end(a)
			if c.since.After(from) {
				from = c.since
			}
			if end(c).Before(to) {
				to = end(c)
			}
			if overlap := to.Sub(from); overlap > maxOverlap {
				r.violation("OWNER: %s holds %d to %d under fence %d while %s holds %d to %d under fence %d, for %.3f s from %.3f on",
					a.backend, a.from, a.to, a.fence, c.backend, c.from, c.to, c.fence, overlap.Seconds(), r.at(from))
			}
		}
	}
}
