package trial

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sending is a request that a client sent, with how it ended.
type sending struct {
	id     string
	sentAt time.Time
	// leftAt is when the client closed its channel without waiting further, zero if it did not.
	leftAt time.Time
	status int
	err    error
}

// client sends requests to the outbound address of a node, each on a channel of its own.
type client struct {
	world *world
	node  *node
	http  *http.Client

	mu   sync.Mutex
	sent []*sending
	wait sync.WaitGroup
}

func (w *world) newClient(n *node) *client {
	return &client{
		world: w,
		node:  n,
		http:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

func newID() string {
	var text [8]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}

// request is what a client sends; it leaves after leaveAfter, if that is set.
type request struct {
	method, host, path string
	body               string
	budget, leaveAfter time.Duration
}

// send sends a request in the background.
func (c *client) send(r request) *sending {
	s := &sending{id: newID(), sentAt: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.exchange(r, s)
	}()
	return s
}

func (c *client) exchange(r request, s *sending) {
	limit := r.budget
	if r.leaveAfter > 0 {
		limit = r.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.node.outbound+r.path, strings.NewReader(r.body))
	if err != nil {
		s.err = err
		return
	}
	if r.body == "" {
		out.Body, out.ContentLength = nil, 0
	}
	out.Host = r.host
	out.Header.Set("Attempt-Id", s.id)
	out.Header.Set("Time-Remaining-Ms", strconv.FormatInt(r.budget.Milliseconds(), 10))
	response, err := c.http.Do(out)
	if err == nil {
		s.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.err = err
	if errors.Is(err, context.DeadlineExceeded) {
		s.leftAt = time.Now()
		c.world.note("client at %s leaves without an answer to %s %s", c.node.name, r.method, s.id)
		return
	}
	c.world.note("client at %s: %s %s answered %d, %v", c.node.name, r.method, s.id, s.status, err)
}

// counts returns how the requests ended, by status; 0 is without an answer.
func (c *client) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int)
	for _, s := range c.sent {
		out[s.status]++
	}
	return out
}
