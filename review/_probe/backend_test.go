package probe

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// usualWork is how long a request takes that doesn't say otherwise.
	usualWork = 30 * time.Millisecond
	// releasePause is the time between pings while keys are released.
	releasePause = 100 * time.Millisecond
	ackTimeout   = time.Second
)

// backend stands in for a backend server of a service that is divided by key. It doesn't drop a request whose channel closes.
type backend struct {
	world   *world
	id      string
	address string
	control string
	born    int64
	// grants is how keys are granted to the server.
	grants string
	http   *http.Server
	listen net.Listener
	ctx    context.Context
	cancel context.CancelFunc

	// All below is guarded by the lock of the judge.

	up bool
	// leaving means that pings say that the server drains, and silent that it has deregistered and sends none.
	leaving, silent bool
	// lateBy is how long pings are on their way.
	lateBy time.Duration
	seq    uint64
	holds  []hold
	freed  [][3]any
	runs   []run
	// onAck is called after an acknowledged ping, and onBegin when a request begins.
	onAck, onBegin func()
}

// newBackend returns a backend server beside a node, whose port is open.
func (w *world) newBackend(n *node, id, grants string) (*backend, error) {
	listener, err := net.Listen("tcp4", n.backend)
	if err != nil {
		return nil, fmt.Errorf("%w: backend server: %w", errSetup, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{
		world:   w,
		id:      id,
		address: n.backend,
		control: n.control,
		born:    time.Now().UnixMilli(),
		grants:  grants,
		listen:  listener,
		ctx:     ctx,
		cancel:  cancel,
		up:      true,
	}
	b.http = &http.Server{
		Handler: b,
	}
	w.judge.mu.Lock()
	w.judge.backends = append(w.judge.backends, b)
	w.judge.mu.Unlock()
	w.backends = append(w.backends, b)
	return b, nil
}

// serve makes the server take requests and send pings.
func (b *backend) serve() {
	go func() { _ = b.http.Serve(b.listen) }()
	go b.sendPings()
}

// crash ends the server at once.
func (b *backend) crash() {
	b.with(func() { b.up = false })
	b.cancel()
	_ = b.http.Close()
}

// closePort closes the port; open connections stay open.
func (b *backend) closePort() { _ = b.listen.Close() }

// with calls a function with the lock held.
func (b *backend) with(f func()) {
	b.world.judge.mu.Lock()
	defer b.world.judge.mu.Unlock()
	f()
}

// sendPings sends pings until the server ends.
func (b *backend) sendPings() {
	for b.ctx.Err() == nil {
		var silent bool
		var late time.Duration
		b.with(func() { silent, late = b.silent, b.lateBy })
		pause := b.world.heartbeat
		switch {
		case silent:
		case late > 0:
			b.pingLate(late)
		case b.ping():
			pause = releasePause
		}
		select {
		case <-time.After(pause):
		case <-b.ctx.Done():
		}
	}
}

// nextPing returns the body of the next ping; the lock is held.
func (b *backend) nextPing() map[string]any {
	now := time.Now()
	b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return !now.Before(h.until) })
	b.seq++
	state := "in_service"
	if b.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": b.address,
		"born":    b.born,
		"info":    map[string]any{"service": service, "version": "v1", "zone": "z", "slots": 12},
		"status":  map[string]any{"state": state, "seq": b.seq, "coldLeftMs": 0},
	}
	if b.grants == byHeartbeat {
		held := [][3]uint64{}
		for _, h := range b.holds {
			held = append(held, [3]uint64{uint64(h.from), uint64(h.to), h.fence})
		}
		body["holds"], body["freed"] = held, append([][3]any{}, b.freed...)
	}
	return body
}

// ping sends a ping, applies its answer and reports whether keys remain to be released.
func (b *backend) ping() (releasing bool) {
	var body map[string]any
	var freed int
	b.with(func() { body, freed = b.nextPing(), len(b.freed) })
	sent := time.Now()
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs int64     `json:"holdMs"`
	}
	if err := b.tell(b.ctx, http.MethodPut, body, &answer); err != nil {
		return false
	}
	b.with(func() {
		if b.onAck != nil {
			b.onAck()
		}
		b.freed = b.freed[min(freed, len(b.freed)):]
		if answer.Holds != nil && b.up && !b.silent {
			releasing = b.take(*answer.Holds, sent.Add(time.Duration(answer.HoldMs)*time.Millisecond))
		}
	})
	return releasing
}

// pingLate sends a ping that is on its way for a while, so that its answer comes too late to count.
func (b *backend) pingLate(late time.Duration) {
	var body map[string]any
	b.with(func() { body = b.nextPing() })
	b.world.line("%s (born %d) sends ping %v, which is %s on its way", b.id, b.born, body["status"], late)
	time.AfterFunc(late, func() {
		err := b.tell(context.Background(), http.MethodPut, body, nil)
		b.world.line("ping %v of %s (born %d) arrives, error %v", body["status"], b.id, b.born, err)
	})
}

// deregister says that the server leaves, and reports whether that was acknowledged.
func (b *backend) deregister() bool {
	b.with(func() { b.silent = true })
	return b.tell(b.ctx, http.MethodDelete, map[string]any{"born": b.born}, nil) == nil
}

// tell sends a call about the server to the control address; it fails without an answer within a second.
func (b *backend) tell(ctx context.Context, method string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/-/instances/"+b.id, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
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

// take holds what a ping's answer grants and releases the rest, what is worked on at the end of the work; the lock is held.
func (b *backend) take(rows [][4]any, until time.Time) (releasing bool) {
	var next []hold
	for _, row := range rows {
		from, _ := row[0].(float64)
		to, _ := row[1].(float64)
		fence, _ := row[2].(float64)
		h := hold{
			from:  int(from),
			to:    int(to),
			fence: uint64(fence),
			until: until,
		}
		if !b.has(h) {
			b.world.judge.take(b, h)
		}
		next = append(next, h)
	}
	for _, old := range b.holds {
		switch {
		case slices.ContainsFunc(next, func(h hold) bool { return h.from <= old.from && old.to <= h.to }):
			continue
		case b.worksOn(old):
			next = append(next, old)
		default:
			b.freed = append(b.freed, [3]any{old.from, old.to, fmt.Sprintf("%s-%d", b.id, old.fence)})
		}
		releasing = true
	}
	b.holds = next
	return releasing
}

// has reports whether the server holds the whole span already; the lock is held.
func (b *backend) has(h hold) bool {
	return slices.ContainsFunc(b.holds, func(o hold) bool { return o.from <= h.from && h.to <= o.to })
}

// worksOn reports whether the server is at work on one of the keys; the lock is held.
func (b *backend) worksOn(h hold) bool {
	return slices.ContainsFunc(b.runs, func(r run) bool { return h.has(r.key) })
}

// holdOf returns the hold of a key that has not run out; the lock is held.
func (b *backend) holdOf(key int, now time.Time) (hold, bool) {
	for _, h := range b.holds {
		if h.has(key) && now.Before(h.until) {
			return h, true
		}
	}
	return hold{}, false
}

// isBusy reports whether the server is at work.
func (b *backend) isBusy() bool {
	busy := false
	b.with(func() { busy = len(b.runs) > 0 })
	return busy
}

// ServeHTTP answers a request of the node.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		b.serveHealth(w)
	case "/-/grant":
		b.serveGrant(w, r)
	case "/-/release":
		b.serveRelease(w, r)
	default:
		b.serveRequest(w, r)
	}
}

func (b *backend) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", b.id)
	b.with(func() {
		if b.leaving || b.silent {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// callBody is a call that grants keys or takes them back.
type callBody struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"holdMs"`
}

func (b *backend) serveGrant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var call callBody
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := hold{
		from:  call.From,
		to:    call.To,
		fence: call.Fence,
		until: arrived.Add(time.Duration(call.HoldMs) * time.Millisecond),
	}
	b.with(func() {
		for _, t := range b.world.judge.taken {
			if t.backend == b && t.overlaps(h) && t.fence > h.fence {
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
		if !b.has(h) {
			b.world.judge.take(b, h)
		}
		b.holds = append(slices.DeleteFunc(b.holds, h.overlaps), h)
	})
}

func (b *backend) serveRelease(w http.ResponseWriter, r *http.Request) {
	var call callBody
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	span := hold{
		from: call.From,
		to:   call.To,
	}
	b.with(func() { b.holds = slices.DeleteFunc(b.holds, span.overlaps) })
	for busy := true; busy; time.Sleep(5 * time.Millisecond) {
		b.with(func() { busy = b.worksOn(span) })
	}
	w.Header().Set("Handover", fmt.Sprintf("%s-%d", b.id, call.Fence))
}

// serveRequest works on a request for a key that the server holds.
func (b *backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	left, leftErr := strconv.Atoi(r.Header.Get("Time-Remaining-Ms"))
	key, keyErr := strconv.Atoi(r.Header.Get("Shard-Key"))
	if id == "" || leftErr != nil || keyErr != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != b.id || !b.begin(id, key, r.Method, left) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	work := usualWork
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	budget := time.Duration(left) * time.Millisecond
	select {
	case <-time.After(min(work, budget)):
	case <-b.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	b.with(func() { b.runs = slices.DeleteFunc(b.runs, func(o run) bool { return o.id == id }) })
	b.world.line("%s ends the work on %s", b.id, id)
	if work > budget {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	body := "done " + id + "\n"
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		body += strings.Repeat("x", max(0, n-len(body)))
	}
	w.Header().Set("Server-Seal", b.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	n, err := io.WriteString(w, body)
	b.world.line("%s has written %d bytes of the answer to %s, error %v", b.id, n, id, err)
}

// begin begins the work on a request, and reports false if the server doesn't hold the key.
func (b *backend) begin(id string, key int, method string, left int) (ok bool) {
	b.with(func() {
		var h hold
		if h, ok = b.holdOf(key, time.Now()); !ok {
			return
		}
		b.world.line("%s begins %s %s on key %d under epoch %d with %d ms left", b.id, method, id, key, h.fence, left)
		b.world.judge.begin(b, key)
		b.runs = append(b.runs, run{
			id:    id,
			key:   key,
			began: time.Now(),
		})
		if b.onBegin != nil {
			b.onBegin()
		}
	})
	return ok
}
