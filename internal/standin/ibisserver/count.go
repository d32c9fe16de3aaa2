package ibisserver

import "maps"

// Counts is what a stand-in backend server did since it was made.
type Counts struct {
	// Runs counts the requests that ran.
	Runs int `json:"runs"`
	// ByKey counts the requests that ran, by canonical key, or by path where a request has no key.
	ByKey map[string]int `json:"byKey"`
	// ByIdempotencyKey counts the requests that ran, by idempotency key.
	ByIdempotencyKey map[string]int `json:"byIdempotencyKey"`
	// Peak is the greatest number of requests that ran at once.
	Peak int `json:"peak"`
	// Overloaded counts the requests that began while more ran than the server bears.
	Overloaded int `json:"overloaded"`
	// Queued counts the requests that waited for a slot inside the server.
	Queued int `json:"queued"`
	// Shed counts the requests that were refused for load.
	Shed int `json:"shed"`
	// Fenced counts the requests that were refused for their grant.
	Fenced int `json:"fenced"`
	// Expired counts the requests that were refused for their deadline.
	Expired int `json:"expired"`
	// Cancelled counts the requests whose caller went away while they waited or ran.
	Cancelled int `json:"cancelled"`
}

func newCounts() Counts {
	return Counts{
		ByKey:            make(map[string]int),
		ByIdempotencyKey: make(map[string]int),
	}
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKey = maps.Clone(counts.ByKey)
	counts.ByIdempotencyKey = maps.Clone(counts.ByIdempotencyKey)
	return counts
}

func (s *Server) countRun(key, idempotencyKey string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.ByKey[key]++
	if idempotencyKey != "" {
		s.counts.ByIdempotencyKey[idempotencyKey]++
	}
	return s.counts.ByKey[key]
}

func (s *Server) addCount(count *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
}
