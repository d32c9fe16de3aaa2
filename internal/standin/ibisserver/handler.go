package ibisserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

// Handler returns the server's HTTP interface: any path is answered, and the switches are under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET "+ibisbackend.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+ibisbackend.PathHealth, s.serveHealth)
	s.addSwitches(mux)
	return mux
}

// serve runs one request: it waits for a slot, checks grant and deadline right before the run, and answers.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.waitThawed()
	if s.take(&s.faults.DropBefore) {
		panic(http.ErrAbortHandler)
	}
	deadline, err := ibisbackend.ParseDeadline(r.Header)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx := r.Context()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	shed, err := s.acquire(ctx)
	if err != nil {
		s.addCount(&s.counts.Expired)
		refuse(w, http.StatusGatewayTimeout, "deadline passed in the queue")
		return
	}
	if shed {
		refuse(w, http.StatusServiceUnavailable, "too many requests wait")
		return
	}
	defer s.release()
	s.waitThawed()
	if ctx.Err() != nil {
		s.addCount(&s.counts.Expired)
		refuse(w, http.StatusGatewayTimeout, "deadline passed")
		return
	}
	if err := s.checkGrant(r.Header); err != nil {
		s.addCount(&s.counts.Fenced)
		refuse(w, http.StatusConflict, err.Error())
		return
	}
	s.execute(w, r.WithContext(ctx))
}

// execute runs a request that nothing speaks against any more.
func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	key := keyOf(r)
	runs := s.countRun(key, r.Header.Get(ibisbackend.HeaderIdempotencyKey))
	digest, size, err := readBody(r.Body)
	if err == nil {
		err = s.pause(r.Context(), s.serviceTime())
	}
	if err != nil {
		s.addCount(&s.counts.Cancelled)
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	s.waitThawed()
	if s.take(&s.faults.DropAfter) {
		panic(http.ErrAbortHandler)
	}
	if s.take(&s.faults.Fail) {
		http.Error(w, "failed on demand", http.StatusInternalServerError)
		return
	}
	s.answer(w, r, runBody{
		Server:         s.config.Name,
		Service:        string(s.config.Service),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Key:            key,
		IdempotencyKey: r.Header.Get(ibisbackend.HeaderIdempotencyKey),
		Runs:           runs,
		BodyBytes:      size,
		BodySHA256:     digest,
	})
}

func keyOf(r *http.Request) string {
	if key, err := url.PathUnescape(r.Header.Get(ibisbackend.HeaderKey)); err == nil && key != "" {
		return key
	}
	return r.URL.Path
}

func readBody(body io.Reader) (string, int64, error) {
	digest := sha256.New()
	size, err := io.Copy(digest, body)
	return hex.EncodeToString(digest.Sum(nil)), size, err
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(ibisbackend.HeaderNotRun, "true")
	http.Error(w, reason, status)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.waitThawed()
	s.mu.Lock()
	now := s.config.Timer.Now()
	load := s.load()
	if s.faults.StaleLoad {
		load = s.reported
		load.SampledAt = now
	}
	s.mu.Unlock()
	ibisbackend.WriteLoad(w, load, now)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.waitThawed()
	s.mu.Lock()
	healthy := s.state == ibisbackend.StateServing
	if s.faults.FalseHealth {
		healthy = !healthy
	}
	s.mu.Unlock()
	if !healthy {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "healthy\n")
}
