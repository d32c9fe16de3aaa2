package ibisowner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	// maxVerdicts is the number of cached verdicts from which on the cache is cleared.
	maxVerdicts = 1 << 16
	// maxRuleOverridesPerPage is the number of overridden keys on a page from which on rules place no more there.
	maxRuleOverridesPerPage = 512
	// placeRetryInterval is the least time between two attempts to place a key.
	placeRetryInterval = 200 * time.Millisecond
	// placedKeyIdleTime is how long a key without requests stays where a rule placed it.
	placedKeyIdleTime = 10 * time.Minute
	// apartSides is the number of sides of a rule that keeps keys on different backend servers.
	apartSides = 2
)

// keyRules caches the verdicts of placement rules on single keys for one document and one view of the members.
type keyRules struct {
	base       time.Time
	mu         sync.RWMutex
	document   *ibisdoc.Document
	generation uint64
	verdicts   map[ibisslot.KeyHash]*keyVerdict
}

// keyVerdict is the verdict of the placement rules on one key; only lastUsed and lastTried change after its creation.
type keyVerdict struct {
	// restricted reports that rules for keys limit which members may own the key.
	restricted bool
	// allowedHere reports that this node may run requests of the key.
	allowedHere bool
	// target is the member that is to own the key, zero if no member may.
	target    ibisid.Member
	lastUsed  atomic.Int64
	lastTried atomic.Int64
}

// verdict returns the verdict of the rules on a key, or nil if none restricts it: if the service has no rules for keys,
// and for tenants with home regions, because no row outside these may contain the key.
func (m *Manager) verdict(space ibisid.SlotSpace, key string, hash ibisslot.KeyHash) *keyVerdict {
	doc := m.inForce.Load()
	if doc == nil || !mayOverrideKeys(space) || !doc.HasKeyRules(space.Service) {
		return nil
	}
	view := m.view.Load()
	r := &m.keyRules
	r.mu.RLock()
	found, fresh := r.verdicts[hash], r.document == doc && r.generation == view.generation
	r.mu.RUnlock()
	if !fresh || found == nil {
		found = m.evaluateKeyRules(doc, view, space, key, hash)
		r.put(doc, view.generation, hash, found)
	}
	if !found.restricted {
		return nil
	}
	return found
}

func (r *keyRules) put(doc *ibisdoc.Document, generation uint64, hash ibisslot.KeyHash, v *keyVerdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.document != doc || r.generation != generation || len(r.verdicts) >= maxVerdicts {
		r.document, r.generation = doc, generation
		r.verdicts = make(map[ibisslot.KeyHash]*keyVerdict)
	}
	r.verdicts[hash] = v
}

// timestamp returns the time since the creation of the manager plus slightly more than placeRetryInterval, so that a
// verdict that was never tried is due at once. It does not use Unix time, because the clock may start elsewhere.
func (r *keyRules) timestamp(now time.Time) int64 {
	return int64(now.Sub(r.base) + placeRetryInterval + 1)
}

// recentlyRestricted reports whether a rule of the document restricted a request of the key within placedKeyIdleTime.
func (r *keyRules) recentlyRestricted(doc *ibisdoc.Document, hash ibisslot.KeyHash, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v := r.verdicts[hash]
	return r.document == doc && v != nil && v.restricted && r.timestamp(now)-v.lastUsed.Load() < int64(placedKeyIdleTime)
}

func (m *Manager) evaluateKeyRules(doc *ibisdoc.Document, view *membersView, space ibisid.SlotSpace, key string, hash ibisslot.KeyHash) *keyVerdict {
	v := &keyVerdict{}
	p := doc.Placement(space.Service, space.Home, ibisname.Key(key))
	if len(p.Apart) == 0 && slices.Equal(p.Domains, doc.Placement(space.Service, space.Home, "").Domains) {
		return v
	}
	v.restricted = true
	var best uint64
	for _, peer := range view.byService[space.Service] {
		if !p.Allows(peer.Place.Domain) || !mayOwnSides(doc, view, space.Service, peer, p.Apart) {
			continue
		}
		if peer.Member == m.Self().Member {
			v.allowedHere = true
		}
		if score := ibisslot.MixHashes(uint64(hash), ibisslot.MemberHash(peer.Member)); doc.DomainState(peer.Place.Domain) != ibisdoc.DomainOut && score >= best {
			best, v.target = score, peer.Member
		}
	}
	return v
}

// mayOwnSides reports whether the member may own keys of all the sides. Each member owns one side of each rule. The
// members of a failure domain are ranked by a hash and alternate between the sides, so that a change of members changes
// sides in one domain only.
func mayOwnSides(doc *ibisdoc.Document, view *membersView, service ibisid.ServiceName, peer Peer, sides []ibisdoc.ApartSide) bool {
	for _, side := range sides {
		if sideOf(doc, view, service, peer, side.Rule) != side.Side {
			return false
		}
	}
	return true
}

func sideOf(doc *ibisdoc.Document, view *membersView, service ibisid.ServiceName, peer Peer, rule string) int {
	seed := xxh3.HashString(rule)
	order := func(p Peer) uint64 { return ibisslot.MixHashes(seed, xxh3.HashString(string(p.Member.Name))) }
	rank := slices.Index(doc.Placement(service, "", "").Domains, peer.Place.Domain)
	for _, other := range view.byService[service] {
		before := cmp.Or(cmp.Compare(order(other), order(peer)), cmp.Compare(other.Member.Name, peer.Member.Name)) < 0
		if other.Place.Domain == peer.Place.Domain && before {
			rank++
		}
	}
	return max(0, rank) % apartSides
}

// divert prevents a request from running where a rule forbids its key. If this node owns the key, it moves the key to a
// permitted member and returns a channel on which the request waits; the channel is nil if the request is to be
// refused. It returns false if the rules let the node run the key, or if it is not the owner.
func (m *Manager) divert(slot ibisid.Slot, key string, hash ibisslot.KeyHash, now time.Time) (<-chan struct{}, bool) {
	v := m.verdict(slot.Space, key, hash)
	if v == nil {
		return nil, false
	}
	timestamp := m.keyRules.timestamp(now)
	v.lastUsed.Store(timestamp)
	if v.allowedHere || !m.holdings.ownsKey(slot, hash) {
		return nil, false
	}
	if v.target.IsZero() {
		return nil, true
	}
	unit := slot
	unit.Hot = uint64(hash)
	wait := m.holdings.await(unit)
	if lastTried := v.lastTried.Load(); timestamp-lastTried < int64(placeRetryInterval) || !v.lastTried.CompareAndSwap(lastTried, timestamp) {
		return wait, true
	}
	room := true
	m.update(func(now time.Time) {
		page, known := m.pages.Page(ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		})
		if !known {
			return
		}
		_, exists := page.Override(hash)
		if room = exists || len(page.Overrides()) < maxRuleOverridesPerPage; room {
			m.planKeyMove(slot.Space, hash, v.target)
			m.startMoves(now)
		}
	})
	if !room {
		m.counts.unplaced.Add(1)
		return nil, true
	}
	return wait, true
}

// ownsKey reports whether the node owns the key, either through its slot or as an override.
func (h *holdings) ownsKey(slot ibisid.Slot, key ibisslot.KeyHash) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil || found.keys.isOverridden(key) {
		slot.Hot = uint64(key)
		found = h.held[slot]
	}
	return found != nil
}
