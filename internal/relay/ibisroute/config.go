package ibisroute

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Version orders configurations; it only grows, in uneven steps.
type Version uint64

// Kind says what may be repeated.
type Kind string

const (
	// KindIdempotent may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent may run once at most.
	KindNonIdempotent Kind = "nonIdempotent"
	// KindDownload is idempotent and has a large answer.
	KindDownload Kind = "download"
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k != KindNonIdempotent }

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes is the greatest size of a request's headers.
	HeaderBytes int
	// BodyBytes is the greatest size of a request's body.
	BodyBytes int64
	// HeaderTimeout is the longest time that a request's headers may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Part is one service of a weighted split.
type Part struct {
	// Service is the service.
	Service ibisid.ServiceName
	// Weight is its share, relative to the other parts.
	Weight int
}

// Route says where requests below a path prefix go.
type Route struct {
	// Name names the route; it is also the request class.
	Name ibisid.ClassName
	// Host is the host that the route belongs to.
	Host string
	// Prefix is the beginning of the path; it starts and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Priority is the rank, where zero is the highest.
	Priority int
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// MaxAttempts is the greatest number of backend servers that one request may be sent to.
	MaxAttempts int
	// Homes lists the only regions that may serve the request; empty for all.
	Homes []ibisid.RegionName
	// Parts lists the services with their weights, at least one.
	Parts []Part
}

// Service is a group of backend servers.
type Service struct {
	// Name names the service.
	Name ibisid.ServiceName
	// HealthPath is the path of the health endpoint.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// Sharded says that the service is divided by key.
	Sharded bool
	// ColdPerSecond is the number of requests a second that a cold backend server bears; zero for no bound.
	ColdPerSecond float64
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
}

// Config is one whole configuration.
type Config struct {
	version  Version
	limits   Limits
	hosts    map[string]map[string]*Route
	services map[ibisid.ServiceName]Service
}

// New compiles a configuration; it fails with an error that names the route or service that can't be used.
func New(version Version, limits Limits, services []Service, routes []Route) (*Config, error) {
	c := &Config{
		version:  version,
		limits:   limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[ibisid.ServiceName]Service, len(services)),
	}
	for _, service := range services {
		if service.Name == "" {
			return nil, fmt.Errorf("configuration %d: a service has no name", version)
		}
		c.services[service.Name] = service
	}
	for _, route := range routes {
		if err := c.check(route); err != nil {
			return nil, fmt.Errorf("configuration %d: route %q: %w", version, route.Name, err)
		}
		if c.hosts[route.Host] == nil {
			c.hosts[route.Host] = make(map[string]*Route)
		}
		c.hosts[route.Host][route.Prefix] = &route
	}
	return c, nil
}

func (c *Config) check(r Route) error {
	if r.Host == "" {
		return fmt.Errorf("host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q: must start and end with a slash", r.Prefix)
	}
	if r.MaxAttempts < 1 {
		return fmt.Errorf("maximum of attempts %d: must be at least 1", r.MaxAttempts)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout %s: must be above zero", r.Timeout)
	}
	total := 0
	for _, part := range r.Parts {
		if _, ok := c.services[part.Service]; !ok {
			return fmt.Errorf("service %q does not exist", part.Service)
		}
		if part.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: must not be negative", part.Weight, part.Service)
		}
		total += part.Weight
	}
	if total == 0 {
		return fmt.Errorf("no service has a weight above zero")
	}
	return nil
}

// Version returns the version.
func (c *Config) Version() Version { return c.version }

// Limits returns what bounds callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service and whether it exists.
func (c *Config) Service(name ibisid.ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services, in order.
func (c *Config) Services() []ibisid.ServiceName { return slices.Sorted(maps.Keys(c.services)) }

// Routes returns all routes in no particular order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, prefixes := range c.hosts {
		all = slices.AppendSeq(all, maps.Values(prefixes))
	}
	return all
}

// Match returns the route with the longest prefix that begins the path, and whether there is one.
func (c *Config) Match(host, path string) (*Route, bool) {
	prefixes := c.hosts[host]
	if len(prefixes) == 0 {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
