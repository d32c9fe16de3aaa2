package probe

import (
	"sync"
	"time"
)

const (
	// keys is the number of keys of a service.
	keys = 1 << 16
	// overlapLimit is how long two backend servers may hold the same keys.
	overlapLimit = 500 * time.Millisecond
)

// hold is a span of keys that a backend server holds until a time.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

func (h hold) has(key int) bool { return h.from <= key && key <= h.to }

func (h hold) overlaps(other hold) bool { return h.from <= other.to && other.from <= h.to }

// run is a request at work.
type run struct {
	id    string
	key   int
	began time.Time
}

// taken is a span that a backend server took.
type taken struct {
	hold
	backend *backend
}

// pair names two backend servers.
type pair [2]*backend

// overlap is a time in which two backend servers hold the same keys.
type overlap struct {
	since    time.Time
	reported bool
	// begins is how many requests each of the two has begun on such keys since then.
	begins       [2]int
	beginsBroken bool
}

// judge judges the rule OWNER by what backend servers take and run. Its lock guards their state, too.
type judge struct {
	*record
	mu       sync.Mutex
	backends []*backend
	taken    []taken
	overlaps map[pair]*overlap
}

func newJudge(r *record) *judge {
	j := &judge{
		record:   r,
		overlaps: make(map[pair]*overlap),
	}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			j.mu.Lock()
			j.checkOverlaps(time.Now())
			j.mu.Unlock()
		}
	}()
	return j
}

// heldKeys returns the number of keys that backend servers hold.
func (j *judge) heldKeys() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n, now := 0, time.Now()
	for _, b := range j.backends {
		for _, h := range b.holds {
			if b.up && now.Before(h.until) {
				n += h.to - h.from + 1
			}
		}
	}
	return n
}

// holder returns the backend server that holds a key, nil if none does.
func (j *judge) holder(key int) *backend {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range j.backends {
		if _, ok := b.holdOf(key, time.Now()); ok && b.up {
			return b
		}
	}
	return nil
}

// take judges that a backend server takes a span that it didn't have; j.mu is held.
func (j *judge) take(b *backend, h hold) {
	now := time.Now()
	j.line("%s (born %d) takes keys %d to %d under epoch %d", b.id, b.born, h.from, h.to, h.fence)
	for _, other := range j.backends {
		if other == b || !other.up {
			continue
		}
		for _, r := range other.runs {
			if o, ok := other.holdOf(r.key, now); ok && h.has(r.key) {
				j.breaks("OWNER: %s is given keys %d to %d under epoch %d while %s is still at work on key %d (request %s, epoch %d), whose hold runs out %d ms later",
					b.id, h.from, h.to, h.fence, other.id, r.key, r.id, o.fence, o.until.Sub(now).Milliseconds())
			}
		}
	}
	for _, t := range j.taken {
		if t.backend != b && t.overlaps(h) && t.fence >= h.fence {
			j.breaks("OWNER: %s takes keys %d to %d under epoch %d, which isn't above epoch %d under which %s had them", b.id, h.from, h.to, h.fence, t.fence, t.backend.id)
		}
	}
	j.taken = append(j.taken, taken{
		hold:    h,
		backend: b,
	})
}

// begin judges that a backend server begins to work on a request; j.mu is held.
func (j *judge) begin(b *backend, key int) {
	now := time.Now()
	j.checkOverlaps(now)
	for p, o := range j.overlaps {
		for side, other := range []*backend{p[1], p[0]} {
			if p[side] != b {
				continue
			}
			if _, ok := other.holdOf(key, now); ok {
				o.begins[side]++
			}
		}
		if o.begins[0] > 0 && o.begins[1] > 0 && !o.beginsBroken {
			o.beginsBroken = true
			j.breaks("OWNER: %s and %s hold the same keys, and both have begun requests on such keys", p[0].id, p[1].id)
		}
	}
}

// checkOverlaps judges how long two backend servers that are up hold the same keys; j.mu is held.
func (j *judge) checkOverlaps(now time.Time) {
	for i, a := range j.backends {
		for _, b := range j.backends[i+1:] {
			p := pair{a, b}
			if !overlaps(a, b, now) {
				delete(j.overlaps, p)
				continue
			}
			o := j.overlaps[p]
			if o == nil {
				o = &overlap{
					since: now,
				}
				j.overlaps[p] = o
			}
			if now.Sub(o.since) > overlapLimit && !o.reported {
				o.reported = true
				j.breaks("OWNER: %s and %s have held the same keys for over %d ms", a.id, b.id, overlapLimit.Milliseconds())
			}
		}
	}
}

func overlaps(a, b *backend, now time.Time) bool {
	if !a.up || !b.up {
		return false
	}
	for _, h := range a.holds {
		for _, o := range b.holds {
			if h.overlaps(o) && now.Before(h.until) && now.Before(o.until) {
				return true
			}
		}
	}
	return false
}
