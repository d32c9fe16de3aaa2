package ibisowner

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// admitWaitTimeout is how long a request waits for a slot that moves or is not ready.
const admitWaitTimeout = 5 * time.Second

// Self returns the peer entry of this node.
func (m *Manager) Self() Peer { return *m.selfPeer.Load() }

// Owner returns the owner of a key, and false if the owner is unknown or not live.
func (m *Manager) Owner(slot ibisid.Slot, key string) (Peer, bool) {
	view := m.view.Load()
	if owner, ok := m.hints.get(hintKey(slot, key), m.timer.Now()); ok {
		if p, ok := view.byMember[owner]; ok {
			return *p, true
		}
	}
	a, ok := m.routes.locate(slot, key)
	if !ok {
		return Peer{}, false
	}
	p, ok := view.byMember[a.Owner]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// RecordOwnerHint records which member owns the key according to another node.
func (m *Manager) RecordOwnerHint(slot ibisid.Slot, key string, owner ibisid.Member) {
	if a, ok := m.routes.locate(slot, key); ok && a.Owner == owner {
		return
	}
	m.hints.put(hintKey(slot, key), owner, m.timer.Now())
}

// Ready reports whether the lease is valid and the pages of the node's own service are known.
func (m *Manager) Ready() bool {
	ready := false
	m.update(func(now time.Time) {
		_, valid := m.holder.Valid(now)
		ready = valid && m.document != nil && !m.pagesMissing()
	})
	return ready
}

// Servers returns the live nodes whose backend servers serve the service, and a generation that grows with each change.
func (m *Manager) Servers(service ibisid.ServiceName) ([]Peer, uint64) {
	view := m.view.Load()
	return view.byService[service], view.generation
}

// AcquirePermit returns a permit to run a request of the key here. It waits up to admitWaitTimeout or until the deadline of
// the context while the slot moves, and returns a NotOwnerError if the request cannot run here.
func (m *Manager) AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (*Permit, error) {
	end := m.timer.Now().Add(admitWaitTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(end) {
		end = deadline
	}
	for {
		permit, wait, until := m.tryAdmit(slot, key)
		if permit != nil {
			return permit, nil
		}
		now := m.timer.Now()
		if wait == nil || !now.Before(end) {
			return nil, m.notOwner(slot, key)
		}
		if until.IsZero() || until.After(end) {
			until = end
		}
		if !m.wait(ctx, wait, until.Sub(now)) {
			return nil, m.notOwner(slot, key)
		}
	}
}

// tryAdmit returns a permit, or a channel to wait for and optionally the time of the next attempt, or neither if the
// node owns neither the slot nor the key.
func (m *Manager) tryAdmit(slot ibisid.Slot, key string) (*Permit, <-chan struct{}, time.Time) {
	now := m.timer.Now()
	hash := ibisslot.HashKey(key)
	if wait, diverted := m.divert(slot, key, hash, now); diverted {
		return nil, wait, now.Add(placeRetryInterval)
	}
	held, wait, until := m.holdings.beginRequest(slot, hash, now)
	if held != nil {
		if m.lease.left(now) <= 0 {
			m.holdings.endRequest(held, hash)
			return nil, nil, time.Time{}
		}
		m.loadMeter.observe(slot.Space, hash)
		return &Permit{
			manager: m,
			holding: held,
			key:     hash,
			began:   now,
		}, nil, time.Time{}
	}
	if wait != nil {
		return nil, wait, until
	}
	if m.unclaimedRecords.Load() == 0 {
		return nil, nil, time.Time{}
	}
	return nil, m.awaitArrival(slot, hash), time.Time{}
}

// awaitArrival returns a channel that closes when a hot key or its slot arrives whose memory was already handed over,
// otherwise nil.
func (m *Manager) awaitArrival(slot ibisid.Slot, key ibisslot.KeyHash) <-chan struct{} {
	var wait <-chan struct{}
	m.update(func(now time.Time) {
		id := ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		}
		hot := slot
		hot.Hot = uint64(key)
		for _, s := range []ibisid.Slot{hot, slot} {
			if m.receiver.Queue(now, id, unitOfSlot(s)) {
				wait = m.holdings.await(s)
				return
			}
		}
	})
	return wait
}

// wait returns once the channel closes or the time has passed, and false if the context ends first.
func (m *Manager) wait(ctx context.Context, changed <-chan struct{}, atMost time.Duration) bool {
	timeout := make(chan struct{})
	timer := m.timer.After(atMost, func(time.Time) { close(timeout) })
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timeout:
		return true
	case <-ctx.Done():
		return false
	}
}

// notOwner returns a NotOwnerError with the owner from the routes, but never with the node itself.
func (m *Manager) notOwner(slot ibisid.Slot, key string) error {
	a, ok := m.routes.locate(slot, key)
	if !ok || a.Owner == m.Self().Member {
		return &NotOwnerError{}
	}
	return &NotOwnerError{Owner: a.Owner}
}
