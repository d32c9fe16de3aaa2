package probe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

// watchedKey is the key of the requests that the cases send.
const watchedKey = 1000

// signalled returns a function that signals once, and the channel on which it does.
func signalled() (func(), <-chan struct{}) {
	c := make(chan struct{}, 1)
	return func() {
		select {
		case c <- struct{}{}:
		default:
		}
	}, c
}

// leavingHolder plays a backend server that deregisters, serves for drainMs, closes its port and finishes what it works on, with a
// request whose caller has given up.
func leavingHolder(w *world) error {
	if err := w.start(byHeartbeat); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	a, entry, err := w.holderAndEntry(watchedKey)
	if err != nil {
		return err
	}
	signal, began := signalled()
	a.with(func() { a.onBegin = signal })
	first := request{
		id:     "first",
		path:   "/pufi791/1?work=4900",
		key:    watchedKey,
		budget: 5 * time.Second,
	}
	if w.trouble {
		first.giveUp = time.Second
	}
	sent := make(chan struct{})
	go func() {
		w.post(entry, first)
		close(sent)
	}()
	<-began
	time.Sleep(300 * time.Millisecond)
	w.line("%s leaves; its DELETE is acknowledged: %t", a.id, a.deregister())
	time.Sleep(2600 * time.Millisecond)
	w.line("%s closes its port and finishes what it works on", a.id)
	a.closePort()
	for i := 0; a.isBusy(); i++ {
		if b := w.judge.holder(watchedKey); i%5 == 0 && b != nil && b != a {
			w.post(entry, request{
				id:     fmt.Sprintf("later-%d", i),
				path:   "/pufi791/2",
				key:    watchedKey,
				budget: time.Second,
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-sent
	w.line("%s exits", a.id)
	a.crash()
	return nil
}

// latePing plays a backend server that crashes and starts again while pings are late: the last ping of the old boot arrives before the
// first one of the new boot.
func latePing(w *world) error {
	const late = 2 * time.Second
	if err := w.start(byCall); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	a, n := w.backends[1], w.nodes[1]
	signal, acked := signalled()
	a.with(func() {
		a.onAck = func() {
			if w.trouble {
				a.lateBy = late
			}
			signal()
		}
	})
	<-acked
	time.Sleep(w.heartbeat + 60*time.Millisecond)
	w.line("%s (born %d) crashes", a.id, a.born)
	a.crash()
	time.Sleep(300 * time.Millisecond)
	b, err := w.newBackend(n, "i-2b", byCall)
	if err != nil {
		return err
	}
	w.line("%s (born %d) starts at the address of %s", b.id, b.born, a.id)
	if w.trouble {
		b.lateBy = late
	}
	b.serve()
	time.Sleep(2 * late)
	b.with(func() { b.lateBy = 0 })
	time.Sleep(2 * late)
	return nil
}

// foreignPing plays a ping of another writer that names no backend server to use: it lacks fields, and its service is in no
// configuration.
func foreignPing(w *world) error {
	if err := w.start(byHeartbeat); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	a, entry, err := w.holderAndEntry(watchedKey)
	if err != nil {
		return err
	}
	signal, began := signalled()
	a.with(func() { a.onBegin = signal })
	sent := make(chan struct{})
	go func() {
		w.post(entry, request{
			id:     "first",
			path:   "/pufi791/1?work=2400",
			key:    watchedKey,
			budget: 4 * time.Second,
		})
		close(sent)
	}()
	<-began
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		other := &backend{
			id:      "qx07-1",
			control: a.control,
		}
		body := map[string]any{
			"address": a.address,
			"born":    time.Now().UnixMilli(),
			"info":    map[string]any{"service": "qx07", "slots": 12},
			"status":  map[string]any{"state": "draining", "seq": 1},
		}
		err := other.tell(context.Background(), http.MethodPut, body, nil)
		w.line("a ping of another writer, %s, for the address of %s: %v, error %v", other.id, a.id, body, err)
	}
	for i := range 6 {
		time.Sleep(600 * time.Millisecond)
		w.post(entry, request{
			id:     fmt.Sprintf("later-%d", i),
			path:   "/pufi791/2",
			key:    watchedKey,
			budget: time.Second,
		})
	}
	<-sent
	return nil
}

// drill plays a store that comes back from a copy of before the keys were divided, and the kill of the node beside the backend server
// that holds them.
func drill(w *world) error {
	const (
		added       = 4
		addInterval = 300 * time.Millisecond
		away        = 300 * time.Millisecond
	)
	w.heartbeat = 1500 * time.Millisecond
	w.configure(byHeartbeat)
	if err := w.addInstance(byHeartbeat); err != nil {
		return err
	}
	if err := w.awaitWhole(); err != nil {
		return err
	}
	divided := time.Now()
	for range added {
		time.Sleep(addInterval)
		if err := w.addInstance(byHeartbeat); err != nil {
			return err
		}
	}
	time.Sleep(addInterval)
	n, holder := w.nodes[0], w.backends[0]
	if w.trouble {
		w.line("the store is away")
		w.faults.Inject(ibisrowstore.Faults{
			Down: ibisrowstore.DownBusy,
		})
		time.Sleep(away)
		age := time.Since(divided) + 2*time.Second
		w.line("the store comes back from a copy that is %d ms old, Store-Era %d", age.Milliseconds(), w.store.Rewind(age))
		w.faults.Clear()
		signal, acked := signalled()
		holder.with(func() { holder.onAck = signal })
		<-acked
		time.Sleep(20 * time.Millisecond)
		w.line("%s is killed", n.name)
		n.kill()
		time.Sleep(300 * time.Millisecond)
		if err := n.start(); err != nil {
			return err
		}
		w.line("%s is started again", n.name)
	}
	time.Sleep(12 * time.Second)
	return nil
}

// exportBytes is the length of the answer to a download.
const exportBytes = 16 << 20

// slowReader plays a planned stop of a node while a caller reads a long answer slowly.
func slowReader(w *world) error {
	const budget = 5 * time.Second
	if err := w.start(byHeartbeat); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	n, span := w.nodes[0], 300*time.Millisecond
	if w.trouble {
		span = 4900 * time.Millisecond
	}
	w.line("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(2 * time.Second)
	if cut := w.download(n, span, budget); cut != nil {
		w.breaks("LOST: %v, %d ms after the SIGTERM to the node that took the request", cut, time.Since(stopped).Milliseconds())
	}
	return nil
}

// download requests a long answer and reads it evenly over the span; it fails if the channel ends before the answer does.
func (w *world) download(n *node, span, budget time.Duration) error {
	conn, err := net.Dial("tcp4", n.callers)
	if err != nil {
		w.line("no channel: %v", err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	sent := time.Now()
	_, err = fmt.Fprintf(conn, "GET /pule252/1?bytes=%d HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: export\r\nTime-Remaining-Ms: %d\r\nShard-Key: %d\r\n\r\n",
		exportBytes, budget.Milliseconds(), watchedKey)
	w.line("GET /pule252/ id export sent to %s, time budget %s, to be read over %s, error %v", n.name, budget, span, err)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16<<10), nil)
	if err != nil {
		return fmt.Errorf("the channel ends without an answer: %w", err)
	}
	w.line("export is answered %d, Content-Length %d", response.StatusCode, response.ContentLength)
	const piece = 64 << 10
	for read := int64(0); ; {
		n, err := io.CopyN(io.Discard, response.Body, piece)
		read += n
		if err == io.EOF {
			w.line("export: all %d bytes are read", read)
			return nil
		}
		if err != nil {
			return fmt.Errorf("the channel ends after %d of %d bytes, %d ms after the request was sent: %w", read, response.ContentLength, time.Since(sent).Milliseconds(), err)
		}
		time.Sleep(time.Until(sent.Add(time.Duration(float64(span) * float64(read) / exportBytes))))
	}
}
