package ibisbalancer

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	defaultMinChoice = 4
	minFreeTierShare = 0.75
	// overflowLoad is the gate load that every usable candidate of the own region must have reached before requests are
	// sent to another region.
	overflowLoad = 1.5
)

// Request describes the request for which a candidate is chosen.
type Request struct {
	// Class is the class of the request.
	Class ibisid.ClassName
	// Homes lists the regions that may serve the request; empty for all.
	Homes []ibisid.RegionName
	// Exclude lists candidates that must not be picked, such as those of earlier attempts.
	Exclude []ibisid.NodeName
}

// Refusal is the reason why no candidate was picked.
type Refusal string

const (
	// RefusalNone means that a candidate was picked.
	RefusalNone Refusal = ""
	// RefusalHome means that no candidate is in a home region.
	RefusalHome Refusal = "home"
	// RefusalBusy means that each candidate is saturated, backs off or is ejected.
	RefusalBusy Refusal = "busy"
	// RefusalBudget means that only candidates in other regions have room and the byte budget to those regions is spent.
	RefusalBudget Refusal = "budget"
)

// Choice is a picked candidate, or a refusal, after which the request counts as "not run".
type Choice struct {
	// Node is the picked candidate.
	Node ibisid.NodeName
	// Refusal is the reason why no candidate was picked.
	Refusal Refusal
	// RetryAfter is the delay before a refused request is retried; zero where a delay does not help.
	RetryAfter time.Duration
}

// Choose picks a candidate from the nearest tier with room.
func (c *Chooser) Choose(r Request, now time.Time) Choice {
	if c.config.EjectStragglers {
		c.ejectStragglers(now)
	}
	allowed := c.inHomeRegions(r)
	if len(allowed) == 0 {
		return Choice{
			Refusal: RefusalHome,
		}
	}
	usable, overBudget := c.nearestUsable(allowed, r, now)
	if len(usable) > 0 {
		return Choice{
			Node: c.twoChoices(usable, now).Node,
		}
	}
	refusal := RefusalBusy
	if overBudget {
		refusal = RefusalBudget
	}
	return Choice{
		Refusal:    refusal,
		RetryAfter: firstBackoff,
	}
}

// ejectStragglers checks every candidate by its latency and the age of its attempts, at most once in
// ejectionCheckInterval.
func (c *Chooser) ejectStragglers(now time.Time) {
	if now.Sub(c.stragglersCheckedAt) < ejectionCheckInterval {
		return
	}
	c.stragglersCheckedAt = now
	c.medianLatencyRatio = c.computeMedianRatio(now)
	for _, s := range c.candidates {
		c.ejectIfStraggler(s, now)
	}
}

// inHomeRegions returns the candidates in the home regions of the request.
func (c *Chooser) inHomeRegions(r Request) []*candidateState {
	if len(r.Homes) == 0 {
		return c.candidates
	}
	var out []*candidateState
	for _, s := range c.candidates {
		if slices.Contains(r.Homes, s.Place.Region) {
			out = append(out, s)
		}
	}
	return out
}

// nearestUsable collects the usable candidates tier by tier, nearest first, until it has at least MinUsableCandidates of
// them and minFreeTierShare of the last tier is neither saturated, backing off nor ejected. Saturated candidates are
// returned only where there are no others. A remote region is never mixed with nearer candidates, and is used only where
// the queues of the nearer ones are long, since a gate without a free slot admits the next request within a fraction of an
// answer's latency. The result overBudget reports whether the byte budget excluded candidates in other regions.
func (c *Chooser) nearestUsable(allowed []*candidateState, r Request, now time.Time) (usable []*candidateState, overBudget bool) {
	var saturated []*candidateState
	minUsable := c.minUsable(r.Class)
	for _, tier := range tiersOf(allowed) {
		if tier >= tierRemote && (len(usable) > 0 || hasShortQueue(saturated)) {
			break
		}
		eligible, free := 0, 0
		for _, s := range allowed {
			if s.tier != tier || slices.Contains(r.Exclude, s.Node) {
				continue
			}
			eligible++
			switch {
			case !s.usable(r.Class, now):
			case tier >= tierRemote && !c.withinBudget(s.Place.Region, now):
				overBudget = true
			case s.saturated(now):
				saturated = append(saturated, s)
			default:
				usable = append(usable, s)
				free++
			}
		}
		if len(usable) >= minUsable && float64(free) >= minFreeTierShare*float64(eligible) {
			break
		}
	}
	if len(usable) == 0 {
		return saturated, overBudget
	}
	return usable, overBudget
}

// hasShortQueue reports whether the queue of any saturated candidate is short enough that waiting there is faster than a
// request to another region.
func hasShortQueue(saturated []*candidateState) bool {
	return slices.ContainsFunc(saturated, func(s *candidateState) bool { return s.gateLoad < overflowLoad })
}

// tiersOf returns the distinct tiers of the candidates, nearest first.
func tiersOf(list []*candidateState) []int {
	tiers := make([]int, 0, len(list))
	for _, s := range list {
		tiers = append(tiers, s.tier)
	}
	slices.Sort(tiers)
	return slices.Compact(tiers)
}

// twoChoices draws two candidates at random and returns the one with the lower score.
func (c *Chooser) twoChoices(usable []*candidateState, now time.Time) *candidateState {
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

// score estimates the latency of a new attempt: the decayed peak latency or the age of the oldest attempt, whichever is
// greater, times the sum of the gate's load and of the load by this chooser's attempts including the new one, times the
// factor of the reported load.
func (c *Chooser) score(s *candidateState, now time.Time) float64 {
	latency := max(s.decayedPeakRatio(now), c.oldestAttemptRatio(s, now))
	outstandingLoad := float64(len(s.outstanding)+1) / float64(max(1, s.Slots))
	return latency * (outstandingLoad + s.decayedGateLoad(now)) * s.reportedLoadFactor(now)
}
