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
func (k *Manager) Self() Peer { return *k.selfPeer.Load() }

// Owner returns the owner of a key, and false if the owner is unknown or not live.
func (k *Manager) Owner(slot ibisid.Slot, key string) (Peer, bool) {
	view := k.view.Load()
	if owner, ok := k.hints.get(hintKey(slot, key), k.timer.Now()); ok {
		if p, ok := view.byMember[owner]; ok {
			return *p, true
		}
	}
	a, ok := k.routes.locate(slot, key)
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
func (k *Manager) RecordOwnerHint(slot ibisid.Slot, key string, owner ibisid.Member) {
	if a, ok := k.routes.locate(slot, key); ok && a.Owner == owner {
		return
	}
	k.hints.put(hintKey(slot, key), owner, k.timer.Now())
}

// Ready reports whether the lease is valid and the pages of the node's own service are known.
func (k *Manager) Ready() bool {
	ready := false
	k.update(func(now time.Time) {
		_, valid := k.holder.Valid(now)
		ready = valid && k.document != nil && !k.pagesMissing()
	})
	return ready
}

// Servers returns the live nodes whose backend servers serve the service, and a generation that grows with each change.
func (k *Manager) Servers(service ibisid.ServiceName) ([]Peer, uint64) {
	view := k.view.Load()
	return view.byService[service], view.generation
}

// AcquirePermit returns a permit to run a request of the key here. It waits up to admitWaitTimeout or until the deadline of
// the context while the slot moves, and returns a NotOwnerError if the request cannot run here.
func (k *Manager) AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (*Permit, error) {
	end := k.timer.Now().Add(admitWaitTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(end) {
		end = deadline
	}
	for {
		permit, wait, until := k.tryAdmit(slot, key)
		if permit != nil {
			return permit, nil
		}
		now := k.timer.Now()
		if wait == nil || !now.Before(end) {
			return nil, k.notOwner(slot, key)
		}
		if until.IsZero() || until.After(end) {
			until = end
		}
		if !k.wait(ctx, wait, until.Sub(now)) {
			return nil, k.notOwner(slot, key)
		}
	}
}

// tryAdmit returns a permit, or a channel to wait for and optionally the time of the next attempt, or neither if the
// node owns neither the slot nor the key.
func (k *Manager) tryAdmit(slot ibisid.Slot, key string) (*Permit, <-chan struct{}, time.Time) {
	now := k.timer.Now()
	hash := ibisslot.HashKey(key)
	if wait, diverted := k.divert(slot, key, hash, now); diverted {
		return nil, wait, now.Add(placeRetryInterval)
	}
	held, wait, until := k.holdings.beginRequest(slot, hash, now)
	if held != nil {
		if k.lease.left(now) <= 0 {
			k.holdings.endRequest(held, hash)
			return nil, nil, time.Time{}
		}
		k.loadMeter.observe(slot.Space, hash)
		return &Permit{
			manager: k,
			holding: held,
			key:     hash,
			began:   now,
		}, nil, time.Time{}
	}
	if wait != nil {
		return nil, wait, until
	}
	if k.unclaimedRecords.Load() == 0 {
		return nil, nil, time.Time{}
	}
	return nil, k.awaitArrival(slot, hash), time.Time{}
}

// awaitArrival returns a channel that closes when a hot key or its slot arrives whose memory was already handed over,
// otherwise nil.
func (k *Manager) awaitArrival(slot ibisid.Slot, key ibisslot.KeyHash) <-chan struct{} {
	var wait <-chan struct{}
	k.update(func(now time.Time) {
		id := ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		}
		hot := slot
		hot.Hot = uint64(key)
		for _, s := range []ibisid.Slot{hot, slot} {
			if k.receiver.Queue(now, id, unitOfSlot(s)) {
				wait = k.holdings.await(s)
				return
			}
		}
	})
	return wait
}

func (k *Manager) wait(ctx context.Context, changed <-chan struct{}, atMost time.Duration) bool {
	timeout := make(chan struct{})
	timer := k.timer.After(atMost, func(time.Time) { close(timeout) })
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
func (k *Manager) notOwner(slot ibisid.Slot, key string) error {
	a, ok := k.routes.locate(slot, key)
	if !ok || a.Owner == k.Self().Member {
		return &NotOwnerError{}
	}
	return &NotOwnerError{Owner: a.Owner}
}
