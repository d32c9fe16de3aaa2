package ibisrowstore

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// pathFaults switches faults, pathRewind brings the store back from an older copy, and pathCounts tells the calls so far;
// faults don't hit these calls.
const (
	pathRewind = "/standin/rewind"
	pathFaults = "/standin/faults"
	pathCounts = "/standin/counts"
)

// faultsBody is faults as the switch takes and shows them.
type faultsBody struct {
	Delay          string  `json:"delay,omitempty"`
	Stall          string  `json:"stall,omitempty"`
	Down           Down    `json:"down,omitempty"`
	Lost           float64 `json:"lost,omitempty"`
	Late           float64 `json:"late,omitempty"`
	LateBy         string  `json:"lateBy,omitempty"`
	CallsPerSecond float64 `json:"callsPerSecond,omitempty"`
	Count          int     `json:"count,omitempty"`
}

func (b faultsBody) faults() (Faults, error) {
	out := Faults{
		Down:           b.Down,
		Lost:           b.Lost,
		Late:           b.Late,
		CallsPerSecond: b.CallsPerSecond,
		Count:          b.Count,
	}
	for _, span := range []struct {
		name, text string
		to         *time.Duration
	}{{"delay", b.Delay, &out.Delay}, {"stall", b.Stall, &out.Stall}, {"lateBy", b.LateBy, &out.LateBy}} {
		if span.text == "" {
			continue
		}
		d, err := time.ParseDuration(span.text)
		if err != nil {
			return out, fmt.Errorf("%s %q: must be a duration such as \"200ms\"", span.name, span.text)
		}
		*span.to = d
	}
	return out, out.validate()
}

func bodyOf(f Faults) faultsBody {
	text := func(d time.Duration) string {
		if d == 0 {
			return ""
		}
		return d.String()
	}
	return faultsBody{
		Delay:          text(f.Delay),
		Stall:          text(f.Stall),
		Down:           f.Down,
		Lost:           f.Lost,
		Late:           f.Late,
		LateBy:         text(f.LateBy),
		CallsPerSecond: f.CallsPerSecond,
		Count:          f.Count,
	}
}

func (s *Server) switches(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathFaults, s.listFaults)
	mux.HandleFunc("POST "+pathFaults, s.addFaults)
	mux.HandleFunc("DELETE "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		s.Clear()
		s.listFaults(w, r)
	})
	mux.HandleFunc("POST "+pathRewind, s.rewind)
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Counts())
	})
}

// rewind brings the store back from a copy whose age the query gives.
func (s *Server) rewind(w http.ResponseWriter, r *http.Request) {
	age, err := time.ParseDuration(r.URL.Query().Get("age"))
	if err != nil || age <= 0 {
		http.Error(w, fmt.Sprintf("age %q: must be a duration above zero, such as \"3s\"", r.URL.Query().Get("age")), http.StatusBadRequest)
		return
	}
	answer(w, http.StatusOK, map[string]uint64{"era": s.store.Rewind(age)})
}

func (s *Server) addFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, err := body.faults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(faults)
	s.listFaults(w, r)
}

func (s *Server) listFaults(w http.ResponseWriter, _ *http.Request) {
	list := []faultsBody{}
	for _, f := range s.faults.list() {
		list = append(list, bodyOf(f))
	}
	answer(w, http.StatusOK, list)
}
