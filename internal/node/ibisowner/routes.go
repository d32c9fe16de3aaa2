package ibisowner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	maxHints = 4096
	hintTTL  = 10 * time.Second
)

// routes is the ownership map for requests, with the pages of all services.
type routes struct {
	mu    sync.RWMutex
	pages *ibisslot.Map
}

func newRoutes() *routes { return &routes{pages: ibisslot.NewMap()} }

// locate returns the assignment of a key, which is that of its slot unless the key has an override, and whether it has
// an owner.
func (r *routes) locate(slot ibisid.Slot, key string) (ibisslot.Assignment, bool) {
	hash := ibisslot.HashKey(key)
	r.mu.RLock()
	defer r.mu.RUnlock()
	if slots := r.pages.Slots(slot.Space); slots > 0 && hash.Slot(slots) == slot.Index {
		return r.pages.LocateKey(slot.Space, hash)
	}
	return r.pages.Locate(slot)
}

func (r *routes) addSpace(space ibisid.SlotSpace, slots uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pages.AddSpace(space, slots)
}

func (r *routes) apply(page *ibisslot.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pages.Apply(page)
}

func (r *routes) page(id ibisslot.PageID) (*ibisslot.Page, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pages.Page(id)
}

// hints are the owners that other nodes reported, until the page arrives or hintTTL has passed.
type hints struct {
	count  atomic.Int64
	mu     sync.Mutex
	bySlot map[ibisid.Slot]hint
}

type hint struct {
	owner ibisid.Member
	at    time.Time
}

func newHints() *hints { return &hints{bySlot: make(map[ibisid.Slot]hint)} }

func (h *hints) get(slot ibisid.Slot, now time.Time) (ibisid.Member, bool) {
	if h.count.Load() == 0 {
		return ibisid.Member{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.bySlot[slot]
	if !ok || now.Sub(found.at) > hintTTL {
		return ibisid.Member{}, false
	}
	return found.owner, true
}

func (h *hints) put(slot ibisid.Slot, owner ibisid.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bySlot) >= maxHints {
		clear(h.bySlot)
	}
	h.bySlot[slot] = hint{
		owner: owner,
		at:    now,
	}
	h.count.Store(int64(len(h.bySlot)))
}

// dropPage drops the hints of a page that has arrived.
func (h *hints) dropPage(id ibisslot.PageID) {
	if h.count.Load() == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range h.bySlot {
		if slot.Space == id.Space && slot.Page() == id.Number {
			delete(h.bySlot, slot)
		}
	}
	h.count.Store(int64(len(h.bySlot)))
}

// hasMember reports whether any known page contains the member.
func (r *routes) hasMember(m ibisid.Member) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pages.References(m)
}
