package ibishot

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// DefaultMaxOverrides is the default limit on the number of overrides.
	DefaultMaxOverrides     = 230
	minResidence            = 2 * time.Minute
	defaultChangesPerMinute = 120
	hotShare                = 0.25
	cooledShare             = 0.10
	// highUtilization is the utilization from which a server counts as loaded, and the fraction of the owner's utilization below
	// which a new owner must stay.
	highUtilization = 0.8
)

// Server is a member that may own hot keys, with its capacity and load.
type Server struct {
	// Member identifies the member.
	Member ibisid.Member
	// Capacity is the number of requests per second that its backend server can serve.
	Capacity float64
	// Load is the number of requests per second that it serves, including those for its hot keys.
	Load float64
}

// Placement is the ownership and the rate of a hot key.
type Placement struct {
	// Key is the hash of the key.
	Key Key
	// Owner is the present owner of the key.
	Owner ibisid.Member
	// Override reports whether the key has an owner independent of its slot.
	Override bool
	// Since is the time at which the present owner received the key.
	Since time.Time
	// Home is the owner of the slot of the key.
	Home ibisid.Member
	// PerSecond is the rate of the key in requests per second.
	PerSecond float64
}

// Change requests a planned move of one key.
type Change struct {
	// Key is the hash of the key.
	Key Key
	// From is the present owner.
	From ibisid.Member
	// To is the new owner. If it is the owner of the slot, the override ends after the move.
	To ibisid.Member
}

// Decider decides which keys get an override. It is not safe for concurrent use.
type Decider struct {
	limit      int
	perMinute  float64
	tokens     float64
	refilledAt time.Time
}

// Option configures a Decider.
type Option func(*Decider)

// WithLimit bounds the number of overrides; the default is 230.
func WithLimit(n int) Option { return func(d *Decider) { d.limit = n } }

// WithChangesPerMinute bounds the number of changes per minute; the default is 120.
func WithChangesPerMinute(n float64) Option { return func(d *Decider) { d.perMinute = n } }

// NewDecider returns a decider whose budget of changes is full.
func NewDecider(options ...Option) *Decider {
	d := &Decider{
		limit:     DefaultMaxOverrides,
		perMinute: defaultChangesPerMinute,
	}
	for _, option := range options {
		option(d)
	}
	d.tokens = d.perMinute
	return d
}

// Decide returns the changes to start now, given all overrides, the hottest other keys and all servers.
//
// A key gets an override, or the override a new owner, if the key takes at least a quarter of its owner's capacity and the
// owner is at 80% of its capacity or more; the new owner's utilization afterwards must be below 80% of that of the present
// owner. The override ends when the key takes less than a tenth of its owner's capacity, if the owner of the slot then stays at
// or below 80%. A key with an override stays at its owner for at least two minutes.
func (d *Decider) Decide(now time.Time, keys []Placement, servers []Server) []Change {
	d.refill(now)
	loads := newServerLoads(servers)
	keys = slices.Clone(keys)
	slices.SortFunc(keys, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Key, b.Key))
	})
	overrides := 0
	for _, k := range keys {
		if k.Override {
			overrides++
		}
	}
	var changes []Change
	for _, k := range keys {
		if int(d.tokens) < 1 {
			break
		}
		to, ok := d.targetFor(now, k, loads, overrides)
		if !ok {
			continue
		}
		if !k.Override {
			overrides++
		}
		d.tokens--
		loads.move(k, to)
		changes = append(changes, Change{
			Key:  k.Key,
			From: k.Owner,
			To:   to,
		})
	}
	return changes
}

func (d *Decider) refill(now time.Time) {
	if !d.refilledAt.IsZero() && now.After(d.refilledAt) {
		d.tokens = min(d.perMinute, d.tokens+d.perMinute*now.Sub(d.refilledAt).Minutes())
	}
	d.refilledAt = now
}

func (d *Decider) targetFor(now time.Time, k Placement, loads *serverLoads, overrides int) (ibisid.Member, bool) {
	none := ibisid.Member{}
	if k.Override && now.Sub(k.Since) < minResidence {
		return none, false
	}
	owner := loads.byMember[k.Owner]
	if owner == nil {
		return none, false
	}
	if k.Override && k.PerSecond < cooledShare*owner.Capacity {
		home := loads.byMember[k.Home]
		if home == nil || home.Load+k.PerSecond > highUtilization*home.Capacity {
			return none, false
		}
		return k.Home, true
	}
	if !k.Override && overrides >= d.limit {
		return none, false
	}
	if k.PerSecond < hotShare*owner.Capacity || owner.Load < highUtilization*owner.Capacity {
		return none, false
	}
	return loads.betterServer(k, owner)
}

// serverLoads holds the servers during one call of Decide, with the loads after the changes planned so far.
type serverLoads struct {
	servers  []Server
	byMember map[ibisid.Member]*Server
}

func newServerLoads(servers []Server) *serverLoads {
	l := &serverLoads{
		servers:  slices.Clone(servers),
		byMember: make(map[ibisid.Member]*Server, len(servers)),
	}
	slices.SortFunc(l.servers, func(a, b Server) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	for i := range l.servers {
		l.byMember[l.servers[i].Member] = &l.servers[i]
	}
	return l
}

// betterServer returns the server with the lowest utilization after receiving the key, or false if no server would be below
// highUtilization times the utilization of the owner.
func (l *serverLoads) betterServer(k Placement, owner *Server) (ibisid.Member, bool) {
	var best *Server
	bestUtilization := highUtilization * owner.Load / owner.Capacity
	for i := range l.servers {
		s := &l.servers[i]
		if s.Member == k.Owner || s.Capacity <= 0 {
			continue
		}
		if utilization := (s.Load + k.PerSecond) / s.Capacity; utilization < bestUtilization {
			best, bestUtilization = s, utilization
		}
	}
	if best == nil {
		return ibisid.Member{}, false
	}
	return best.Member, true
}

func (l *serverLoads) move(k Placement, to ibisid.Member) {
	l.byMember[k.Owner].Load -= k.PerSecond
	l.byMember[to].Load += k.PerSecond
}
