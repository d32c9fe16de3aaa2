package ibisowner

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibishot"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	sketchShards = 8
	// sketchKeysPerShard is the number of keys that a shard counts.
	sketchKeysPerShard = 64
	// loadDecayTime is the time in which counts and loads decay by a factor of e.
	loadDecayTime = 15 * time.Second
	// initialServiceTime is the mean time of a request until the first one has ended.
	initialServiceTime = 10 * time.Millisecond
)

// loadMeter counts admitted requests by key and measures how long requests run. It takes no control lock, but the
// fields from lastAdvance on need it.
type loadMeter struct {
	shards           [sketchShards]sketchShard
	finishedRequests atomic.Int64
	busyNanos        atomic.Int64

	lastAdvance     time.Time
	finishedTotal   int64
	busyTotal       int64
	load            float64
	meanServiceTime time.Duration
}

type sketchShard struct {
	mu     sync.Mutex
	sketch *ibishot.Sketch
}

func newLoadMeter(now time.Time) *loadMeter {
	h := &loadMeter{
		lastAdvance:     now,
		meanServiceTime: initialServiceTime,
	}
	for i := range h.shards {
		h.shards[i].sketch = ibishot.NewSketch(sketchKeysPerShard, loadDecayTime, now)
	}
	return h
}

// mayOverrideKeys reports whether keys of the space may get owners of their own. A tenant with home regions is
// excluded, because the page row holds the hash of the key and is stored outside these regions.
func mayOverrideKeys(space ibisid.SlotSpace) bool { return !space.Hidden && space.Home == "" }

func (m *loadMeter) shard(key ibisslot.KeyHash) *sketchShard {
	return &m.shards[uint64(key)>>61%sketchShards]
}

// observe counts an admitted request.
func (m *loadMeter) observe(space ibisid.SlotSpace, key ibisslot.KeyHash) {
	if !mayOverrideKeys(space) {
		return
	}
	shard := m.shard(key)
	shard.mu.Lock()
	shard.sketch.Observe(key)
	shard.mu.Unlock()
}

// ended counts a request that ended after the given time.
func (m *loadMeter) ended(after time.Duration) {
	m.finishedRequests.Add(1)
	m.busyNanos.Add(int64(after))
}

// advance updates the load and the mean service time and decays the counts; the control lock must be held.
func (m *loadMeter) advance(now time.Time) {
	passed := now.Sub(m.lastAdvance)
	if passed <= 0 {
		return
	}
	m.lastAdvance = now
	finishedTotal, busyTotal := m.finishedRequests.Load(), m.busyNanos.Load()
	count := finishedTotal - m.finishedTotal
	part := 1 - math.Exp(-float64(passed)/float64(loadDecayTime))
	m.load += part * (float64(count)/passed.Seconds() - m.load)
	if count > 0 {
		m.meanServiceTime += time.Duration(part * float64((busyTotal-m.busyTotal)/count-int64(m.meanServiceTime)))
	}
	m.finishedTotal, m.busyTotal = finishedTotal, busyTotal
	for i := range m.shards {
		m.shards[i].mu.Lock()
		m.shards[i].sketch.Advance(now)
		m.shards[i].mu.Unlock()
	}
}

// capacity returns the requests a second that the given number of concurrent requests amounts to.
func (m *loadMeter) capacity(slots int) float64 {
	return float64(slots) / max(m.meanServiceTime, time.Microsecond).Seconds()
}

// rates returns the keys with at least the given rate in requests a second, with their rates.
func (m *loadMeter) rates(perSecond float64) map[ibisslot.KeyHash]float64 {
	rates := make(map[ibisslot.KeyHash]float64)
	for i := range m.shards {
		m.shards[i].mu.Lock()
		for _, r := range m.shards[i].sketch.Top(perSecond) {
			rates[r.Key] = r.PerSecond
		}
		m.shards[i].mu.Unlock()
	}
	return rates
}
