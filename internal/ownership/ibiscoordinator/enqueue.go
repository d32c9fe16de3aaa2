package ibiscoordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// replanDelay is the time after which an overdue commit is scheduled again.
const replanDelay = 5 * time.Second

type jobState int

const (
	jobWaiting jobState = iota
	jobReading
	jobCommitting
)

// job is the work on one page that this member coordinates.
type job struct {
	id       ibisslot.PageID
	due      time.Time
	state    jobState
	nextPage *ibisslot.Page
	commit   ibisplatform.Commit
}

// reset makes the job start again from the latest known page.
func (j *job) reset() {
	j.nextPage = nil
	j.commit = ibisplatform.Commit{}
}

// plannedCommit is the time of the next commit of a page, which all members derive independently.
type plannedCommit struct {
	version ibisplatform.Version
	due     time.Time
}

// enqueueDead plans the commits of the pages that name dead members, those with the most dead owners first. Each member
// computes the times of all these commits, so that all members together stay within the write budget of the table.
func (c *Coordinator) enqueueDead(now time.Time) {
	if len(c.dead) == 0 {
		return
	}
	affected := c.pages.Affected(c.isDead)
	slices.SortStableFunc(affected, func(a, b ibisslot.AffectedPage) int { return cmp.Compare(b.Owned, a.Owned) })
	c.scheduleCommits(now, affected)
	plan := c.newPlan()
	for _, a := range affected {
		plan.addJob(a.ID, c.planned[a.ID].due)
	}
	if len(plan.jobs) > 0 {
		plan.placeOwners(affected)
	}
}

// scheduleCommits assigns a commit time to each affected page. A page keeps its time until a new version is written or the
// commit is overdue by more than replanDelay.
func (c *Coordinator) scheduleCommits(now time.Time, affected []ibisslot.AffectedPage) {
	planned := make(map[ibisslot.PageID]plannedCommit, len(affected))
	for _, a := range affected {
		version := c.pages.Version(a.ID)
		commit, ok := c.planned[a.ID]
		if !ok || commit.version != version || now.Sub(commit.due) > replanDelay {
			commit = plannedCommit{
				version: version,
				due:     c.pacer.nextDue(now),
			}
		}
		planned[a.ID] = commit
	}
	c.planned = planned
}

// enqueueMissing plans the creation of the unknown pages of a space. Each is read first, since its row may exist.
func (c *Coordinator) enqueueMissing(now time.Time, e SpaceEvent) {
	plan := c.newPlan()
	for n := range ibisslot.PageCount(e.Slots) {
		id := ibisslot.PageID{
			Space:  e.Space,
			Number: n,
		}
		due := c.pacer.nextDue(now)
		if c.pages.Version(id) == 0 {
			plan.addJob(id, due)
		}
	}
}

// plan collects the jobs that are planned together.
type plan struct {
	*Coordinator
	jobs map[ibisslot.PageID]*job
}

func (c *Coordinator) newPlan() *plan {
	return &plan{
		Coordinator: c,
		jobs:        map[ibisslot.PageID]*job{},
	}
}

// addJob adds a job if this member coordinates the page, or plans an existing job again if it has sent nothing.
func (p *plan) addJob(id ibisslot.PageID, due time.Time) {
	if j := p.Coordinator.jobs[id]; j != nil {
		if j.state == jobWaiting && j.commit.ID == "" {
			p.jobs[id] = j
		}
		return
	}
	rank := p.rank(id)
	if rank == notCoordinator {
		return
	}
	j := &job{
		id:  id,
		due: due.Add(time.Duration(rank) * SecondCoordinatorDelay),
	}
	p.jobs[id] = j
	p.enqueue(j)
}

func (c *Coordinator) enqueue(j *job) {
	c.jobs[j.id] = j
	c.queue = append(c.queue, j)
}

// placeOwners computes the new owners of all affected pages, including those of other coordinators, so that the
// coordinators together keep loads within their bound.
func (p *plan) placeOwners(affected []ibisslot.AffectedPage) {
	placers := map[ibisid.SlotSpace]*ibisplace.Placer{}
	for _, a := range affected {
		placer := placers[a.ID.Space]
		if placer == nil {
			placer = p.Placer(a.ID.Space)
			placers[a.ID.Space] = placer
		}
		page, _ := p.pages.Page(a.ID)
		if j := p.jobs[a.ID]; j != nil {
			j.nextPage, _ = placer.Takeover(page, p.isDead)
		} else if a.Owned > 0 {
			placer.Reserve(page, p.isDead)
		}
	}
}
