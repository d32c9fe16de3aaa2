package ibisowner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// holding is a slot or hot key that the node owns under one token.
type holding struct {
	slot       ibisid.Slot
	rawToken   atomic.Uint64
	readyAt    time.Time
	acquiredAt time.Time
	gone       atomic.Bool
	keys       keyHoldings

	running int
	stopped bool
	idle    func()
}

// token returns the fencing token, which changes only when a hot key returns to its slot.
func (h *holding) token() ibisid.Token { return ibisid.Token(h.rawToken.Load()) }

// holdings are the slots and hot keys that the node owns, and the channels of requests that wait for one.
type holdings struct {
	mu      sync.Mutex
	held    map[ibisid.Slot]*holding
	waiters map[ibisid.Slot]chan struct{}
	hot     int
}

func newHoldings() *holdings {
	return &holdings{
		held:    make(map[ibisid.Slot]*holding),
		waiters: make(map[ibisid.Slot]chan struct{}),
	}
}

// beginRequest starts a request of a key and returns its holding. If the request must wait, it returns a channel that
// closes at the next change and, where known, the time at which the slot is ready. Both are zero if the node owns
// neither the key nor its slot.
func (h *holdings) beginRequest(slot ibisid.Slot, key ibisslot.KeyHash, now time.Time) (*holding, <-chan struct{}, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil || found.keys.isOverridden(key) {
		slot.Hot = uint64(key)
		found = h.held[slot]
	}
	switch {
	case found == nil:
		return nil, nil, time.Time{}
	case found.stopped:
		return nil, h.waiter(slot), time.Time{}
	case found.keys.stopped(key):
		slot.Hot = uint64(key)
		return nil, h.waiter(slot), time.Time{}
	case now.Before(found.readyAt):
		return nil, h.waiter(slot), found.readyAt
	}
	found.running++
	found.keys.beginRequest(key)
	return found, nil, time.Time{}
}

// await returns a channel that closes at the next change of the slot.
func (h *holdings) await(slot ibisid.Slot) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiter(slot)
}

func (h *holdings) waiter(slot ibisid.Slot) chan struct{} {
	c := h.waiters[slot]
	if c == nil {
		c = make(chan struct{})
		h.waiters[slot] = c
	}
	return c
}

func (h *holdings) wakeWaiters(slot ibisid.Slot) {
	if c := h.waiters[slot]; c != nil {
		close(c)
		delete(h.waiters, slot)
	}
}

func (h *holdings) endRequest(found *holding, key ibisslot.KeyHash) {
	h.mu.Lock()
	found.running--
	keyIdle := found.keys.endRequest(key)
	var unitIdle func()
	if found.running == 0 {
		unitIdle = found.idle
		found.idle = nil
	}
	h.mu.Unlock()
	if keyIdle != nil {
		keyIdle()
	}
	if unitIdle != nil {
		unitIdle()
	}
}

// get returns the holding of a slot or hot key, or nil.
func (h *holdings) get(slot ibisid.Slot) *holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[slot]
}

// put adds a holding for a slot without its overridden keys, or for a hot key. The caller must call notify after it has
// updated the routes.
func (h *holdings) put(slot ibisid.Slot, token ibisid.Token, now, readyAt time.Time, overrides []ibisslot.KeyHash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.held[slot]
	if old != nil {
		old.gone.Store(true)
	}
	found := &holding{
		slot:       slot,
		readyAt:    readyAt,
		acquiredAt: now,
	}
	found.rawToken.Store(uint64(token))
	if slot.Hot == 0 {
		found.keys = newKeyHoldings(overrides)
	} else if old == nil {
		h.hot++
	}
	h.held[slot] = found
}

// drop removes a holding and reports whether there was one. The caller must call notify after it has updated the
// routes.
func (h *holdings) drop(slot ibisid.Slot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil {
		return false
	}
	found.gone.Store(true)
	delete(h.held, slot)
	if slot.Hot != 0 {
		h.hot--
	}
	return true
}

// clear removes every holding and returns their slots and hot keys.
func (h *holdings) clear() []ibisid.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	slots := make([]ibisid.Slot, 0, len(h.held))
	for slot, found := range h.held {
		found.gone.Store(true)
		slots = append(slots, slot)
	}
	clear(h.held)
	h.hot = 0
	for slot := range h.waiters {
		h.wakeWaiters(slot)
	}
	return slots
}

// stop makes new requests wait. It returns true if no request runs, otherwise it calls idle after the last one.
func (h *holdings) stop(slot ibisid.Slot, idle func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil {
		return true
	}
	found.stopped = true
	if found.running == 0 {
		return true
	}
	found.idle = idle
	return false
}

// resume admits requests again and reports whether the node still owns the slot under the token.
func (h *holdings) resume(slot ibisid.Slot, token ibisid.Token) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil || found.token() != token {
		return false
	}
	found.stopped = false
	found.idle = nil
	h.wakeWaiters(slot)
	return true
}

// notify wakes the requests that wait for a slot or hot key.
func (h *holdings) notify(slot ibisid.Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeWaiters(slot)
}

// count returns the number of owned slots and hot keys.
func (h *holdings) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
