package ibissoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
)

const (
	callerPatience = 2 * time.Second
	callerPause    = 20 * time.Millisecond
	// finalSlack is how long past its patience a caller waits for a final answer.
	finalSlack = time.Second
	// pipelineShare is how often a caller pipelines requests after one, and maxPipelined how many at most.
	pipelineShare = 0.1
	maxPipelined  = 10
)

// tally counts how callers' requests ended.
type tally struct {
	mu      sync.Mutex
	asked   int
	served  int
	refused int
	failed  int
	broken  int
	// causes counts broken connections by what the caller saw.
	causes map[string]int
}

// add counts one request; a mark of false counts nothing further.
func (t *tally) add(status int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	switch {
	case err != nil:
		t.broken++
		if t.causes == nil {
			t.causes = make(map[string]int)
		}
		t.causes[causeOf(err)]++
	case status == http.StatusOK:
		t.served++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.refused++
	default:
		t.failed++
	}
}

// causeOf names an error without the addresses in it.
func causeOf(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, context.Canceled):
		return "end of the soak"
	case errors.As(err, &op):
		return op.Op + ": " + op.Err.Error()
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return "other"
}

// share returns the share of requests that were served, and how many were asked.
func (t *tally) share() (float64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(1, t.asked)), t.asked
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("asked %d, served %d, refused %d, failed %d, broken off %d %v", t.asked, t.served, t.refused, t.failed, t.broken, t.causes)
}

// caller sends requests to one instance over kept connections, one after the other.
type caller struct {
	soak   *soak
	node   *node
	index  int
	random *rand.Rand
	// keyRandom draws keys and pipelineRandom what is pipelined, apart from random so that a seed draws the other requests as before.
	keyRandom, pipelineRandom *rand.Rand
	client                    *http.Client
}

func newCaller(s *soak, n *node, index int) *caller {
	return &caller{
		soak:   s,
		node:   n,
		index:  index,
		random: rand.New(rand.NewPCG(s.config.Seed, uint64(index)+100)),

		keyRandom:      rand.New(rand.NewPCG(s.config.Seed, uint64(index)+10_000)),
		pipelineRandom: rand.New(rand.NewPCG(s.config.Seed, uint64(index)+20_000)),
		client: &http.Client{
			Transport: &http.Transport{
				DisableCompression: true,
			},
		},
	}
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.ask(ctx, fmt.Sprintf("c%d-%d", c.index, i))
		if c.pipelineRandom.Float64() < pipelineShare {
			c.pipeline(ctx, fmt.Sprintf("c%d-%d-p", c.index, i))
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

// ask sends one request and checks its answer.
func (c *caller) ask(ctx context.Context, id string) {
	method, path, sent := http.MethodGet, "/look/", []byte(nil)
	if c.random.Float64() < 0.4 {
		method, path, sent = http.MethodPost, "/order/", bytes.Repeat([]byte("o"), c.random.IntN(4000)+1)
	}
	if c.random.Float64() < 0.5 {
		path = "/key" + path
	}
	limit, cancel := context.WithTimeout(ctx, callerPatience+finalSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, method, "http://"+c.node.address(portCallers)+path+"x", bytes.NewReader(sent))
	if err != nil {
		c.soak.ledger.Report("request can't be built: %v", err)
		return
	}
	request.GetBody = nil
	request.Host = "soak.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Shard-Key", strconv.Itoa(c.random.IntN(1<<16)))
	request.Header.Set("Time-Remaining-Ms", strconv.FormatInt(callerPatience.Milliseconds(), 10))
	used := c.soak.accounts.draw(c.keyRandom)
	used.set(request)
	began := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.soak.tally().add(0, err)
		time.Sleep(callerPause)
		c.overdue(ctx, id, began, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if used.kind <= keyCurrent || response.StatusCode != http.StatusUnauthorized {
		c.soak.tally().add(response.StatusCode, err)
	}
	if err == nil {
		c.checkAccount(id, response, used, began)
		c.check(id, response, body, len(sent))
	}
}

// pipeline sends several requests on one connection before it reads the first answer, and checks the answers.
func (c *caller) pipeline(ctx context.Context, id string) {
	dialer := net.Dialer{
		Timeout: callerPatience,
	}
	conn, err := dialer.DialContext(ctx, "tcp4", c.node.address(portCallers))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerPatience + finalSlack))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var text bytes.Buffer
	sent := make([]int, 2+c.pipelineRandom.IntN(maxPipelined-1))
	used := make([]usedKey, len(sent))
	began := time.Now()
	idOf := func(i int) string { return fmt.Sprintf("%s%d", id, i) }
	for i := range sent {
		method, path, length := http.MethodGet, "/look/", ""
		if c.pipelineRandom.Float64() < 0.15 {
			sent[i] = c.pipelineRandom.IntN(4000) + 1
			method, path, length = http.MethodPost, "/order/", fmt.Sprintf("Content-Length: %d\r\n", sent[i])
		}
		if c.pipelineRandom.Float64() < 0.5 {
			path = "/key" + path
		}
		used[i] = c.soak.accounts.draw(c.pipelineRandom)
		authorization := ""
		if used[i].key != "" {
			authorization = "Authorization: Bearer " + used[i].key + "\r\n"
		}
		fmt.Fprintf(&text, "%s %sx HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\nShard-Key: %d\r\nTime-Remaining-Ms: %d\r\n%s%s\r\n%s",
			method, path, idOf(i), c.pipelineRandom.IntN(1<<16), callerPatience.Milliseconds(), authorization, length, bytes.Repeat([]byte("o"), sent[i]))
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		c.soak.tally().add(0, err)
		return
	}
	reader := bufio.NewReader(conn)
	for i := range sent {
		response, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			c.soak.tally().add(0, err)
			return
		}
		c.soak.tally().add(response.StatusCode, nil)
		c.checkAccount(idOf(i), response, used[i], began)
		c.check(idOf(i), response, body, sent[i])
		if !response.Close {
			continue
		}
		for later := i + 1; later < len(sent); later++ {
			if c.soak.ledger.Runs(idOf(later)) > 0 {
				c.soak.ledger.Report("request %s ran, though the answer to %s had announced the end of their connection", idOf(later), idOf(i))
			}
		}
		return
	}
}

// overdue reports a request that got no final answer though nothing held its node up.
func (c *caller) overdue(ctx context.Context, id string, began time.Time, err error) {
	if !c.soak.config.PromisesOnly && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) && !c.soak.disturbed(c.node, began) {
		c.soak.ledger.Report("request %s at %s has no final answer after %s", id, c.node.name, time.Since(began))
	}
}

// check looks whether an answer is this request's own and whole, and whether a refusal is true.
func (c *caller) check(id string, r *http.Response, body []byte, sent int) {
	ledger := c.soak.ledger
	if got := r.Header.Get("Attempt-Id"); got != id && got != "" {
		ledger.Report("request %s got the answer to %s", id, got)
	}
	switch r.StatusCode {
	case http.StatusOK:
		seal := r.Header.Get("Server-Seal")
		server, _, _ := strings.Cut(seal, ".")
		if seal != ibisapp.Seal(server, id, len(body)) || !bytes.Equal(body, ibisapp.Body(id, bodyBytes)) {
			ledger.Report("request %s got a success that is not the backend server's whole answer (seal %q, %d bytes)", id, seal, len(body))
		}
		if r.Header.Get("Received") != strconv.Itoa(sent) {
			ledger.Report("request %s had a body of %d bytes, the backend server got %s", id, sent, r.Header.Get("Received"))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		ledger.Refused(id)
		if r.Header.Get("Retry-After") == "" {
			ledger.Report("request %s was refused without a time to come back", id)
		}
	case http.StatusUnauthorized:
		if c.soak.accounts == nil {
			ledger.Report("request %s got %d without accounts", id, r.StatusCode)
		}
	case http.StatusNotFound, http.StatusForbidden, http.StatusBadRequest:
		ledger.Report("request %s got %d though it is proper", id, r.StatusCode)
	}
}
