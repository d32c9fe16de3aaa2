package ibisowner

import (
	"fmt"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
)

// Permit is the permission to run requests of one key under the node's ownership.
type Permit struct {
	manager *Manager
	holding *holding
	key     ibisslot.KeyHash
	began   time.Time
	once    sync.Once
}

// Grant returns the slot, token and lease end for a backend server that checks grants.
func (p *Permit) Grant() ibisbackend.Grant {
	now := p.manager.timer.Now()
	return ibisbackend.Grant{
		Slot:  p.holding.slot.String(),
		Token: p.holding.token(),
		Until: now.Add(max(0, p.manager.lease.left(now))).Truncate(time.Millisecond),
	}
}

// Check must be called right before a request is handed to the backend server. It returns a NotOwnerError if the node
// no longer owns the key or its lease has lapsed, and never blocks.
func (p *Permit) Check() error {
	if p.holding.gone.Load() || p.manager.lease.left(p.manager.timer.Now()) <= 0 {
		return &NotOwnerError{}
	}
	return nil
}

// Release ends the use of the permit, for which a planned move waits; further calls have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		p.manager.loadMeter.ended(p.manager.timer.Now().Sub(p.began))
		p.manager.holdings.endRequest(p.holding, p.key)
	})
}

// Slot returns the identity under which the at-most-once memory of the key is kept: its slot, or the key itself if it
// has an owner of its own.
func (p *Permit) Slot() ibisid.Slot { return p.holding.slot }

// NotOwnerError reports that the node may not run requests of a key.
type NotOwnerError struct {
	// Owner is the owner of the key according to this node's routes, zero if that is unknown or this node itself.
	Owner ibisid.Member
}

// Error names the owner of the key if it is known.
func (e *NotOwnerError) Error() string {
	if e.Owner.IsZero() {
		return "not the owner of the key, or the lease has lapsed"
	}
	return fmt.Sprintf("not the owner of the key, which is %s", e.Owner.Name)
}
