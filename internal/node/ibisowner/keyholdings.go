package ibisowner

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// keyHoldings is the state of single keys in the holding of a slot; it is empty for a hot key. The lock of the holdings
// must be held.
type keyHoldings struct {
	running    map[ibisslot.KeyHash]int
	overridden []ibisslot.KeyHash
	onIdle     map[ibisslot.KeyHash]func()
}

func newKeyHoldings(overrides []ibisslot.KeyHash) keyHoldings {
	return keyHoldings{
		running:    make(map[ibisslot.KeyHash]int),
		overridden: overrides,
		onIdle:     make(map[ibisslot.KeyHash]func()),
	}
}

// isOverridden reports whether the key has an owner of its own.
func (k *keyHoldings) isOverridden(key ibisslot.KeyHash) bool {
	return slices.Contains(k.overridden, key)
}

// stopped reports whether the key is about to get an owner of its own.
func (k *keyHoldings) stopped(key ibisslot.KeyHash) bool {
	_, ok := k.onIdle[key]
	return ok
}

func (k *keyHoldings) beginRequest(key ibisslot.KeyHash) {
	if k.running != nil {
		k.running[key]++
	}
}

// endRequest ends a request of the key and returns the function to call if it was the last one, otherwise nil.
func (k *keyHoldings) endRequest(key ibisslot.KeyHash) func() {
	if k.running == nil {
		return nil
	}
	if k.running[key]--; k.running[key] > 0 {
		return nil
	}
	delete(k.running, key)
	idle := k.onIdle[key]
	if idle != nil {
		k.onIdle[key] = nil
	}
	return idle
}

// stopKey makes new requests of a key in a slot's holding wait. It returns true if none runs, otherwise it calls idle
// after the last one.
func (h *holdings) stopKey(key ibisid.Slot, idle func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[key.WithoutHotKey()]
	if found == nil {
		return true
	}
	hash := ibisslot.KeyHash(key.Hot)
	if found.keys.running[hash] == 0 {
		found.keys.onIdle[hash] = nil
		return true
	}
	found.keys.onIdle[hash] = idle
	return false
}

// resumeKey admits requests of a key to the slot's holding again.
func (h *holdings) resumeKey(key ibisid.Slot, token ibisid.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found := h.held[key.WithoutHotKey()]; found != nil && found.token() == token {
		delete(found.keys.onIdle, ibisslot.KeyHash(key.Hot))
		h.wakeWaiters(key)
	}
}

// setOverridden sets which keys of a slot have owners of their own; the slot's holding admits none of them from then
// on. It returns the keys that requests may wait for.
func (h *holdings) setOverridden(slot ibisid.Slot, overrides []ibisslot.KeyHash) []ibisid.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.held[slot]
	if found == nil {
		return nil
	}
	found.keys.overridden = overrides
	var changed []ibisid.Slot
	for _, key := range overrides {
		if _, ok := found.keys.onIdle[key]; ok {
			delete(found.keys.onIdle, key)
			slot.Hot = uint64(key)
			changed = append(changed, slot)
		}
	}
	return changed
}

// mergeKey removes the holding of a hot key and sets the token and the remaining overridden keys of its slot. The caller
// must have merged the memories, and must call notify after it has updated the routes.
func (h *holdings) mergeKey(key ibisid.Slot, token ibisid.Token, overrides []ibisslot.KeyHash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	whole := h.held[key.WithoutHotKey()]
	if hot := h.held[key]; hot != nil {
		hot.gone.Store(true)
		delete(h.held, key)
		h.hot--
	}
	whole.rawToken.Store(uint64(token))
	whole.keys.overridden = overrides
}

// hotKeys returns the hot keys that the node owns on a page, or on all pages if page is nil, in order.
func (h *holdings) hotKeys(page *ibisslot.PageID) []ibisid.Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hot == 0 {
		return nil
	}
	var keys []ibisid.Slot
	for slot := range h.held {
		if slot.Hot != 0 && (page == nil || slot.Space == page.Space && slot.Page() == page.Number) {
			keys = append(keys, slot)
		}
	}
	slices.SortFunc(keys, func(a, b ibisid.Slot) int {
		return cmp.Or(cmp.Compare(a.Space.String(), b.Space.String()), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Hot, b.Hot))
	})
	return keys
}

// hotCount returns the number of owned hot keys.
func (h *holdings) hotCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hot
}

// overriddenKeys returns the keys of a slot that have owners of their own.
func overriddenKeys(page *ibisslot.Page, position int) []ibisslot.KeyHash {
	var keys []ibisslot.KeyHash
	for _, o := range page.Overrides() {
		if page.Position(o.Key) == position {
			keys = append(keys, o.Key)
		}
	}
	return keys
}
