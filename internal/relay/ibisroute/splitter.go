package ibisroute

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Splitter distributes requests over the weighted services of routes by smooth weighted round robin, so that the shares are
// exact over any short run of requests; it is not safe for concurrent use.
type Splitter struct {
	credits map[splitKey][]int
}

// splitKey identifies a route of one configuration.
type splitKey struct {
	version Version
	host    string
	prefix  string
}

// NewSplitter returns a splitter that has not distributed any requests.
func NewSplitter() *Splitter {
	return &Splitter{
		credits: make(map[splitKey][]int),
	}
}

// Next returns the service for the next request of a route of the given configuration version.
func (s *Splitter) Next(version Version, r *Route) ibisid.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	key := splitKey{
		version: version,
		host:    r.Host,
		prefix:  r.Prefix,
	}
	credits := s.credits[key]
	if credits == nil {
		s.deleteOlder(version)
		credits = make([]int, len(r.Services))
		s.credits[key] = credits
	}
	total, best := 0, 0
	for i, service := range r.Services {
		credits[i] += service.Weight
		total += service.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Services[best].Service
}

func (s *Splitter) deleteOlder(version Version) {
	for key := range s.credits {
		if key.version < version {
			delete(s.credits, key)
		}
	}
}
