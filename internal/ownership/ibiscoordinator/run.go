package ibiscoordinator

import (
	"bytes"
	"time"

	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// run starts the jobs that are due and the periodic check.
func (c *Coordinator) run(now time.Time) []Effect {
	var effects []Effect
	for _, j := range append([]*job(nil), c.queue...) {
		if j.state == jobWaiting && !j.due.After(now) {
			effects = append(effects, c.start(j)...)
		}
	}
	return append(effects, c.runPeriodicCheck(now)...)
}

// start commits the page of a job, or reads the page first if it is unknown.
func (c *Coordinator) start(j *job) []Effect {
	if j.commit.ID != "" {
		return c.sendCommit(j)
	}
	page, ok := c.pages.Page(j.id)
	if !ok {
		j.state = jobReading
		return []Effect{ReadPageEffect{ID: j.id}}
	}
	if j.nextPage == nil || j.nextPage.Version() != page.Version() {
		j.nextPage, _ = c.Placer(j.id.Space).Takeover(page, c.isDead)
	}
	value := j.nextPage.Encode()
	if bytes.Equal(value, page.Encode()) {
		c.finish(j)
		return nil
	}
	if err := j.nextPage.ValidateReplacement(page); err != nil {
		panic(err)
	}
	c.prepareCommit(j, page.Version(), value)
	return c.sendCommit(j)
}

func (c *Coordinator) prepareCommit(j *job, version ibisplatform.Version, value []byte) {
	key := j.id.RowKey()
	j.commit = ibisplatform.Commit{
		ID: c.ids.Next(),
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: value,
		}},
	}
}

func (c *Coordinator) sendCommit(j *job) []Effect {
	j.state = jobCommitting
	return []Effect{CommitEffect{
		ID:     j.id,
		Commit: j.commit,
	}}
}

func (c *Coordinator) handleCommitResult(now time.Time, e CommitResultEvent) []Effect {
	j := c.jobs[e.ID]
	if j == nil || j.commit.ID != e.CommitID {
		return nil
	}
	if e.Result.Status == ibisplatform.CommitApplied {
		return c.commitApplied(now, j, e.Result.Version)
	}
	j.state = jobReading
	return []Effect{ReadPageEffect{ID: e.ID}}
}

func (c *Coordinator) handleCommitUnknown(e CommitUnknownEvent) []Effect {
	j := c.jobs[e.ID]
	if j == nil || j.commit.ID != e.CommitID {
		return nil
	}
	j.state = jobReading
	return []Effect{ReadPageEffect{ID: e.ID}}
}

func (c *Coordinator) commitApplied(now time.Time, j *job, version ibisplatform.Version) []Effect {
	page := j.nextPage.WithVersion(version)
	c.pages.Apply(page)
	c.finish(j)
	if page.HasOwner(c.isDead) {
		c.enqueueDead(now)
	}
	return []Effect{BroadcastPageEffect{Page: page}}
}

// handlePageRead resolves a commit whose response was lost or negative from the current row. While the row is as it was
// before the commit, the commit may still take effect, so the same commit is sent again after retryDelay.
func (c *Coordinator) handlePageRead(now time.Time, e PageReadEvent) []Effect {
	j := c.jobs[e.ID]
	if j == nil || j.state != jobReading {
		return nil
	}
	j.state = jobWaiting
	switch {
	case e.Failed:
		j.due = now.Add(retryDelay)
	case !e.Found && j.commit.ID == "":
		return c.createPage(j)
	case !e.Found || len(j.commit.Conditions) > 0 && e.Row.Version == j.commit.Conditions[0].Version:
		j.due = now.Add(retryDelay)
	case j.commit.ID != "" && e.Row.CommitID == j.commit.ID:
		return c.commitApplied(now, j, e.Row.Version)
	default:
		return c.restart(j, e.Row)
	}
	return nil
}

func (c *Coordinator) createPage(j *job) []Effect {
	j.nextPage = c.Placer(j.id.Space).Initial(j.id.Number)
	c.prepareCommit(j, 0, j.nextPage.Encode())
	return c.sendCommit(j)
}

// restart applies a row that another member wrote and continues the job from it.
func (c *Coordinator) restart(j *job, row ibisplatform.Row) []Effect {
	j.reset()
	page, err := ibisslot.DecodePage(j.id, row.Version, row.Value)
	if err != nil || !c.pages.Fits(page) {
		c.finish(j)
		return nil
	}
	var effects []Effect
	if c.pages.Apply(page) {
		effects = append(effects, BroadcastPageEffect{Page: page})
	}
	return append(effects, c.start(j)...)
}

// readCoordinatedPages reads the pages that this member coordinates first, to repair pages whose broadcast was
// lost.
func (c *Coordinator) readCoordinatedPages(now time.Time) []Effect {
	var effects []Effect
	for _, space := range c.pages.Spaces() {
		for n := range ibisslot.PageCount(c.pages.Slots(space)) {
			id := ibisslot.PageID{
				Space:  space,
				Number: n,
			}
			if c.rank(id) != 0 {
				continue
			}
			c.enqueue(&job{
				id:    id,
				due:   now,
				state: jobReading,
			})
			effects = append(effects, ReadPageEffect{ID: id})
		}
	}
	return effects
}

func (c *Coordinator) finish(j *job) {
	delete(c.jobs, j.id)
	for i, q := range c.queue {
		if q == j {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// runPeriodicCheck reads the coordinated pages once per period. While no page names a dead member, the first coordinator of
// the first page of a space also requests the moves that rebalance the space.
func (c *Coordinator) runPeriodicCheck(now time.Time) []Effect {
	if now.Before(c.nextCheck) || len(c.jobs) > 0 {
		return nil
	}
	c.nextCheck = now.Add(checkPeriod)
	c.removeExpiredDead(now)
	effects := c.readCoordinatedPages(now)
	if len(c.dead) > 0 && len(c.pages.Affected(c.isDead)) > 0 {
		c.enqueueDead(now)
		return effects
	}
	for _, space := range c.pages.Spaces() {
		if c.rank(ibisslot.PageID{Space: space}) != 0 {
			continue
		}
		if moves := c.Placer(space).Rebalance(c.pages, c.budget, now); len(moves) > 0 {
			effects = append(effects, MovesEffect{Moves: moves})
		}
	}
	return effects
}
