package ibisscenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

const sendUsage = "send METHOD PATH to=NODE [token=TOKEN] [key=IDEMPOTENCYKEY] [deadline=SPAN] [body=TEXT] [as=ID]"

// sent is how a request ended for its caller.
type sent struct {
	status  int
	header  http.Header
	body    string
	outcome ibisid.Outcome
	took    time.Duration
	err     error
}

// server returns the name of the backend server that answered.
func (s *sent) server() string {
	var body struct {
		Server string `json:"server"`
	}
	_ = json.Unmarshal([]byte(s.body), &body)
	return body.Server
}

// sendCommand sends a request and keeps its answer for expect; with as=ID it does not wait, and await ID does.
func (w *world) sendCommand(_ *testscript.TestScript, args []string) error {
	in := parseWords(args, "to", "token", "key", "deadline", "body", "as")
	request, err := w.request(in)
	if err != nil {
		return err
	}
	id, background := in.options["as"]
	if !background {
		w.last = w.do(request)
		return nil
	}
	done := make(chan *sent, 1)
	w.pending[id] = done
	go func() { done <- w.do(request) }()
	return nil
}

// awaitCommand waits for a request that was sent with as=ID.
func (w *world) awaitCommand(_ *testscript.TestScript, args []string) error {
	done, ok := w.pending[args[0]]
	if !ok {
		return fmt.Errorf("nothing was sent as %q", args[0])
	}
	delete(w.pending, args[0])
	w.last = <-done
	return nil
}

func (w *world) request(in words) (*http.Request, error) {
	if len(in.plain) != 2 {
		return nil, errors.New("usage: " + sendUsage)
	}
	name, err := in.need("to")
	if err != nil {
		return nil, err
	}
	n, err := w.node(name)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(in.plain[0], "http://"+n.at(callerPort)+in.plain[1], strings.NewReader(in.or("body", "")))
	if err != nil {
		return nil, err
	}
	if word, ok := in.options["key"]; ok {
		key, err := w.key(word)
		if err != nil {
			return nil, err
		}
		request.Header.Set(ibiscaller.HeaderIdempotencyKey, key)
	}
	if span, ok := in.options["deadline"]; ok {
		request.Header.Set(ibiscaller.HeaderDeadline, span)
	}
	if token, ok := in.options["token"]; ok {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	return request, nil
}

func (w *world) do(request *http.Request) *sent {
	start := time.Now()
	s := &sent{
		outcome: ibisid.OutcomeUnknown,
	}
	response, err := w.client.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.took = time.Since(start)
	s.status = response.StatusCode
	s.header = response.Header
	s.body = string(body)
	s.err = err
	s.outcome = ibisid.Outcome(response.Header.Get(ibiscaller.HeaderOutcome))
	if s.outcome == "" {
		s.outcome = ibisid.OutcomeDone
	}
	return s
}
