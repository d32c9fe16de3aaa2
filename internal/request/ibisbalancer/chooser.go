package ibisbalancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// Config describes the chooser's own node and its limits.
type Config struct {
	// Own is the region and failure domain of the chooser's node.
	Own ibisid.Place
	// RegionCosts lists the relative cost of a request to each other region; a region without an entry costs 1.
	RegionCosts map[ibisid.RegionName]int
	// RegionBudget is the limit of the bytes per second exchanged with one other region; zero means no limit.
	RegionBudget float64
	// MinUsableCandidates is the number of usable candidates below which candidates of the next tier are added; zero means 4.
	MinUsableCandidates int
	// EjectStragglers enables the ejection of stragglers.
	EjectStragglers bool
}

// Chooser picks candidates for the requests of one service at one node.
type Chooser struct {
	config              Config
	random              *rand.Rand
	candidates          []*candidateState
	baseline            *ibislatency.Baseline
	exchangeBytes       map[ibisid.ClassName]*ibislatency.Mean
	budgets             map[ibisid.RegionName]*byteBudget
	medianLatencyRatio  float64
	stragglersCheckedAt time.Time
}

// New returns a chooser without candidates; random is its only source of randomness.
func New(config Config, random *rand.Rand) *Chooser {
	if config.MinUsableCandidates <= 0 {
		config.MinUsableCandidates = defaultMinChoice
	}
	return &Chooser{
		config:             config,
		random:             random,
		baseline:           ibislatency.NewBaseline(),
		exchangeBytes:      make(map[ibisid.ClassName]*ibislatency.Mean),
		budgets:            make(map[ibisid.RegionName]*byteBudget),
		medianLatencyRatio: 1,
	}
}

// Update applies one event.
func (c *Chooser) Update(event Event, now time.Time) {
	switch e := event.(type) {
	case CandidatesEvent:
		c.replaceCandidates(e.Candidates)
	case AttemptSentEvent:
		if s := c.find(e.Node); s != nil {
			s.outstanding[e.ID] = attempt{
				sentAt: now,
				class:  e.Class,
			}
		}
	case AttemptEndEvent:
		c.endAttempt(e, now)
	case LoadReportEvent:
		if s := c.find(e.Node); s != nil && e.At.After(s.reportedLoadAt) {
			s.reportedLoad = e.Load
			s.reportedLoadAt = e.At
		}
	}
}

// Outstanding returns the number of attempts to the candidate that have not ended.
func (c *Chooser) Outstanding(node ibisid.NodeName) int {
	if s := c.find(node); s != nil {
		return len(s.outstanding)
	}
	return 0
}

// Ejected returns the candidates that are ejected at the time, sorted by name.
func (c *Chooser) Ejected(now time.Time) []ibisid.NodeName {
	var names []ibisid.NodeName
	for _, s := range c.candidates {
		if now.Before(s.ejectedUntil) {
			names = append(names, s.Node)
		}
	}
	return names
}

func (c *Chooser) replaceCandidates(list []Candidate) {
	next := make([]*candidateState, 0, len(list))
	for _, candidate := range list {
		s := c.find(candidate.Node)
		if s == nil {
			s = &candidateState{
				outstanding: make(map[AttemptID]attempt),
			}
		}
		s.Candidate = candidate
		s.tier = c.config.tier(candidate.Place)
		next = append(next, s)
	}
	slices.SortFunc(next, func(a, b *candidateState) int { return cmp.Compare(a.Node, b.Node) })
	c.candidates = next
}

func (c *Chooser) find(node ibisid.NodeName) *candidateState {
	i, found := slices.BinarySearchFunc(c.candidates, node, func(s *candidateState, n ibisid.NodeName) int {
		return cmp.Compare(s.Node, n)
	})
	if !found {
		return nil
	}
	return c.candidates[i]
}

func (c *Chooser) endAttempt(e AttemptEndEvent, now time.Time) {
	s := c.find(e.Node)
	if s == nil {
		return
	}
	ended, ok := s.outstanding[e.ID]
	if !ok {
		return
	}
	delete(s.outstanding, e.ID)
	if e.Result == ResultDone || e.Result == ResultRefused {
		s.gateLoad = e.GateLoad
		s.gateLoadAt = now
	}
	c.charge(s.Place.Region, e.Bytes, now)
	c.recordBytes(ended.class, e.Bytes)
	switch e.Result {
	case ResultDone:
		c.recordAnswer(s, ended, e.Latency, now)
	case ResultRefused:
		s.backOff(ended.class, now, e.RetryAfter)
	case ResultFailed:
		s.backOff(allClasses, now, e.RetryAfter)
	case ResultCancelled:
		c.recordCancelled(s, ended, now)
	}
}

// recordAnswer records the latency of an answer. On probation after an ejection, an answer below ejectionRatio times the
// typical latency counts toward the end of the probation and does not eject the candidate again.
func (c *Chooser) recordAnswer(s *candidateState, ended attempt, latency time.Duration, now time.Time) {
	ratio := c.baseline.Ratio(ended.class, latency)
	c.baseline.Add(ended.class, latency)
	s.resetBackoff(ended.class)
	s.recordLatency(ratio, now)
	if s.probationAnswersLeft > 0 && ratio < ejectionRatio {
		s.probationAnswersLeft--
		return
	}
	if c.config.EjectStragglers {
		c.ejectIfStraggler(s, now)
	}
}

// recordCancelled records the age of a cancelled attempt as a latency where it is already above the typical one.
func (c *Chooser) recordCancelled(s *candidateState, ended attempt, now time.Time) {
	ratio := c.baseline.Ratio(ended.class, now.Sub(ended.sentAt))
	if ratio <= 1 {
		return
	}
	s.recordLatency(ratio, now)
	if c.config.EjectStragglers {
		c.ejectIfStraggler(s, now)
	}
}
