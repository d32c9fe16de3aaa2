package ibisroute

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Splitter deals requests to the parts of weighted splits by smooth weighted round robin, so that the shares are exact
// over any short run of requests.
type Splitter struct {
	credits map[splitKey][]int
}

type splitKey struct {
	version Version
	route   ibisid.ClassName
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{
		credits: make(map[splitKey][]int),
	}
}

// Next returns the service that the next request of the route goes to.
func (s *Splitter) Next(version Version, r *Route) ibisid.ServiceName {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	key := splitKey{
		version: version,
		route:   r.Name,
	}
	credits := s.credits[key]
	if credits == nil {
		s.forgetBefore(version)
		credits = make([]int, len(r.Parts))
		s.credits[key] = credits
	}
	total, best := 0, 0
	for i, part := range r.Parts {
		credits[i] += part.Weight
		total += part.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Parts[best].Service
}

func (s *Splitter) forgetBefore(version Version) {
	for key := range s.credits {
		if key.version < version {
			delete(s.credits, key)
		}
	}
}
