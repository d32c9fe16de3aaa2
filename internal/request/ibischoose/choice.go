package ibischoose

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	defaultMinChoice = 4
	tierRoom         = 0.75
	// overflowLoad is the load told by every usable gate of the own region from which requests leave the region.
	overflowLoad = 1.5
)

// Request is what the chooser needs to know of a request.
type Request struct {
	// Class is the class of the request.
	Class ibisid.ClassName
	// Homes lists the only regions that may serve it; empty for all.
	Homes []ibisid.RegionName
	// Exclude lists candidates that are not to be picked, such as those of earlier attempts.
	Exclude []ibisid.NodeName
}

// Refusal says why no candidate was picked.
type Refusal string

const (
	// RefusalNone means that a candidate was picked.
	RefusalNone Refusal = ""
	// RefusalHome means that no candidate stands in a home region.
	RefusalHome Refusal = "home"
	// RefusalBusy means that each candidate is saturated, backs off or is set aside.
	RefusalBusy Refusal = "busy"
	// RefusalBudget means that only other regions have room and the budget of bytes to them is spent.
	RefusalBudget Refusal = "budget"
)

// Choice is a picked candidate or a refusal, which is always "not run".
type Choice struct {
	// Node is the picked candidate.
	Node ibisid.NodeName
	// Refusal is why there is none.
	Refusal Refusal
	// RetryAfter is when to come back after a refusal; zero where time does not help.
	RetryAfter time.Duration
}

// Choose picks a candidate from the nearest tier with room.
func (c *Chooser) Choose(r Request, now time.Time) Choice {
	if c.config.Aside {
		c.judgeAll(now)
	}
	allowed := c.allowed(r)
	if len(allowed) == 0 {
		return Choice{
			Refusal: RefusalHome,
		}
	}
	usable, budgeted := c.nearest(allowed, r, now)
	if len(usable) > 0 {
		return Choice{
			Node: c.twoChoices(usable, now).Node,
		}
	}
	refusal := RefusalBusy
	if budgeted {
		refusal = RefusalBudget
	}
	return Choice{
		Refusal:    refusal,
		RetryAfter: firstBackoff,
	}
}

// judgeAll looks for stragglers by the age of what is under way, at most once a judge period.
func (c *Chooser) judgeAll(now time.Time) {
	if now.Sub(c.judgedAt) < judgePeriod {
		return
	}
	c.judgedAt = now
	c.median = c.medianRatio(now)
	for _, s := range c.candidates {
		c.judge(s, now)
	}
}

// allowed returns the candidates inside the home regions.
func (c *Chooser) allowed(r Request) []*state {
	if len(r.Homes) == 0 {
		return c.candidates
	}
	var out []*state
	for _, s := range c.candidates {
		if slices.Contains(r.Homes, s.Place.Region) {
			out = append(out, s)
		}
	}
	return out
}

// nearest returns the usable candidates of the nearest tiers with room, and whether the budget between regions kept
// others out. A tier has room where enough of it is neither saturated nor set aside; only where none has, all usable
// ones of the nearest region count. A region of its own is never joined with others, and is left only where its queues
// are long: a gate without a free slot admits within a fraction of an answer's time.
func (c *Chooser) nearest(allowed []*state, r Request, now time.Time) (usable []*state, budgeted bool) {
	var saturated []*state
	for _, tier := range tiersOf(allowed) {
		if tier >= tierRemote && (len(usable) > 0 || shortQueue(saturated)) {
			break
		}
		known, free := 0, 0
		for _, s := range allowed {
			if s.tier != tier || slices.Contains(r.Exclude, s.Node) {
				continue
			}
			known++
			switch {
			case !s.usable(r.Class, now):
			case tier >= tierRemote && !c.affordable(s.Place.Region, now):
				budgeted = true
			case s.saturated(now):
				saturated = append(saturated, s)
			default:
				usable = append(usable, s)
				free++
			}
		}
		if len(usable) >= c.config.MinChoice && float64(free) >= tierRoom*float64(known) {
			break
		}
	}
	if len(usable) == 0 {
		return saturated, budgeted
	}
	return usable, budgeted
}

// shortQueue reports whether a saturated candidate's queue is short enough that waiting there is quicker than the way to
// another region.
func shortQueue(saturated []*state) bool {
	return slices.ContainsFunc(saturated, func(s *state) bool { return s.gateLoad < overflowLoad })
}

func tiersOf(list []*state) []int {
	tiers := make([]int, 0, len(list))
	for _, s := range list {
		tiers = append(tiers, s.tier)
	}
	slices.Sort(tiers)
	return slices.Compact(tiers)
}

// twoChoices draws two candidates and takes the one with the lower expected latency.
func (c *Chooser) twoChoices(usable []*state, now time.Time) *state {
	n := len(usable)
	first := usable[c.random.IntN(n)]
	if n == 1 {
		return first
	}
	i := c.random.IntN(n - 1)
	second := usable[i]
	if second == first {
		second = usable[n-1]
	}
	if c.score(second, now) < c.score(first, now) {
		return second
	}
	return first
}

// score is the expected latency: that seen lately or the age of the oldest attempt, times the queue that a new one joins.
func (c *Chooser) score(s *state, now time.Time) float64 {
	latency := max(s.decayedPeak(now), c.oldestRatio(s, now))
	own := float64(len(s.outstanding)+1) / float64(max(1, s.Slots))
	return latency * (own + s.gate(now)) * s.hint(now)
}
