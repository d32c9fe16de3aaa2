package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// burstRequests is the number of requests that a client sends at once, and burstField the length of a field in the head of each.
	burstRequests = 8
	burstField    = 4000
	burstClients  = 4
	// burstBytes is the length of an answer.
	burstBytes = 5000
	burstTime  = 30 * time.Second
	// burstPause is the time between the last answer to a burst and the next burst.
	burstPause  = 100 * time.Millisecond
	burstBudget = 4 * time.Second
	// allowedDenied and requestsPerDenied bound the requests that may be denied: the first, and one in so many of all.
	allowedDenied     = 5
	requestsPerDenied = 500
)

// burst has clients that pipeline a few requests at once on a kept connection, each with a head that is well within the limit.
func burst(w *world) error {
	if err := w.startArchive(burstBytes); err != nil {
		return err
	}
	var group sync.WaitGroup
	clients := make([]*burster, burstClients)
	for i := range clients {
		clients[i] = &burster{
			world: w,
			name:  fmt.Sprintf("client-%d", i),
			at:    w.instances[0].callers,
			depth: burstRequests,
		}
		if !w.trouble {
			clients[i].depth = 1
		}
		group.Go(clients[i].run)
	}
	group.Wait()
	sent, complete, denied, lost := 0, 0, 0, 0
	for _, c := range clients {
		sent, complete, denied, lost = sent+c.sent, complete+c.complete, denied+c.denied, lost+c.lost
	}
	w.record.add("%d requests, %d complete answers, %d denied, %d passed on and left without an answer", sent, complete, denied, lost)
	if complete == 0 {
		return fmt.Errorf("no request got an answer")
	}
	if denied*requestsPerDenied > allowedDenied*requestsPerDenied+sent {
		w.record.violation("DENIED: %d of %d proper requests were ended with a 4xx of the relay", denied, sent)
	}
	if lost > allowedCuts {
		w.record.violation("LOST: %d requests of kept connections were passed on to sound backends, and their connections were closed without an answer", lost)
	}
	return nil
}

// burster is a client that pipelines bursts of requests on one connection.
type burster struct {
	world                        *world
	name                         string
	at                           string
	depth                        int
	sent, complete, denied, lost int
}

// run sends bursts on one connection after the other.
func (b *burster) run() {
	for end := time.Now().Add(burstTime); time.Now().Before(end); {
		conn, err := net.Dial("tcp4", b.at)
		if err != nil {
			time.Sleep(burstPause)
			continue
		}
		reader := bufio.NewReader(conn)
		for kept := true; kept && time.Now().Before(end); {
			kept = b.send(conn, reader)
			time.Sleep(burstPause)
		}
		_ = conn.Close()
	}
}

// send sends a burst and reads the answers; it reports whether the connection is kept.
func (b *burster) send(conn net.Conn, reader *bufio.Reader) bool {
	field := strings.Repeat("f", burstField)
	var text strings.Builder
	var ids []string
	for range b.depth {
		b.sent++
		id := fmt.Sprintf("%s-%d", b.name, b.sent)
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /pull/%s HTTP/1.1\r\nHost: archive.example\r\nAttempt-Id: %s\r\nTime-Remaining-Ms: %d\r\nCookie: %s\r\n\r\n",
			id, id, burstBudget.Milliseconds(), field)
	}
	sentAt := time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return false
	}
	for i, id := range ids {
		_ = conn.SetReadDeadline(sentAt.Add(burstBudget))
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			b.lose(ids[i:], err)
			return false
		}
		b.world.record.add("%s is answered %d, for %q", id, response.StatusCode, response.Header.Get("Attempt-Id"))
		switch {
		case response.StatusCode == http.StatusOK:
			b.complete++
		case response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTooManyRequests:
			b.denied++
		}
		if response.Close {
			b.lose(ids[i:], fmt.Errorf("%d closes the connection", response.StatusCode))
			return false
		}
	}
	return true
}

// lose counts the requests of a connection that has ended which were passed on: the first one may have an answer of the relay.
func (b *burster) lose(ids []string, err error) {
	// A request that has been passed on may reach the backend server after the end of the connection.
	time.Sleep(burstPause)
	b.world.book.mu.Lock()
	defer b.world.book.mu.Unlock()
	ran := 0
	for _, id := range ids {
		if b.world.book.runs[id] > 0 {
			ran++
		}
	}
	b.lost += ran
	b.world.record.add("%s: %d requests have no answer of a backend server, %d of them were run: %v", ids[0], len(ids), ran, err)
}
