package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ackTimeout is how long a backend server waits for the answer to a heartbeat.
const ackTimeout = time.Second

// poisonPath begins the paths of requests that crash servers.
const poisonPath = "/poison/"

// arrival is a request that reached a backend server.
type arrival struct {
	at  time.Time
	id  string
	run bool
}

// backend is a backend server as the users' pages describe it.
type backend struct {
	world   *world
	id      string
	service string
	node    *node
	slots   int
	queue   int
	work    time.Duration
	born    int64

	// heartbeatDelay returns how much later than sent a heartbeat arrives; nil for no delay.
	heartbeatDelay func(seq int) time.Duration
	// maxPerSecond is the number of arrivals in a second above which the server crashes while it is cold; zero for none.
	maxPerSecond int
	// crashes means that a request below poisonPath crashes the server, crashesEarly that it does so before its answer begins.
	crashes, crashesEarly bool

	server  *http.Server
	slot    chan struct{}
	done    context.Context
	end     context.CancelFunc
	up      atomic.Bool
	running atomic.Int32

	mu        sync.Mutex
	waiting   int
	seq       int
	coldUntil time.Time
	arrivals  []arrival
	crashedAt []time.Time
	// coldAcks are the times at which heartbeats that said that the server is cold were acknowledged.
	coldAcks []time.Time
}

func (w *world) startBackend(b *backend) error {
	listener, err := net.Listen("tcp4", b.node.app)
	if err != nil {
		return err
	}
	b.world = w
	b.born = time.Now().UnixMilli()
	b.slot = make(chan struct{}, b.slots)
	b.done, b.end = context.WithCancel(context.Background())
	b.up.Store(true)
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	go b.heartbeats()
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	w.note("backend server %s of %s starts beside %s", b.id, b.service, b.node.name)
	return nil
}

// crash ends the server at once.
func (b *backend) crash() {
	if !b.up.Swap(false) {
		return
	}
	b.end()
	_ = b.server.Close()
}

func (b *backend) turnCold(d time.Duration) {
	b.mu.Lock()
	b.coldUntil = time.Now().Add(d)
	b.mu.Unlock()
	b.world.note("%s turns cold for %s", b.id, d)
}

// coldLeft returns how much longer the server is cold; b.mu is held.
func (b *backend) coldLeft() time.Duration { return max(0, time.Until(b.coldUntil)) }

func (b *backend) heartbeats() {
	for b.done.Err() == nil {
		b.beat()
		select {
		case <-time.After(heartbeatInterval):
		case <-b.done.Done():
		}
	}
}

// beat sends one heartbeat; one that is delayed on its way is sent by itself, and its answer counts for nothing.
func (b *backend) beat() {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	cold := b.coldLeft()
	text, err := json.Marshal(map[string]any{
		"address": b.node.app, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.node.zone, "slots": b.slots},
		"status": map[string]any{"state": "in_service", "seq": seq, "coldLeftMs": cold.Milliseconds()},
		"holds":  []any{}, "freed": []any{},
	})
	b.mu.Unlock()
	if err != nil {
		panic(err)
	}
	if b.heartbeatDelay != nil {
		if late := b.heartbeatDelay(seq); late > 0 {
			b.world.note("%s sends heartbeat %d (cold for %d ms), which is %s on its way", b.id, seq, cold.Milliseconds(), late)
			go func() {
				time.Sleep(late)
				err := b.put(text)
				b.world.note("heartbeat %d of %s has arrived late: %v", seq, b.id, err)
			}()
			return
		}
	}
	sent := time.Now()
	err = b.put(text)
	acked := err == nil && time.Since(sent) <= ackTimeout
	if cold > 0 || !acked {
		b.world.note("%s sends heartbeat %d (cold for %d ms), acknowledged: %v", b.id, seq, cold.Milliseconds(), acked)
	}
	if cold > 0 && acked {
		b.mu.Lock()
		b.coldAcks = append(b.coldAcks, time.Now())
		b.mu.Unlock()
	}
}

// put sends the body of a heartbeat.
func (b *backend) put(text []byte) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+b.node.control+"/-/instances/"+b.id, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// load returns the value of Server-Load.
func (b *backend) load() string {
	b.mu.Lock()
	waiting := b.waiting
	b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", b.running.Load(), waiting, b.slots)
}

// ServeHTTP runs a request, or says that it doesn't.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		b.health(w)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("Time-Remaining-Ms"))
	if err != nil || id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	index := b.arrive(id)
	if !b.takeSlot(r.Context(), time.Now().Add(time.Duration(left)*time.Millisecond)) {
		w.Header().Set("Server-Load", b.load())
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slot }()
	b.running.Add(1)
	defer b.running.Add(-1)
	b.mu.Lock()
	b.arrivals[index].run = true
	b.mu.Unlock()
	b.world.note("%s runs %s", b.id, id)
	if b.crashes && strings.HasPrefix(r.URL.Path, poisonPath) {
		b.runToCrash(w, id)
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-b.done.Done():
		panic(http.ErrAbortHandler)
	}
	body := "done " + id + "\n"
	w.Header().Set("Server-Seal", b.id+"."+id)
	w.Header().Set("Server-Load", b.load())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (b *backend) health(w http.ResponseWriter) {
	b.mu.Lock()
	cold := b.coldLeft()
	b.mu.Unlock()
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Server-Load", b.load())
	if cold > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
}

// runToCrash sends the head and a part of the body of the answer, and crashes.
func (b *backend) runToCrash(w http.ResponseWriter, id string) {
	time.Sleep(b.work)
	if !b.crashesEarly {
		w.Header().Set("Server-Seal", b.id+"."+id)
		w.Header().Set("Content-Length", "8000")
		_, _ = io.WriteString(w, strings.Repeat("p", 4000))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	b.mu.Lock()
	b.crashedAt = append(b.crashedAt, time.Now())
	b.mu.Unlock()
	b.world.note("%s crashes under %s", b.id, id)
	b.crash()
	panic(http.ErrAbortHandler)
}

// arrive records a request that reached the server, and returns its index.
func (b *backend) arrive(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.arrivals = append(b.arrivals, arrival{at: now, id: id})
	if b.maxPerSecond > 0 && b.coldLeft() > 0 && len(b.coldAcks) > 0 {
		recent := 0
		for i := len(b.arrivals) - 1; i >= 0 && now.Sub(b.arrivals[i].at) < time.Second; i-- {
			recent++
		}
		if recent > b.maxPerSecond {
			b.world.note("%s gets %d requests in a second while it is cold, and crashes", b.id, recent)
			go b.crash()
		}
	}
	return len(b.arrivals) - 1
}

// takeSlot waits for a slot; it reports false if the queue is full, the time is up or the caller has left.
func (b *backend) takeSlot(ctx context.Context, deadline time.Time) bool {
	b.mu.Lock()
	if b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case b.slot <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
