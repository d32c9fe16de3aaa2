package reviewcase

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	// ackTimeout is how long a backend server waits for the answer to a ping, and ackBytes the longest one that it takes.
	ackTimeout = time.Second
	ackBytes   = 4 << 10
	// clockSlow is how much longer than granted a backend server holds keys, as its clock may run 2% slow.
	clockSlow = 1.02
	// releasePing is the pause between pings while keys are being released.
	releasePing = 100 * time.Millisecond
)

// backendConfig is what a backend server is.
type backendConfig struct {
	id      string
	slots   int
	sharded bool
	// work is how long a request takes.
	work time.Duration
	// afterAnswer returns bytes that the server sends beyond a complete answer, when the next request arrives on the channel.
	afterAnswer func() []byte
	// pingDelay returns how late a ping arrives.
	pingDelay func() time.Duration
}

// backend stands in for a backend server. It notes each run.
type backend struct {
	backendConfig
	machine  *machine
	log      *record
	born     int64
	listener net.Listener
	slot     chan struct{}
	done     chan struct{}
	runs     *runs

	mu    sync.Mutex
	left  bool
	ended bool
	seq   int
	holds []hold
	freed [][3]any
	conns map[net.Conn]bool
}

// hold is a span of keys that a backend server holds.
type hold struct {
	from, to, token int
	until           time.Time
	busy            int
	dropped         bool
}

// runs notes the runs of requests at all backend servers.
type runs struct {
	mu sync.Mutex
	by map[string][]run
}

// run is one run of a request.
type run struct {
	backend string
	// key is negative where the service is not divided by key.
	key   int
	at    time.Time
	ended time.Time
}

func newRuns() *runs {
	return &runs{
		by: make(map[string][]run),
	}
}

func (r *runs) begin(id, backend string, key int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], run{
		backend: backend,
		key:     key,
		at:      time.Now(),
	})
}

func (r *runs) end(id, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.by[id] {
		if r.by[id][i].backend == backend {
			r.by[id][i].ended = time.Now()
		}
	}
}

// began returns whether the backend server began a request on a key of the span between two times.
func (r *runs) began(backend string, from, to int, since, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, all := range r.by {
		for _, x := range all {
			if x.backend == backend && from <= x.key && x.key <= to && x.at.After(since) && x.at.Before(until) {
				return true
			}
		}
	}
	return false
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.by[id])
}

// startBackend starts the backend server of a machine.
func (w *world) startBackend(m *machine, config backendConfig, noted *runs) (*backend, error) {
	listener, err := net.Listen("tcp4", m.backend)
	if err != nil {
		return nil, err
	}
	b := &backend{
		backendConfig: config,
		machine:       m,
		log:           w.log,
		born:          time.Now().UnixMilli(),
		listener:      listener,
		slot:          make(chan struct{}, config.slots),
		done:          make(chan struct{}),
		runs:          noted,
		conns:         make(map[net.Conn]bool),
	}
	w.backends = append(w.backends, b)
	go b.accept()
	go b.ping()
	w.log.add("backend server %s started at %s", b.id, m.backend)
	return b, nil
}

// exit ends the backend server at once.
func (b *backend) exit() {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.ended = true
	conns := b.conns
	b.conns = nil
	b.mu.Unlock()
	close(b.done)
	_ = b.listener.Close()
	for conn := range conns {
		_ = conn.Close()
	}
	b.log.add("backend server %s exits", b.id)
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			_ = conn.Close()
			return
		}
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// serve serves one request after the other on a channel.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if len(extra) > 0 {
			b.log.add("%s sends, beyond its last answer: %q", b.id, extra)
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer, ran := b.answer(r)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if ran && b.afterAnswer != nil {
			extra = b.afterAnswer()
		}
	}
}

// answer returns the answer to a request and whether the request has run; there is none once the server has ended.
func (b *backend) answer(r *http.Request) ([]byte, bool) {
	if r.URL.Path == healthPath {
		b.mu.Lock()
		defer b.mu.Unlock()
		status := http.StatusOK
		if b.left {
			status = http.StatusServiceUnavailable
		}
		return response(status, "", http.Header{"Instance-Id": {b.id}}), false
	}
	id := r.Header.Get("Attempt-Id")
	refuse := func(status int) ([]byte, bool) {
		b.log.add("%s does not run %s: %d", b.id, id, status)
		return response(status, "", http.Header{"Attempt-Id": {id}, "Not-Executed": {"1"}, "Instance-Id": {b.id}}), false
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	left, err := strconv.Atoi(r.Header.Get("Time-Remaining-Ms"))
	if err != nil || id == "" {
		return refuse(http.StatusBadRequest)
	}
	select {
	case b.slot <- struct{}{}:
	case <-time.After(time.Duration(left) * time.Millisecond):
		return refuse(http.StatusServiceUnavailable)
	case <-b.done:
		return nil, false
	}
	defer func() { <-b.slot }()
	key := -1
	if b.sharded {
		if key, err = strconv.Atoi(r.Header.Get("Shard-Key")); err != nil || !b.take(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
		defer b.letGo(key)
	}
	b.runs.begin(id, b.id, key)
	b.log.add("%s runs %s: %s %s, key %d", b.id, id, r.Method, r.URL.Path, key)
	select {
	case <-time.After(b.work):
	case <-b.done:
		return nil, false
	}
	b.runs.end(id, b.id)
	return response(http.StatusOK, "done "+id, http.Header{"Attempt-Id": {id}, "Server-Seal": {b.id + "." + id}}), true
}

// response returns an answer with a length.
func response(status int, body string, header http.Header) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&out)
	_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return out.Bytes()
}

// take reports whether the server holds the key, and marks it as worked on.
func (b *backend) take(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	for i := range b.holds {
		if h := &b.holds[i]; h.from <= key && key <= h.to && !h.dropped {
			h.busy++
			return true
		}
	}
	return false
}

// letGo ends the work on a key, and releases its span where that was asked for.
func (b *backend) letGo(key int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.holds {
		h := &b.holds[i]
		if h.from > key || key > h.to || h.busy == 0 {
			continue
		}
		if h.busy--; h.dropped && h.busy == 0 {
			b.release(*h)
			b.holds = slices.Delete(b.holds, i, i+1)
		}
		return
	}
}

// expire drops the keys whose time has run out; b.mu is held.
func (b *backend) expire() {
	now := time.Now()
	b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return !now.Before(h.until) })
}

// release notes a released span for the next ping; b.mu is held.
func (b *backend) release(h hold) {
	b.freed = append(b.freed, [3]any{h.from, h.to, fmt.Sprintf("%08x%08x", b.born&0xffffffff, h.from<<12+h.token)})
}

// heldKeys returns the number of keys that the server holds.
func (b *backend) heldKeys() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	keys := 0
	for _, h := range b.holds {
		keys += h.to - h.from + 1
	}
	return keys
}

// leave deregisters the server, which goes on to serve and sends no more pings. It fails if the node does not acknowledge that.
func (b *backend) leave() error {
	b.mu.Lock()
	b.left = true
	b.mu.Unlock()
	err := b.send(http.MethodDelete, nil, nil)
	b.log.add("backend server %s deregisters: %v", b.id, errOrAck(err))
	return err
}

func errOrAck(err error) string {
	if err != nil {
		return err.Error()
	}
	return "acknowledged"
}

// ping sends pings until the server leaves or ends.
func (b *backend) ping() {
	for {
		b.mu.Lock()
		over := b.left || b.ended
		pause := heartbeat
		if len(b.freed) > 0 || slices.ContainsFunc(b.holds, func(h hold) bool { return h.dropped }) {
			pause = releasePing
		}
		b.mu.Unlock()
		if over {
			return
		}
		delay := time.Duration(0)
		if b.pingDelay != nil {
			delay = b.pingDelay()
		}
		if delay > 0 {
			// The server gives up on the ping after ackTimeout, which arrives all the same.
			text, seq := b.pingBody()
			time.AfterFunc(delay, func() { b.deliverLate(text, seq) })
			time.Sleep(ackTimeout)
		} else {
			b.pingOnce()
		}
		select {
		case <-time.After(pause):
		case <-b.done:
			return
		}
	}
}

// deliverLate delivers a ping on which the server has given up.
func (b *backend) deliverLate(text []byte, seq int) {
	b.log.add("ping %d of %s arrives late", seq, b.id)
	if err := b.send(http.MethodPut, text, nil); err != nil {
		b.log.add("late ping %d of %s: %v", seq, b.id, err)
	}
}

// pingBody returns the body of the next ping and its number.
func (b *backend) pingBody() ([]byte, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	b.seq++
	body := map[string]any{
		"address": b.machine.backend,
		"born":    b.born,
		"info":    map[string]any{"service": b.machine.service, "version": "v1", "zone": b.machine.zone, "slots": b.slots},
		"status":  map[string]any{"state": "in_service", "seq": b.seq, "coldLeftMs": 0},
	}
	if b.sharded {
		holds := [][3]int{}
		for _, h := range b.holds {
			holds = append(holds, [3]int{h.from, h.to, h.token})
		}
		body["holds"], body["freed"] = holds, slices.Clone(b.freed)
		if b.freed == nil {
			body["freed"] = [][3]any{}
		}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text, b.seq
}

// grant is the answer to a ping.
type grant struct {
	Holds  *[][4]any `json:"holds"`
	HoldMs int64     `json:"holdMs"`
}

// pingOnce sends a ping and takes its answer in.
func (b *backend) pingOnce() {
	text, _ := b.pingBody()
	b.mu.Lock()
	freed := len(b.freed)
	b.mu.Unlock()
	sent := time.Now()
	var g grant
	err := b.send(http.MethodPut, text, &g)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.log.add("ping of %s is not acknowledged: %v", b.id, err)
		return
	}
	b.freed = b.freed[freed:]
	if g.Holds != nil && !b.ended {
		b.applyGrant(*g.Holds, sent.Add(time.Duration(clockSlow*float64(g.HoldMs))*time.Millisecond))
	}
}

// applyGrant holds what was granted and releases the rest; b.mu is held.
func (b *backend) applyGrant(rows [][4]any, until time.Time) {
	b.expire()
	var next []hold
	for _, row := range rows {
		from, _ := row[0].(float64)
		to, _ := row[1].(float64)
		token, _ := row[2].(float64)
		h := hold{
			from:  int(from),
			to:    int(to),
			token: int(token),
			until: until,
		}
		for _, old := range b.holds {
			if old.from <= h.to && h.from <= old.to {
				h.busy += old.busy
			}
		}
		next = append(next, h)
	}
	for _, old := range b.holds {
		switch {
		case slices.ContainsFunc(next, func(h hold) bool { return h.from <= old.from && old.to <= h.to }):
		case old.busy > 0:
			old.dropped = true
			next = append(next, old)
		default:
			b.release(old)
		}
	}
	b.holds = next
}

// errLongAnswer reports an answer to a ping that is longer than a backend server takes.
var errLongAnswer = errors.New("answer is longer than 4 KiB")

// send sends a call to the node and decodes its answer. It fails unless the answer acknowledges the call.
func (b *backend) send(method string, text []byte, out any) error {
	request, err := http.NewRequest(method, "http://"+b.machine.control+"/-/instances/"+b.id, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{
		Timeout: ackTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return err
	case answer.StatusCode/100 != 2:
		return fmt.Errorf("status %d", answer.StatusCode)
	case len(body) > ackBytes:
		return fmt.Errorf("%w: %d bytes", errLongAnswer, len(body))
	case out == nil || len(body) == 0:
		return nil
	}
	return json.Unmarshal(body, out)
}
