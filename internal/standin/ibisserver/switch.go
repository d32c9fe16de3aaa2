package ibisserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	maxSwitchBytes = 16 << 10
	drainTimeout   = 30 * time.Second
)

type straggleBody struct {
	For    string  `json:"for"`
	Factor float64 `json:"factor"`
}

// addSwitches adds the endpoints by which tests and operators make the stand-in misbehave.
func (s *Server) addSwitches(mux *http.ServeMux) {
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	mux.HandleFunc("POST /standin/faults", s.switchFaults)
	mux.HandleFunc("POST /standin/straggle", s.switchStraggle)
	mux.HandleFunc("POST /standin/cold", plainSwitch(s.TurnCold))
	mux.HandleFunc("POST /standin/freeze", plainSwitch(s.Freeze))
	mux.HandleFunc("POST /standin/thaw", plainSwitch(s.Thaw))
	mux.HandleFunc("POST /standin/drain", s.switchDrain)
}

func plainSwitch(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) switchFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := decodeStrict(w, r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) switchStraggle(w http.ResponseWriter, r *http.Request) {
	var body straggleBody
	if err := decodeStrict(w, r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(body.For)
	if err != nil || d <= 0 || body.Factor < 1 {
		http.Error(w, fmt.Sprintf("for: %q must be a duration above 0; factor: %v must be 1 or more", body.For, body.Factor),
			http.StatusBadRequest)
		return
	}
	s.Straggle(d, body.Factor)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) switchDrain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decodeStrict(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}
