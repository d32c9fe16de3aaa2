package ibischoose

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// Config is what a chooser knows of its own node.
type Config struct {
	// Own is where the chooser's node stands.
	Own ibisid.Place
	// RegionCosts lists the cost of a request to each other region; those absent cost 1.
	RegionCosts map[ibisid.RegionName]int
	// RegionBudget is the number of bytes a second that may go to one other region; zero for no limit.
	RegionBudget float64
	// MinChoice is the number of usable candidates below which the next tier is taken in; zero means 2.
	MinChoice int
	// Aside is whether stragglers are set aside.
	Aside bool
}

// Chooser picks candidates for the requests of one service at one node.
type Chooser struct {
	config     Config
	random     *rand.Rand
	candidates []*state
	baseline   *ibislatency.Baseline
	budgets    map[ibisid.RegionName]*byteBudget
	median     float64
	judgedAt   time.Time
}

// New returns a chooser without candidates; it draws from the given source only.
func New(config Config, random *rand.Rand) *Chooser {
	if config.MinChoice <= 0 {
		config.MinChoice = defaultMinChoice
	}
	return &Chooser{
		config:   config,
		random:   random,
		baseline: ibislatency.NewBaseline(),
		budgets:  make(map[ibisid.RegionName]*byteBudget),
		median:   1,
	}
}

// Update takes one event in.
func (c *Chooser) Update(event Event, now time.Time) {
	switch e := event.(type) {
	case CandidatesEvent:
		c.replace(e.Candidates)
	case SentEvent:
		if s := c.find(e.Node); s != nil {
			s.outstanding[e.ID] = sent{
				at:    now,
				class: e.Class,
			}
		}
	case DoneEvent:
		c.done(e, now)
	case ReportEvent:
		if s := c.find(e.Node); s != nil && e.At.After(s.loadAt) {
			s.load = e.Load
			s.loadAt = e.At
		}
	}
}

// Outstanding returns the number of attempts that are under way to the candidate.
func (c *Chooser) Outstanding(node ibisid.NodeName) int {
	if s := c.find(node); s != nil {
		return len(s.outstanding)
	}
	return 0
}

// Aside returns the candidates that are set aside at the time, by name.
func (c *Chooser) Aside(now time.Time) []ibisid.NodeName {
	var names []ibisid.NodeName
	for _, s := range c.candidates {
		if now.Before(s.asideUntil) {
			names = append(names, s.Node)
		}
	}
	return names
}

func (c *Chooser) replace(list []Candidate) {
	next := make([]*state, 0, len(list))
	for _, candidate := range list {
		s := c.find(candidate.Node)
		if s == nil {
			s = &state{
				outstanding: make(map[RequestID]sent),
			}
		}
		s.Candidate = candidate
		s.tier = c.config.tier(candidate.Place)
		next = append(next, s)
	}
	slices.SortFunc(next, func(a, b *state) int { return cmp.Compare(a.Node, b.Node) })
	c.candidates = next
}

func (c *Chooser) find(node ibisid.NodeName) *state {
	i, found := slices.BinarySearchFunc(c.candidates, node, func(s *state, n ibisid.NodeName) int {
		return cmp.Compare(s.Node, n)
	})
	if !found {
		return nil
	}
	return c.candidates[i]
}

func (c *Chooser) done(e DoneEvent, now time.Time) {
	s := c.find(e.Node)
	if s == nil {
		return
	}
	begun, ok := s.outstanding[e.ID]
	if !ok {
		return
	}
	delete(s.outstanding, e.ID)
	if e.Result == ResultDone || e.Result == ResultRefused {
		s.gateLoad = e.GateLoad
		s.gateLoadAt = now
	}
	c.charge(s.Place.Region, e.Bytes, now)
	switch e.Result {
	case ResultDone:
		c.answered(s, begun, e.Latency, now)
	case ResultRefused:
		s.refused(begun.class, now, e.RetryAfter)
	case ResultFailed:
		s.refused(allClasses, now, e.RetryAfter)
	case ResultCancelled:
		c.cancelled(s, begun, now)
	}
}

func (c *Chooser) answered(s *state, begun sent, latency time.Duration, now time.Time) {
	ratio := c.baseline.Ratio(begun.class, latency)
	c.baseline.Add(begun.class, latency)
	s.accepted(begun.class)
	s.seen(ratio, now)
	if s.probation > 0 && ratio < asideRatio {
		s.probation--
		return
	}
	if c.config.Aside {
		c.judge(s, now)
	}
}

// cancelled takes the age of an attempt as latency seen where it is already longer than usual.
func (c *Chooser) cancelled(s *state, begun sent, now time.Time) {
	ratio := c.baseline.Ratio(begun.class, now.Sub(begun.at))
	if ratio <= 1 {
		return
	}
	s.seen(ratio, now)
	if c.config.Aside {
		c.judge(s, now)
	}
}
