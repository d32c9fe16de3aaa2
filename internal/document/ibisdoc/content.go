package ibisdoc

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Content holds the entries of all sections of a document; each kind of section fills the field of the same name.
type Content struct {
	// Topology lists the regions and failure domains.
	Topology Topology `json:"topology"`
	// Teams lists the operators' teams and the sections that they own.
	Teams map[ibisid.TeamName]Team `json:"teams,omitempty"`
	// KeySpaces lists the naming schemes of each set of keys.
	KeySpaces map[ibisid.KeySpaceName]ibisname.KeySpace `json:"keySpaces,omitempty"`
	// Services lists the groups of backend servers.
	Services map[ibisid.ServiceName]Service `json:"services,omitempty"`
	// Routes lists the requests that callers may send, by route name.
	Routes map[string]Route `json:"routes,omitempty"`
	// Tenants lists the tenants and their client accounts.
	Tenants map[ibisid.TenantName]Tenant `json:"tenants,omitempty"`
	// Rules lists the placement rules, by rule name.
	Rules map[string]Rule `json:"rules,omitempty"`
	// Classes lists the request classes.
	Classes map[ibisid.ClassName]Class `json:"classes,omitempty"`
}

// Topology lists the regions with their failure domains, and the region of the platform's store.
type Topology struct {
	// Regions lists the regions.
	Regions map[ibisid.RegionName]Region `json:"regions"`
	// StoreRegion is the region of the platform's table and object store.
	StoreRegion ibisid.RegionName `json:"storeRegion"`
}

// Region is one region of the topology.
type Region struct {
	// Domains lists the region's failure domains.
	Domains map[ibisid.DomainName]Domain `json:"domains"`
}

// DomainState is whether a failure domain accepts new work.
type DomainState string

const (
	// DomainIn means that the failure domain accepts new work.
	DomainIn DomainState = "in"
	// DomainOut means that operators have taken the failure domain out of service.
	DomainOut DomainState = "out"
)

// Domain is one failure domain.
type Domain struct {
	// State is whether the failure domain accepts new work; empty means DomainIn.
	State DomainState `json:"state,omitempty"`
	// RampUp is the time over which a rejoining domain reaches its full share of the work; zero means 30 seconds.
	RampUp Duration `json:"rampUp,omitzero"`
}

// Team is a team of operators.
type Team struct {
	// Sections lists the sections that the team may write: names, or "KIND/*".
	Sections []string `json:"sections"`
	// Tokens lists the salted hashes of the team's tokens; two are valid while a token is rotated.
	Tokens []TokenHash `json:"tokens"`
}

// TokenHash is a salted hash of a bearer token.
type TokenHash struct {
	// Salt is the salt in hexadecimal.
	Salt string `json:"salt"`
	// SHA256 is the SHA-256 of the salt followed by the token, in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Service is a group of backend servers that process the same requests.
type Service struct {
	// KeySpace is the key space by which the service is divided, empty for one that is not divided by key.
	KeySpace ibisid.KeySpaceName `json:"keySpace,omitempty"`
	// Slots is the number of slots, a power of two up to 2^18; zero means 1024.
	Slots uint32 `json:"slots,omitempty"`
	// Retention is the least time for which the answer to a non-idempotent request is kept; zero means 24 hours, which is also
	// the greatest value.
	Retention Duration `json:"retention,omitzero"`
	// LongestOrder is the longest deadline of a non-idempotent request; zero means 10 seconds.
	LongestOrder Duration `json:"longestOrder,omitzero"`
	// Concurrency is the upper limit of the request slots that a backend server announces, the number of requests that it
	// processes at once; zero means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// ColdStart is the time over which a cold backend server is raised to its full limit; zero means 10 seconds.
	ColdStart Duration `json:"coldStart,omitzero"`
}

// Route is a kind of request that callers may send.
type Route struct {
	// Methods lists the HTTP methods.
	Methods []string `json:"methods"`
	// Host is the host that the request must name, empty for any.
	Host string `json:"host,omitempty"`
	// Path is the path template; "{key}" matches a key name, which may contain slashes, and "{name}" matches one path segment.
	Path string `json:"path"`
	// Scheme is the naming scheme of the key, as "KEYSPACE/SCHEME"; empty where the path holds no key.
	Scheme string `json:"scheme,omitempty"`
	// Service is the service that processes the requests.
	Service ibisid.ServiceName `json:"service"`
	// Class is the request class.
	Class ibisid.ClassName `json:"class"`
	// NonIdempotent marks requests that run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Recorded requires a claim in the platform's table before the request runs.
	Recorded bool `json:"recorded,omitempty"`
	// MaxBody is the greatest size of a request body in bytes; zero means 1 MiB.
	MaxBody int64 `json:"maxBody,omitempty"`
}

// Tenant is a customer whose accounts share limits and home regions.
type Tenant struct {
	// Homes lists the only regions that may serve, transmit or store the tenant's requests; empty for all.
	Homes []ibisid.RegionName `json:"homes,omitempty"`
	// Accounts lists the tenant's client accounts, by account name.
	Accounts map[string]Account `json:"accounts"`
	// Weight is the tenant's relative share of a queue; zero means 1.
	Weight int `json:"weight,omitempty"`
	// Rate is the number of requests per second that the tenant may send through one node; zero for no limit.
	Rate float64 `json:"rate,omitempty"`
}

// Account is a client account of a tenant.
type Account struct {
	// Tokens lists the salted hashes of the account's tokens.
	Tokens []TokenHash `json:"tokens"`
	// Routes lists the routes that the account may use, empty for all.
	Routes []string `json:"routes,omitempty"`
	// Keys limits the account to keys, ranges or prefixes; empty for all.
	Keys []KeySelector `json:"keys,omitempty"`
}

// KeySelector selects keys by exactly one of a name, a range or a prefix, in any naming scheme.
type KeySelector struct {
	// Scheme is the naming scheme, as "KEYSPACE/SCHEME".
	Scheme string `json:"scheme"`
	// Name is a single name.
	Name string `json:"name,omitempty"`
	// From is the first name of a range.
	From string `json:"from,omitempty"`
	// To is the last name of a range.
	To string `json:"to,omitempty"`
	// Prefix is the common prefix of the names.
	Prefix string `json:"prefix,omitempty"`
}

// RuleKind is the kind of constraint that a placement rule sets.
type RuleKind string

const (
	// RulePin restricts the selected keys, or the service, to the named regions or failure domains.
	RulePin RuleKind = "pin"
	// RuleSpread spreads the service's keys evenly over the named regions or failure domains.
	RuleSpread RuleKind = "spread"
	// RuleApart places the keys of two selectors on different backend servers.
	RuleApart RuleKind = "apart"
	// RuleWeight sets the share of a region or failure domain.
	RuleWeight RuleKind = "weight"
)

// Rule is a placement rule; a rule with keys takes precedence over one without, and then a greater Priority over a lesser.
type Rule struct {
	// Kind is the kind of constraint that the rule sets.
	Kind RuleKind `json:"kind"`
	// Service is the service that the rule places.
	Service ibisid.ServiceName `json:"service"`
	// Keys selects the keys, empty for the whole service.
	Keys []KeySelector `json:"keys,omitempty"`
	// Regions lists the regions that the rule names.
	Regions []ibisid.RegionName `json:"regions,omitempty"`
	// Domains lists the failure domains that the rule names.
	Domains []ibisid.DomainName `json:"domains,omitempty"`
	// Weight is the share for RuleWeight, where 1 is the usual share.
	Weight float64 `json:"weight,omitempty"`
	// Priority orders the rules with keys, and those without, among themselves; the greatest takes precedence.
	Priority int `json:"priority,omitempty"`
}

// Class is a request class.
type Class struct {
	// Priority orders the queues; the queue of a greater priority is served first.
	Priority int `json:"priority"`
	// Deadline is the time limit of a request whose caller sets none; zero means 5 seconds.
	Deadline Duration `json:"deadline,omitzero"`
	// Share is the greatest share of a backend server's limit that the class may hold, from 0 to 1; zero means 1.
	Share float64 `json:"share,omitempty"`
	// QueueLength is the number of requests that may wait at one node; zero means 32.
	QueueLength int `json:"queueLength,omitempty"`
	// Hedge allows a second attempt of a slow idempotent request in parallel with the first.
	Hedge bool `json:"hedge,omitempty"`
}
