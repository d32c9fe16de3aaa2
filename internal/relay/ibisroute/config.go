package ibisroute

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Version is the version of a configuration; versions only grow, in uneven steps.
type Version uint64

// Kind is the kind of the requests of a route; it decides whether they may be retried.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests may run at most once.
	KindNonIdempotent Kind = "nonIdempotent"
	// KindDownload requests are idempotent and have a large answer.
	KindDownload Kind = "download"
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k != KindNonIdempotent }

// Limits bounds callers' requests and connections.
type Limits struct {
	// HeaderBytes is the greatest size of a request's headers in bytes.
	HeaderBytes int
	// BodyBytes is the greatest size of a request's body in bytes.
	BodyBytes int64
	// HeaderTimeout is the longest time in which a request's headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// WeightedService is one service of a weighted split.
type WeightedService struct {
	// Service is the name of the service.
	Service ibisid.ServiceName
	// Weight is its share of the requests, relative to the other weights of the split.
	Weight int
}

// Route sets the service, times and limits of the requests below a path prefix of a host.
type Route struct {
	// Name is the name of the route and of its request class.
	Name ibisid.ClassName
	// Host is the host that the route belongs to.
	Host string
	// Prefix is the beginning of the path; it starts and ends with a slash.
	Prefix string
	// Kind is the kind of its requests.
	Kind Kind
	// Priority is the rank of the class, where zero is the most urgent.
	Priority int
	// Target is the time from the arrival within which an answer is worth most.
	Target time.Duration
	// Timeout is the longest time from the arrival of a request to its answer.
	Timeout time.Duration
	// MaxAttempts is the greatest number of backend servers that one request may be sent to.
	MaxAttempts int
	// Homes lists the only regions that may serve the requests; empty for all.
	Homes []ibisid.RegionName
	// Services lists the services with their weights, at least one.
	Services []WeightedService
}

// Service is a group of backend servers.
type Service struct {
	// Name is the name of the service.
	Name ibisid.ServiceName
	// HealthPath is the path of the backend servers' health endpoint.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// Sharded is true if the service is divided by key.
	Sharded bool
	// ColdPerSecond is the number of requests per second that a cold backend server can process; zero for no limit.
	ColdPerSecond float64
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
}

// Config is one complete configuration; it is immutable.
type Config struct {
	version  Version
	limits   Limits
	hosts    map[string]map[string]*Route
	services map[ibisid.ServiceName]Service
}

// New checks and compiles a configuration; the error names the invalid route or service.
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
	for _, service := range r.Services {
		if _, ok := c.services[service.Service]; !ok {
			return fmt.Errorf("service %q does not exist", service.Service)
		}
		if service.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: must not be negative", service.Weight, service.Service)
		}
		total += service.Weight
	}
	if total == 0 {
		return fmt.Errorf("no service has a weight above zero")
	}
	return nil
}

// Version returns the version of the configuration.
func (c *Config) Version() Version { return c.version }

// Limits returns the limits on callers' requests and connections.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service and whether it exists.
func (c *Config) Service(name ibisid.ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (c *Config) Services() []ibisid.ServiceName { return slices.Sorted(maps.Keys(c.services)) }

// Routes returns all routes in no particular order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, prefixes := range c.hosts {
		all = slices.AppendSeq(all, maps.Values(prefixes))
	}
	return all
}

// Match returns the route of the host with the longest prefix of the path, and whether there is one.
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
