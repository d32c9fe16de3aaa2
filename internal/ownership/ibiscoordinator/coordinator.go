package ibiscoordinator

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	// SecondCoordinatorDelay is the time by which the second coordinator of a page acts later than the first.
	SecondCoordinatorDelay = 600 * time.Millisecond
	retryDelay             = 500 * time.Millisecond
	checkPeriod            = time.Minute
	defaultMovesPerMinute  = 240
	deadRetention          = 10 * time.Minute
)

// Coordinator decides on the page commits of one member. It is not safe for concurrent use.
type Coordinator struct {
	self      ibisid.Member
	pages     *ibisslot.Map
	rules     ibisplace.Rules
	ids       IDs
	live      map[ibisid.Member]liveMember
	hashes    []uint64
	shares    map[ibisid.DomainName]float64
	dead      map[ibisid.Member]time.Time
	planned   map[ibisslot.PageID]plannedCommit
	jobs      map[ibisslot.PageID]*job
	queue     []*job
	pacer     commitPacer
	budget    *ibisplace.Budget
	nextCheck time.Time
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithMovesPerMinute bounds the moves that rebalancing requests; the default is 240 per minute.
func WithMovesPerMinute(moves float64) Option {
	return func(c *Coordinator) { c.budget = ibisplace.NewBudget(moves) }
}

// New returns the coordinator of a member. It works on the given view of the pages and updates it.
func New(self ibisid.Member, pages *ibisslot.Map, rules ibisplace.Rules, ids IDs, options ...Option) *Coordinator {
	c := &Coordinator{
		self:    self,
		pages:   pages,
		rules:   rules,
		ids:     ids,
		live:    map[ibisid.Member]liveMember{},
		shares:  map[ibisid.DomainName]float64{},
		dead:    map[ibisid.Member]time.Time{},
		planned: map[ibisslot.PageID]plannedCommit{},
		jobs:    map[ibisslot.PageID]*job{},
		budget:  ibisplace.NewBudget(defaultMovesPerMinute),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Update handles an event that occurred at the given time and returns the effects to carry out.
func (c *Coordinator) Update(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case SpaceEvent:
		c.pages.AddSpace(e.Space, e.Slots)
		c.enqueueMissing(now, e)
	case LiveEvent:
		for _, candidate := range e.Candidates {
			c.setLive(candidate)
		}
		c.enqueueDead(now)
	case LeftEvent:
		c.removeLive(e.Members)
		c.dropUnsentPlans()
	case DiedEvent:
		c.handleDied(now, e.Members)
	case DomainEvent:
		c.shares[e.Domain] = e.Share
		c.dropUnsentPlans()
	case PageReceivedEvent:
		c.handlePageReceived(now, e.Page)
	case PageReadEvent:
		return c.handlePageRead(now, e)
	case CommitResultEvent:
		return c.handleCommitResult(now, e)
	case CommitUnknownEvent:
		return c.handleCommitUnknown(e)
	}
	return c.run(now)
}

// Next returns the time at which the coordinator needs a TickEvent, or the zero time if no commit is waiting.
func (c *Coordinator) Next() time.Time {
	var next time.Time
	for _, j := range c.queue {
		if j.state == jobWaiting && (next.IsZero() || j.due.Before(next)) {
			next = j.due
		}
	}
	return next
}

// Idle reports whether the coordinator has no page to create, read or commit.
func (c *Coordinator) Idle() bool { return len(c.jobs) == 0 }

func (c *Coordinator) handleDied(now time.Time, members []ibisid.Member) {
	c.removeLive(members)
	for _, m := range members {
		c.dead[m] = now
	}
	c.enqueueDead(now)
}

func (c *Coordinator) isDead(m ibisid.Member) bool {
	_, dead := c.dead[m]
	return dead
}

// dropUnsentPlans discards the planned pages that were not sent yet, since their new owners may have left.
func (c *Coordinator) dropUnsentPlans() {
	for _, j := range c.queue {
		if j.state == jobWaiting && j.commit.ID == "" {
			j.nextPage = nil
		}
	}
}

// removeExpiredDead removes dead members that no page names. They are retained for 10 minutes first, since a page that
// arrives late may still name them.
func (c *Coordinator) removeExpiredDead(now time.Time) {
	for m, at := range c.dead {
		if now.Sub(at) > deadRetention && !c.pages.References(m) {
			delete(c.dead, m)
		}
	}
}

// handlePageReceived applies a page. A waiting job restarts from the newer page, since a commit that it sent earlier has
// taken effect or no longer can.
func (c *Coordinator) handlePageReceived(now time.Time, page *ibisslot.Page) {
	if !c.pages.Apply(page) {
		return
	}
	if j := c.jobs[page.ID()]; j != nil && j.state == jobWaiting {
		j.reset()
	}
	if len(c.dead) > 0 && c.jobs[page.ID()] == nil && page.HasOwner(c.isDead) {
		c.enqueueDead(now)
	}
}
