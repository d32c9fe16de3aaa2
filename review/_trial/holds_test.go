package trial

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

// clockSlow is how much longer than granted a backend server holds keys: its clock may run 2% slow.
const clockSlow = 1.02

// held is a range of keys that a backend server holds; dropped means that it is to be released when the work on it has ended.
type held struct {
	from, to int
	token    uint64
	until    time.Time
	dropped  bool
}

// ownership is what a backend server of a service that is divided by key knows of its keys.
type ownership struct {
	mu    sync.Mutex
	holds []held
	freed [][3]any
	// busy counts the running requests by key, and seen holds the highest token by key.
	busy map[int]int
	seen map[int]uint64
}

func newOwnership() *ownership {
	return &ownership{busy: make(map[int]int), seen: make(map[int]uint64)}
}

// report returns the lists of a heartbeat.
func (o *ownership) report() (holds, freed [][3]any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle()
	holds = [][3]any{}
	for _, h := range o.holds {
		holds = append(holds, [3]any{h.from, h.to, h.token})
	}
	return holds, slices.Clone(o.freed)
}

// settle drops what has run out and releases what is to be released and has no work; o.mu is held.
func (o *ownership) settle() {
	now := time.Now()
	o.holds = slices.DeleteFunc(o.holds, func(h held) bool {
		if h.dropped && !o.working(h) {
			o.freed = append(o.freed, [3]any{h.from, h.to, fmt.Sprintf("h-%d-%d", h.from, h.token)})
			return true
		}
		return !now.Before(h.until)
	})
}

func (o *ownership) working(h held) bool {
	for key, n := range o.busy {
		if n > 0 && h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

// pendingRelease reports whether a release is not done or not reported yet.
func (o *ownership) pendingRelease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle()
	return len(o.freed) > 0 || slices.ContainsFunc(o.holds, func(h held) bool { return h.dropped })
}

// take applies the answer to a heartbeat that was sent at the time and reported so many releases.
func (o *ownership) take(text []byte, sent time.Time, reported int) {
	var answer struct {
		Holds  *[][4]json.RawMessage `json:"holds"`
		HoldMs int64                 `json:"holdMs"`
	}
	if json.Unmarshal(text, &answer) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.freed = o.freed[min(reported, len(o.freed)):]
	if answer.Holds == nil {
		return
	}
	until := sent.Add(time.Duration(float64(answer.HoldMs)*clockSlow) * time.Millisecond)
	var next []held
	for _, row := range *answer.Holds {
		h := held{until: until}
		if json.Unmarshal(row[0], &h.from) != nil || json.Unmarshal(row[1], &h.to) != nil || json.Unmarshal(row[2], &h.token) != nil {
			continue
		}
		next = append(next, h)
	}
	for _, old := range o.holds {
		if !slices.ContainsFunc(next, func(h held) bool { return h.from <= old.from && old.to <= h.to }) {
			old.dropped = true
			next = append(next, old)
		}
	}
	o.holds = next
	o.settle()
}

// begin reports whether the server holds the key, and counts the request that works on it.
func (o *ownership) begin(key int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle()
	for _, h := range o.holds {
		if !h.dropped && h.from <= key && key <= h.to {
			o.busy[key]++
			return true
		}
	}
	return false
}

func (o *ownership) end(key int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy[key]--
}

// spans returns what the server holds now.
func (o *ownership) spans() []held {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle()
	return slices.Clone(o.holds)
}

// sharedKeys returns the number of keys that two servers which are up hold at this moment, and one of them.
func sharedKeys(backends []*backend) (count, example int, first, second string) {
	for i, a := range backends {
		for _, b := range backends[i+1:] {
			if a.owned == nil || b.owned == nil || !a.up.Load() || !b.up.Load() || a.service != b.service {
				continue
			}
			theirs := b.owned.spans()
			for _, h := range a.owned.spans() {
				for _, other := range theirs {
					from, to := max(h.from, other.from), min(h.to, other.to)
					if from <= to {
						count += to - from + 1
						example, first, second = from, a.id, b.id
					}
				}
			}
		}
	}
	return count, example, first, second
}

// watchHolds samples the keys with two holders until stop is closed, and returns the longest time that there were some.
func (w *world) watchHolds(stop <-chan struct{}) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		var since time.Time
		var longest time.Duration
		for {
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(10 * time.Millisecond):
			}
			w.mu.Lock()
			backends := slices.Clone(w.backends)
			w.mu.Unlock()
			count, example, first, second := sharedKeys(backends)
			switch {
			case count == 0:
				if !since.IsZero() {
					w.note("no key has two holders any more, after %s", time.Since(since))
				}
				since = time.Time{}
			case since.IsZero():
				since = time.Now()
				w.note("%d keys have two holders, %s and %s hold key %d", count, first, second, example)
			default:
				longest = max(longest, time.Since(since))
			}
		}
	}()
	return result
}
