package ibishot

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// maxWeight is the weight of one observation at which all counts are scaled down, so that they do not overflow.
const maxWeight = 1e12

// Key is the hash of a key within a slot space. Each space has its own sketch.
type Key = ibisslot.KeyHash

// Rate is the estimated rate of a key.
type Rate struct {
	// Key is the hash of the key.
	Key Key
	// PerSecond is the upper bound of the estimate, in requests per second.
	PerSecond float64
	// Error is the maximum overestimate of PerSecond, in requests per second.
	Error float64
}

// Sketch counts the most frequent keys in bounded memory by the space-saving algorithm. Counts decay exponentially.
// It is not safe for concurrent use.
type Sketch struct {
	capacity  int
	decayTime time.Duration
	// start is the time at which an observation had the weight 1.
	start time.Time
	// weight is the weight of an observation at the present time. Raising it has the same effect as decaying all counts.
	weight   float64
	counters counterHeap
}

// NewSketch returns a sketch of at most capacity keys. Counts decay by a factor of e per decayTime.
func NewSketch(capacity int, decayTime time.Duration, now time.Time) *Sketch {
	return &Sketch{
		capacity:  capacity,
		decayTime: decayTime,
		start:     now,
		weight:    1,
		counters:  counterHeap{index: make(map[Key]int, capacity)},
	}
}

// Advance sets the time of the observations that follow. One call per second is sufficient.
func (s *Sketch) Advance(now time.Time) {
	s.weight = math.Exp(float64(now.Sub(s.start)) / float64(s.decayTime))
	if s.weight < maxWeight {
		return
	}
	for i := range s.counters.list {
		s.counters.list[i].count /= s.weight
		s.counters.list[i].error /= s.weight
	}
	s.start = now
	s.weight = 1
}

// Observe counts one request for a key.
func (s *Sketch) Observe(key Key) {
	if i, ok := s.counters.index[key]; ok {
		s.counters.list[i].count += s.weight
		heap.Fix(&s.counters, i)
		return
	}
	if len(s.counters.list) < s.capacity {
		heap.Push(&s.counters, counter{
			key:   key,
			count: s.weight,
		})
		return
	}
	least := &s.counters.list[0]
	delete(s.counters.index, least.key)
	s.counters.index[key] = 0
	least.key = key
	least.error = least.count
	least.count += s.weight
	heap.Fix(&s.counters, 0)
}

// Top returns the keys whose rate is at least perSecond even by the lower bound of the estimate, highest rate first.
func (s *Sketch) Top(perSecond float64) []Rate {
	scale := 1 / (s.weight * s.decayTime.Seconds())
	var top []Rate
	for _, c := range s.counters.list {
		if (c.count-c.error)*scale < perSecond {
			continue
		}
		top = append(top, Rate{
			Key:       c.key,
			PerSecond: c.count * scale,
			Error:     c.error * scale,
		})
	}
	slices.SortFunc(top, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Key, b.Key))
	})
	return top
}

type counter struct {
	key   Key
	count float64
	error float64
}

// counterHeap is a min-heap of counters by count, with an index of the keys.
type counterHeap struct {
	list  []counter
	index map[Key]int
}

func (h *counterHeap) Len() int { return len(h.list) }

func (h *counterHeap) Less(i, j int) bool { return h.list[i].count < h.list[j].count }

func (h *counterHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.index[h.list[i].key] = i
	h.index[h.list[j].key] = j
}

func (h *counterHeap) Push(x any) {
	c := x.(counter)
	h.index[c.key] = len(h.list)
	h.list = append(h.list, c)
}

func (h *counterHeap) Pop() any {
	last := len(h.list) - 1
	c := h.list[last]
	h.list = h.list[:last]
	delete(h.index, c.key)
	return c
}
