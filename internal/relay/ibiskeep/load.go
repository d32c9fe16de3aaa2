package ibiskeep

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// bucketKeys is the number of keys whose requests are counted together: fine enough to part a hot run of keys from its
	// neighbours, and some 2 KB a lease row at most.
	bucketKeys = 128
	buckets    = Keys / bucketKeys
	// rateWeight is the weight of the newest interval in a rate: a key that is hot for five seconds is over before a move
	// for its sake would pay.
	rateWeight = 0.35
	// leastRate is the requests a second of the mean owner below which nothing is moved for its load.
	leastRate = 3.0
	// overload is the load above the mean from which an owner is relieved, and relieved is where that ends.
	overload = 1.35
	relieved = 1.1
	// leastFill is the share of what fits that a move must bring, so that ranges aren't cut for little.
	leastFill = 0.3
	// reliefAtOnce bounds the ranges that one relief moves, as each is served by nobody for a heartbeat.
	reliefAtOnce = 4
)

// rates is the requests a second of each bucket.
type rates map[int]float64

// of returns the requests a second of a span.
func (r rates) of(s Span) float64 {
	sum := 0.0
	for b := s.From / bucketKeys; b <= s.To/bucketKeys; b++ {
		rate, ok := r[b]
		if !ok {
			continue
		}
		from, to := max(s.From, b*bucketKeys), min(s.To, (b+1)*bucketKeys-1)
		sum += rate * float64(to-from+1) / bucketKeys
	}
	return sum
}

// counter counts requests of the own backend server.
type counter struct {
	counts map[int]int
	since  time.Time
	rates  rates
}

// Used counts a request for a key.
func (k *Keeper) Used(key int) { k.counter.counts[key/bucketKeys]++ }

// roll turns what was counted since the last renewal into rates.
func (c *counter) roll(now time.Time) {
	span := now.Sub(c.since).Seconds()
	if span <= 0 {
		return
	}
	for b := range c.rates {
		if _, ok := c.counts[b]; !ok {
			c.counts[b] = 0
		}
	}
	for b, n := range c.counts {
		rate := c.rates[b]*(1-rateWeight) + rateWeight*float64(n)/span
		if rate < 0.05 {
			delete(c.rates, b)
			continue
		}
		c.rates[b] = rate
	}
	c.since = now
	clear(c.counts)
}

// leaseRow is the content of a lease.
type leaseRow struct {
	// Writer names the renewal, so that one without an answer is known again.
	Writer string `json:"writer"`
	// Rates lists buckets with their requests a second.
	Rates rates `json:"rates,omitempty"`
}

func (r leaseRow) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease can't be encoded: %v", err))
	}
	return value
}

// decodeLease reads a lease; one that can't be read names no writer and no rates, and still stands.
func decodeLease(value []byte) leaseRow {
	var r leaseRow
	if json.Unmarshal(value, &r) != nil {
		return leaseRow{}
	}
	return r
}

// takeRates takes in what the owners counted.
func (k *Keeper) takeRates(rows []ibisstore.Row) {
	k.rates = make(rates)
	for _, row := range rows {
		for b, rate := range decodeLease(row.Value).Rates {
			if b >= 0 && b < buckets {
				k.rates[b] += rate
			}
		}
	}
}

// loads returns the requests a second of each owner once planned moves are through.
func (p Page) loads(r rates) map[ibisid.NodeName]float64 {
	out := make(map[ibisid.NodeName]float64)
	for _, x := range p.Ranges {
		out[x.heir()] += r.of(x.Span)
	}
	return out
}

// relieve asks an owner with far more than the mean load to give ranges to those with the least. What is hottest stays:
// its neighbours move.
func relieve(page Page, owners []ibisroster.Member, r rates) (Page, bool) {
	if len(owners) < 2 {
		return page, false
	}
	out := page.clone()
	total := 0.0
	loads := out.loads(r)
	for _, m := range owners {
		total += loads[m.Node]
	}
	mean := total / float64(len(owners))
	if mean < leastRate {
		return page, false
	}
	changed := false
	for range reliefAtOnce {
		loads = out.loads(r)
		few, many := owners[0].Node, owners[0].Node
		for _, m := range owners {
			if loads[m.Node] < loads[few] {
				few = m.Node
			}
			if loads[m.Node] > loads[many] {
				many = m.Node
			}
		}
		limit := overload
		if changed {
			limit = relieved
		}
		if loads[many] < limit*mean || !out.shift(many, few, r, min(loads[many]-mean, mean*relieved-loads[few])) {
			break
		}
		changed = true
	}
	return out, changed
}

// shift marks the busiest range of an owner that fits into the load, or a part of its busiest one where none does, and
// reports whether it did.
func (p *Page) shift(from, to ibisid.NodeName, r rates, fits float64) bool {
	best, hottest := -1, -1
	for i, x := range p.Ranges {
		if x.Owner.Node != from || x.Next != "" {
			continue
		}
		load := r.of(x.Span)
		if hottest < 0 || load > r.of(p.Ranges[hottest].Span) {
			hottest = i
		}
		if load <= fits && load > 0 && (best < 0 || load > r.of(p.Ranges[best].Span)) {
			best = i
		}
	}
	if hottest < 0 || fits <= 0 {
		return false
	}
	if best < 0 || r.of(p.Ranges[best].Span) < fits*leastFill {
		if i, ok := p.cut(hottest, r, fits); ok {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	p.Ranges[best].Next = to
	return true
}

// cut parts a range at a bucket's border so that the upper part has as much load as fits, and returns where that stands.
func (p *Page) cut(i int, r rates, fits float64) (int, bool) {
	x := p.Ranges[i]
	at, load := x.To+1, 0.0
	for b := x.To / bucketKeys; b > x.From/bucketKeys; b-- {
		rate := r.of(Span{From: b * bucketKeys, To: min(x.To, (b+1)*bucketKeys-1)})
		if load+rate > fits {
			break
		}
		at, load = b*bucketKeys, load+rate
	}
	if load < fits*leastFill {
		return 0, false
	}
	upper := x
	upper.From = at
	p.Ranges[i].To = at - 1
	p.Ranges = slices.Insert(p.Ranges, i+1, upper)
	return i + 1, true
}
