package ibisbalancer

import (
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	tierDomain = 0
	tierRegion = 1
	tierRemote = 2

	budgetBurst = 2 * time.Second

	// longExchange is the mean size in bytes of request and answer from which a class stays at the nearest candidate with
	// room: the bytes cost more than a somewhat shorter wait elsewhere saves.
	longExchange = 16 << 10
	// exchangeWindow is the number of attempts in the mean size of a class's exchanges.
	exchangeWindow = 50
)

// tier returns the distance of a place: own failure domain, own region, then other regions by cost.
func (c Config) tier(p ibisid.Place) int {
	if p.Region != c.Own.Region {
		return tierRemote + max(0, c.RegionCosts[p.Region]-1)
	}
	if p.Domain != c.Own.Domain {
		return tierRegion
	}
	return tierDomain
}

// byteBudget is a token bucket of the bytes exchanged with one region. Its tokens may become negative by the size of the
// attempts under way, since bytes are charged when an attempt ends.
type byteBudget struct {
	tokens     float64
	refilledAt time.Time
	sent       int64
}

func (b *byteBudget) refill(rate float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, rate*budgetBurst.Seconds())
}

func (c *Chooser) budget(region ibisid.RegionName, now time.Time) *byteBudget {
	b := c.budgets[region]
	if b == nil {
		b = &byteBudget{
			tokens: c.config.RegionBudget * budgetBurst.Seconds(),
		}
		c.budgets[region] = b
	}
	b.refill(c.config.RegionBudget, now)
	return b
}

func (c *Chooser) withinBudget(region ibisid.RegionName, now time.Time) bool {
	return c.config.RegionBudget <= 0 || c.budget(region, now).tokens > 0
}

func (c *Chooser) charge(region ibisid.RegionName, size int64, now time.Time) {
	if region == c.config.Own.Region {
		return
	}
	b := c.budget(region, now)
	b.sent += size
	b.tokens -= float64(size)
}

// recordBytes adds the size of a request and its answer to the mean of the class; zero means unknown and is ignored.
func (c *Chooser) recordBytes(class ibisid.ClassName, size int64) {
	if size <= 0 {
		return
	}
	m := c.exchangeBytes[class]
	if m == nil {
		m = &ibislatency.Mean{}
		c.exchangeBytes[class] = m
	}
	m.Add(float64(size), exchangeWindow)
}

// minUsable returns the number of usable candidates below which those of the next tier are added.
func (c *Chooser) minUsable(class ibisid.ClassName) int {
	if m := c.exchangeBytes[class]; m != nil && m.Value() >= longExchange {
		return 1
	}
	return c.config.MinUsableCandidates
}

// RegionBytes is the number of bytes exchanged with one other region.
type RegionBytes struct {
	// Region is the other region.
	Region ibisid.RegionName
	// Bytes is the number of bytes.
	Bytes int64
}

// RegionBytes returns the bytes exchanged with each other region, sorted by region.
func (c *Chooser) RegionBytes() []RegionBytes {
	var out []RegionBytes
	for _, region := range slices.Sorted(maps.Keys(c.budgets)) {
		out = append(out, RegionBytes{
			Region: region,
			Bytes:  c.budgets[region].sent,
		})
	}
	return out
}
