package ibisroute

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// maxWeight is the greatest weight of a service in a split.
const maxWeight = 1_000_000_000

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
	// KindUpload requests are not idempotent and have a large body.
	KindUpload Kind = "upload"
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == KindIdempotent || k == KindDownload }

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
	// Name is the name of the route and of its request class. Routes of a Config that would share one have their host and
	// prefix in it, so that each is a class of its own.
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
	// AuthExempt reports that requests need no key of an account.
	AuthExempt bool
	// Services lists the services with their weights, at least one.
	Services []WeightedService
	// Fault is why the route's requests can't be served, nil if they can. The route still matches its requests, so that they
	// are refused for now instead of being answered as unknown.
	Fault error
}

// GrantDelivery is how grants of keys reach the backend servers of a service.
type GrantDelivery string

const (
	// GrantDeliveryUnset means that the settings of each node decide.
	GrantDeliveryUnset GrantDelivery = ""
	// GrantDeliveryHeartbeat means that the answer to a heartbeat carries the grants.
	GrantDeliveryHeartbeat GrantDelivery = "heartbeat"
	// GrantDeliveryCall means that the node calls the backend server.
	GrantDeliveryCall GrantDelivery = "call"
)

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
	// GrantDelivery is how grants of keys reach the backend servers.
	GrantDelivery GrantDelivery
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
	routes   []*Route
	services map[ibisid.ServiceName]Service
	// accounts is nil if requests need no key.
	accounts *Accounts
}

// New returns the configuration. A route that can't be served is kept with its Fault: one whose prefix is invalid matches
// whatever no other route of its host matches, and one without a host whatever no other route matches.
func New(version Version, limits Limits, services []Service, routes []Route) *Config {
	c := &Config{
		version:  version,
		limits:   limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[ibisid.ServiceName]Service, len(services)),
	}
	for _, service := range services {
		c.services[service.Name] = service
	}
	for _, route := range routes {
		if route.Fault == nil {
			route.Fault = c.check(route)
		}
		if !validPrefix(route.Prefix) {
			route.Prefix = "/"
		}
		c.add(&route)
	}
	for _, prefixes := range c.hosts {
		c.routes = slices.AppendSeq(c.routes, maps.Values(prefixes))
	}
	slices.SortFunc(c.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	c.separateClasses()
	return c
}

// WithAccounts returns a copy of the configuration in which requests need the key of one of the accounts.
func (c *Config) WithAccounts(accounts *Accounts) *Config {
	out := *c
	out.accounts = accounts
	return &out
}

// separateClasses makes the names of the routes that can be served unique.
func (c *Config) separateClasses() {
	shared := make(map[ibisid.ClassName]int)
	for _, r := range c.routes {
		if r.Fault == nil {
			shared[r.Name]++
		}
	}
	for _, r := range c.routes {
		if r.Fault == nil && shared[r.Name] > 1 {
			r.Name = ibisid.ClassName(fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.Prefix))
		}
	}
}

// add adds a route to its host; of two with one prefix, the one that can be served is kept.
func (c *Config) add(route *Route) {
	prefixes := c.hosts[route.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		c.hosts[route.Host] = prefixes
	}
	if known, ok := prefixes[route.Prefix]; ok && known.Fault == nil && route.Fault != nil {
		return
	}
	prefixes[route.Prefix] = route
}

func validPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

func (c *Config) check(r Route) error {
	if r.Host == "" {
		return errors.New("host is empty")
	}
	if !validPrefix(r.Prefix) {
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
		if service.Weight < 0 || service.Weight > maxWeight {
			return fmt.Errorf("weight %d of service %q: must be from 0 to %d", service.Weight, service.Service, maxWeight)
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

// Routes returns all routes, sorted by host and prefix.
func (c *Config) Routes() []*Route { return slices.Clone(c.routes) }

// Homes returns the regions that may own keys of a service, sorted, or none if all may: those that are homes of every route
// to the service that has any. If no region is, the homes of all these routes together.
func (c *Config) Homes(service ibisid.ServiceName) []ibisid.RegionName {
	var routes int
	counts := make(map[ibisid.RegionName]int)
	for _, r := range c.routes {
		if len(r.Homes) == 0 || !slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == service }) {
			continue
		}
		routes++
		for region := range ibisset.Of(r.Homes...) {
			counts[region]++
		}
	}
	all := slices.Sorted(maps.Keys(counts))
	common := slices.DeleteFunc(slices.Clone(all), func(region ibisid.RegionName) bool { return counts[region] < routes })
	if len(common) == 0 {
		return all
	}
	return common
}

// Match returns the route of the host with the longest prefix of the path, and whether there is one.
func (c *Config) Match(host, path string) (*Route, bool) {
	if r, ok := longestPrefix(c.hosts[host], path); ok {
		return r, true
	}
	return longestPrefix(c.hosts[""], path)
}

func longestPrefix(prefixes map[string]*Route, path string) (*Route, bool) {
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
