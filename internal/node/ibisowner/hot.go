package ibisowner

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibishot"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	// hotScanInterval is the time between two searches for hot keys at a node.
	hotScanInterval = 10 * time.Second
	// loadSamples is the number of members that are asked for their load in one search.
	loadSamples = 8
	loadTimeout = 3 * time.Second
	// hotReportShare is the share of a backend server's capacity from which on a key may be hot.
	hotReportShare = 0.25
	// hotDecisionTTL is how long a decided change counts as an override while no page shows it.
	hotDecisionTTL = time.Minute
	// hotDeciderKey is the key whose first coordinator decides on hot keys for the whole system.
	hotDeciderKey = "hot"
)

// LoadArgs are the arguments of Load, which returns the load of a node.
type LoadArgs struct{}

// LoadReply is the load of a node.
type LoadReply struct {
	// Load is the rate in requests a second.
	Load float64
	// Capacity is the rate that the backend server can serve, in requests a second.
	Capacity float64
}

// HotKey is a key that may get or lose an owner of its own.
type HotKey struct {
	// Key is the hash of the key.
	Key ibisslot.KeyHash
	// Override reports that the key has an owner of its own.
	Override bool
	// Age is how long the key has had its owner.
	Age time.Duration
	// Home is the owner of its slot.
	Home ibisid.Member
	// PerSecond is its rate in requests a second.
	PerSecond float64
}

// HotArgs asks the deciding node which keys of a member are to move.
type HotArgs struct {
	// Owner is the member that owns the keys.
	Owner ibisid.Member
	// Space is the slot space of the keys.
	Space ibisid.SlotSpace
	// Keys are the hot keys of the owner and all its keys with owners of their own.
	Keys []HotKey
	// Servers are the owner and the members that its keys may move to.
	Servers []ibishot.Server
}

// HotReply lists the moves to start.
type HotReply struct {
	// Changes are the moves.
	Changes []ibishot.Change
}

// hotKeys is the state of the search for hot keys and of the decisions on them; the control lock must be held.
type hotKeys struct {
	nextDecay      time.Time
	nextScan       time.Time
	requestPending bool
	scans          uint64
	decider        *ibishot.Decider
	decisions      map[ibisid.Slot]hotDecision
}

// hotDecision is a move of a hot key that this node decided on as the deciding node.
type hotDecision struct {
	to          ibisid.Member
	perSecond   float64
	decidedAt   time.Time
	newOverride bool
}

func newHotKeys(now time.Time) hotKeys {
	return hotKeys{
		nextScan:  now.Add(hotScanInterval),
		decider:   ibishot.NewDecider(),
		decisions: make(map[ibisid.Slot]hotDecision),
	}
}

// tickHot decays the request counts every second and starts a search for hot keys when one is due.
func (m *Manager) tickHot(now time.Time) {
	if now.Before(m.hot.nextDecay) {
		return
	}
	m.hot.nextDecay = now.Add(time.Second)
	m.loadMeter.advance(now)
	if now.Before(m.hot.nextScan) {
		return
	}
	m.hot.nextScan = now.Add(hotScanInterval)
	_, valid := m.holder.Valid(now)
	if m.document == nil || !valid || m.leaving || m.evicting() || m.hot.requestPending {
		return
	}
	for _, e := range m.spaces {
		if keys := m.localHotKeys(e.Space, now); len(keys) > 0 {
			m.requestHotMoves(HotArgs{
				Owner:   m.holder.Self(),
				Space:   e.Space,
				Keys:    keys,
				Servers: []ibishot.Server{m.selfLoad()},
			})
		}
	}
}

func (m *Manager) selfLoad() ibishot.Server {
	return ibishot.Server{
		Member:   m.holder.Self(),
		Capacity: m.loadMeter.capacity(m.announced.Slots),
		Load:     m.loadMeter.load,
	}
}

// localHotKeys returns the hot keys of a space that this node owns, and all its keys with owners of their own.
func (m *Manager) localHotKeys(space ibisid.SlotSpace, now time.Time) []HotKey {
	slots := m.pages.Slots(space)
	if !mayOverrideKeys(space) || slots == 0 {
		return nil
	}
	rates := m.loadMeter.rates(hotReportShare * m.loadMeter.capacity(m.announced.Slots))
	all := m.loadMeter.rates(0)
	for _, key := range m.holdings.hotKeys(nil) {
		if key.Space == space {
			rates[ibisslot.KeyHash(key.Hot)] = all[ibisslot.KeyHash(key.Hot)]
		}
	}
	var keys []HotKey
	for _, key := range slices.Sorted(maps.Keys(rates)) {
		if found, ok := m.hotKey(space, key, now); ok && key != 0 && !m.keyRules.recentlyRestricted(m.document, key, now) {
			found.PerSecond = rates[key]
			keys = append(keys, found)
		}
	}
	return keys
}

func (m *Manager) hotKey(space ibisid.SlotSpace, key ibisslot.KeyHash, now time.Time) (HotKey, bool) {
	id := ibisslot.PageID{
		Space:  space,
		Number: uint32(key.Slot(m.pages.Slots(space))) / ibisid.SlotsPerPage,
	}
	page, known := m.pages.Page(id)
	if !known || m.batches[id] != nil {
		return HotKey{}, false
	}
	if _, ok := m.movable(page, key, now); !ok {
		return HotKey{}, false
	}
	found := HotKey{
		Key:  key,
		Home: page.Slot(page.Position(key)).Owner,
	}
	if held := m.holdings.get(slotOfUnit(page, hotUnit(key))); held != nil {
		found.Override = true
		found.Age = now.Sub(held.acquiredAt)
	}
	return found, true
}

// requestHotMoves asks some members for their loads, then the deciding node which keys are to move.
func (m *Manager) requestHotMoves(args HotArgs) {
	targets := m.hotTargets(args)
	decider, address := m.hotDecider()
	m.hot.requestPending = true
	m.spawn(loadTimeout, func(ctx context.Context) outcome {
		for _, p := range targets {
			var reply LoadReply
			if m.call(ctx, p.Address, "Load", LoadArgs{}, &reply) == nil {
				args.Servers = append(args.Servers, ibishot.Server{
					Member:   p.Member,
					Capacity: reply.Capacity,
					Load:     reply.Load,
				})
			}
		}
		var reply HotReply
		if decider != args.Owner {
			_ = m.call(ctx, address, "Hot", args, &reply)
		}
		return func(now time.Time) {
			m.hot.requestPending = false
			if decider == args.Owner {
				reply.Changes = m.decideHot(args, now)
			}
			for _, c := range reply.Changes {
				m.log.Info("moving a hot key to another owner", zap.Float64("load", m.loadMeter.load), zap.String("to", string(c.To.Name)))
				m.planKeyMove(args.Space, c.Key, c.To)
			}
			m.startMoves(now)
		}
	})
}

// hotTargets returns a sample of the members that may own keys of the space, a different one each time, and the members
// that own the slots of keys with owners of their own.
func (m *Manager) hotTargets(args HotArgs) []Peer {
	homes := make(map[ibisid.Member]bool)
	for _, key := range args.Keys {
		homes[key.Home] = key.Override
	}
	var targets, others []Peer
	for _, p := range m.view.Load().byService[m.service] {
		if p.Member == args.Owner || !m.acceptsSlots(p.Member) || m.domains.out[p.Place.Domain] || !m.rules.Allowed(args.Space, p.Place) {
			continue
		}
		if homes[p.Member] {
			targets = append(targets, p)
		} else {
			others = append(others, p)
		}
	}
	m.hot.scans++
	for i := range min(loadSamples, len(others)) {
		j := i + int(ibisslot.MixHashes(ibisslot.MemberHash(args.Owner), m.hot.scans+uint64(i)<<32)%uint64(len(others)-i))
		others[i], others[j] = others[j], others[i]
		targets = append(targets, others[i])
	}
	return targets
}

// hotDecider returns the member that decides for the whole system, so that the bounds on hot keys hold for the whole
// system, and its address.
func (m *Manager) hotDecider() (ibisid.Member, string) {
	view := m.view.Load()
	members := make([]ibisid.Member, 0, len(view.byMember))
	for member := range view.byMember {
		members = append(members, member)
	}
	sortMembers(members)
	first := ibislease.ChooseCoordinators(hotDeciderKey, members, 1)
	if len(first) == 0 {
		return m.holder.Self(), ""
	}
	return first[0], view.byMember[first[0]].Address
}

// decideHot decides on the keys as the deciding node, within the bounds for the whole system.
func (m *Manager) decideHot(args HotArgs, now time.Time) []ibishot.Change {
	asked := make(map[ibisid.Slot]HotKey)
	var keys []ibishot.Placement
	for _, key := range args.Keys {
		asked[hotID(args.Space, key.Key)] = key
		keys = append(keys, ibishot.Placement{
			Key:       key.Key,
			Owner:     args.Owner,
			Override:  key.Override,
			Since:     now.Add(-key.Age),
			Home:      key.Home,
			PerSecond: key.PerSecond,
		})
	}
	for id := range m.currentOverrides(now) {
		if _, ok := asked[id]; !ok {
			keys = append(keys, ibishot.Placement{
				Key:      ibisslot.KeyHash(id.Hot),
				Override: true,
			})
		}
	}
	changes := m.hot.decider.Decide(now, keys, m.projectedLoads(args.Servers, now))
	for _, c := range changes {
		key := asked[hotID(args.Space, c.Key)]
		m.hot.decisions[hotID(args.Space, c.Key)] = hotDecision{
			to:          c.To,
			perSecond:   key.PerSecond,
			decidedAt:   now,
			newOverride: !key.Override,
		}
	}
	return changes
}

// currentOverrides returns the keys that have or are about to get owners of their own. For a service with rules for
// keys, only those that this node decided on count, because the page rows may list keys that rules placed.
func (m *Manager) currentOverrides(now time.Time) map[ibisid.Slot]bool {
	found := m.routes.overrides()
	for id := range found {
		if _, decidedHere := m.hot.decisions[id]; !decidedHere && m.document != nil && m.document.HasKeyRules(id.Space.Service) {
			delete(found, id)
		}
	}
	for id, d := range m.hot.decisions {
		switch {
		case now.Sub(d.decidedAt) > hotDecisionTTL && !found[id]:
			delete(m.hot.decisions, id)
		case d.newOverride:
			found[id] = true
		}
	}
	return found
}

// projectedLoads returns the servers with the load of keys added that were recently assigned to them, which their
// reports don't include yet.
func (m *Manager) projectedLoads(servers []ibishot.Server, now time.Time) []ibishot.Server {
	servers = slices.Clone(servers)
	for i := range servers {
		for _, d := range m.hot.decisions {
			if d.to == servers[i].Member && now.Sub(d.decidedAt) < loadDecayTime {
				servers[i].Load += d.perSecond
			}
		}
	}
	return servers
}

// hotID identifies a key of a space; the index of its slot is left out.
func hotID(space ibisid.SlotSpace, key ibisslot.KeyHash) ibisid.Slot {
	return ibisid.Slot{
		Space: space,
		Hot:   uint64(key),
	}
}

// hasOverride reports whether a key has an owner of its own.
func (r *routes) hasOverride(slot ibisid.Slot, key string) bool {
	page, ok := r.page(ibisslot.PageID{
		Space:  slot.Space,
		Number: slot.Page(),
	})
	if !ok {
		return false
	}
	_, hasOverride := page.Override(ibisslot.HashKey(key))
	return hasOverride
}

// overrides returns all keys that have owners of their own.
func (r *routes) overrides() map[ibisid.Slot]bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	found := make(map[ibisid.Slot]bool)
	r.pages.EachOverride(func(space ibisid.SlotSpace, o ibisslot.Override) { found[hotID(space, o.Key)] = true })
	return found
}

// Load returns the node's load.
func (c *calls) Load(_ LoadArgs, reply *LoadReply) error {
	c.manager.update(func(time.Time) {
		selfLoad := c.manager.selfLoad()
		reply.Load = selfLoad.Load
		reply.Capacity = selfLoad.Capacity
	})
	return nil
}

// Hot decides which hot keys of a member are to move.
func (c *calls) Hot(args HotArgs, reply *HotReply) error {
	c.manager.update(func(now time.Time) { reply.Changes = c.manager.decideHot(args, now) })
	return nil
}
