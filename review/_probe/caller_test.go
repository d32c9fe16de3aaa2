package probe

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// errGaveUp means that the caller closed its channel before its time budget had passed.
var errGaveUp = errors.New("the caller gives up")

// request is a caller's request.
type request struct {
	id     string
	path   string
	key    int
	budget time.Duration
	// giveUp is after which time the caller closes its channel, zero for its time budget.
	giveUp time.Duration
}

// post sends a request that may run once to a node, on a channel of its own, and records the answer.
func (w *world) post(n *node, r request) {
	wait := r.budget
	if r.giveUp > 0 {
		wait = r.giveUp
	}
	ctx, cancel := context.WithTimeoutCause(context.Background(), wait, errGaveUp)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+r.path, nil)
	if err != nil {
		panic(err)
	}
	out.Host = "ficu95.example"
	out.Header.Set("Attempt-Id", r.id)
	out.Header.Set("Time-Remaining-Ms", strconv.FormatInt(r.budget.Milliseconds(), 10))
	out.Header.Set("Shard-Key", strconv.Itoa(r.key))
	w.line("POST %s id %s key %d sent to %s, time budget %s", r.path, r.id, r.key, n.name, r.budget)
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(out)
	if err != nil {
		w.line("%s ends without an answer after at most %s: %v", r.id, wait, context.Cause(ctx))
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	w.line("%s is answered %d %q, Server-Seal %q, error %v", r.id, response.StatusCode, body, response.Header.Get("Server-Seal"), err)
}
