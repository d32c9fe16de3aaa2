package ibiscoordinator_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisplacement"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

func init() {
	flag.Set("rapid.seed", "7") // makes the schedules reproducible
	flag.Set("rapid.checks", "60")
}

type sequentialIDs struct {
	name ibisid.NodeName
	n    int
}

func (s *sequentialIDs) Next() string {
	s.n++
	return fmt.Sprintf("%s-%d", s.name, s.n)
}

// table is a fake table with conditional commits that records all versions of each page.
type table struct {
	rows    map[string]ibisplatform.Row
	history map[string][]*ibisslot.Page
	applied int
	last    time.Time
}

func (t *table) commit(id ibisslot.PageID, c ibisplatform.Commit) ibisplatform.CommitResult {
	row := t.rows[c.Writes[0].Key]
	if row.Version != c.Conditions[0].Version {
		return ibisplatform.CommitResult{
			Status:   ibisplatform.CommitConflict,
			Conflict: row.Key,
		}
	}
	t.applied++
	row = ibisplatform.Row{
		Key:      c.Writes[0].Key,
		Value:    c.Writes[0].Value,
		Version:  row.Version + 1,
		CommitID: c.ID,
	}
	t.rows[row.Key] = row
	page, err := ibisslot.DecodePage(id, row.Version, row.Value)
	if err != nil {
		panic(err)
	}
	t.history[row.Key] = append(t.history[row.Key], page)
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: row.Version,
	}
}

type message struct {
	to     int
	at     time.Time
	event  ibiscoordinator.Event
	commit *ibiscoordinator.CommitEffect
	read   *ibiscoordinator.ReadPageEffect
}

// cluster runs real coordinators against one fake table, under faults that rapid draws.
type cluster struct {
	t        rapid.TB
	draws    *rapid.T
	table    *table
	nodes    []*ibiscoordinator.Coordinator
	all      []ibisplace.Candidate
	dead     map[int]bool
	messages []message
	now      time.Time
	faults   bool
}

func newCluster(t rapid.TB, members int, draws *rapid.T) *cluster {
	c := &cluster{
		t: t,
		table: &table{
			rows:    map[string]ibisplatform.Row{},
			history: map[string][]*ibisslot.Page{},
		},
		dead:   map[int]bool{},
		now:    time.Unix(0, 0),
		draws:  draws,
		faults: draws != nil,
	}
	for i := range members {
		c.all = append(c.all, ibisplace.Candidate{
			Member: ibisid.Member{
				Name:        ibisid.NodeName(fmt.Sprintf("node-%d", i)),
				Incarnation: 1,
			},
			Place:  ibisid.Place{Domain: ibisid.DomainName(fmt.Sprintf("domain-%d", i%12))},
			Weight: 1,
			Share:  1,
		})
	}
	for _, candidate := range c.all {
		m := candidate.Member
		c.nodes = append(c.nodes, ibiscoordinator.New(m, ibisslot.NewMap(), ibisplacement.Anywhere{}, &sequentialIDs{name: m.Name}))
	}
	c.broadcast(ibiscoordinator.LiveEvent{Candidates: c.all})
	return c
}

func (c *cluster) succeeds(label string) bool {
	return !c.faults || rapid.IntRange(0, 3).Draw(c.draws, label) > 0
}

func (c *cluster) broadcast(e ibiscoordinator.Event) {
	for i := range c.nodes {
		c.update(i, e)
	}
}

func (c *cluster) update(i int, e ibiscoordinator.Event) {
	if c.dead[i] {
		return
	}
	for _, effect := range c.nodes[i].Update(c.now, e) {
		m := message{
			to: i,
			at: c.now.Add(10 * time.Millisecond),
		}
		switch e := effect.(type) {
		case ibiscoordinator.CommitEffect:
			m.commit = &e
		case ibiscoordinator.ReadPageEffect:
			m.read = &e
		case ibiscoordinator.BroadcastPageEffect:
			for j := range c.nodes {
				if c.succeeds("spread") {
					c.messages = append(c.messages, message{
						to:    j,
						at:    c.now.Add(100 * time.Millisecond),
						event: ibiscoordinator.PageReceivedEvent{Page: e.Page},
					})
				}
			}
			continue
		default:
			continue
		}
		c.messages = append(c.messages, m)
	}
}

// step advances the time by 20 ms, or by a further second if the cluster is idle, and delivers the messages that are due.
func (c *cluster) step() {
	c.now = c.now.Add(20 * time.Millisecond)
	if len(c.messages) == 0 && !c.waiting() {
		c.now = c.now.Add(time.Second)
	}
	pending := c.messages
	c.messages = nil
	for _, m := range pending {
		if m.at.After(c.now) {
			c.messages = append(c.messages, m)
			continue
		}
		c.deliver(m)
	}
	for i, node := range c.nodes {
		if next := node.Next(); !next.IsZero() && !next.After(c.now) {
			c.update(i, ibiscoordinator.TickEvent{})
		}
	}
}

// waiting reports whether any coordinator still has a page to create, read or commit.
func (c *cluster) waiting() bool {
	return slices.ContainsFunc(c.nodes, func(n *ibiscoordinator.Coordinator) bool { return !n.Idle() })
}

func (c *cluster) deliver(m message) {
	switch {
	case m.commit != nil && !c.succeeds("commit before effect"):
		c.update(m.to, ibiscoordinator.CommitUnknownEvent{
			ID:       m.commit.ID,
			CommitID: m.commit.Commit.ID,
		})
		m.at = c.now.Add(time.Second)
		c.messages = append(c.messages, m) // the commit reaches the table late
	case m.commit != nil:
		c.commit(m)
	case m.read != nil:
		row, found := c.table.rows[m.read.ID.RowKey()]
		c.update(m.to, ibiscoordinator.PageReadEvent{
			ID:     m.read.ID,
			Row:    row,
			Found:  found,
			Failed: !c.succeeds("read"),
		})
	default:
		c.update(m.to, m.event)
	}
}

func (c *cluster) commit(m message) {
	result := c.table.commit(m.commit.ID, m.commit.Commit)
	c.table.last = c.now
	if c.succeeds("answer") {
		c.update(m.to, ibiscoordinator.CommitResultEvent{
			ID:       m.commit.ID,
			CommitID: m.commit.Commit.ID,
			Result:   result,
		})
		return
	}
	c.update(m.to, ibiscoordinator.CommitUnknownEvent{
		ID:       m.commit.ID,
		CommitID: m.commit.Commit.ID,
	})
}

func (c *cluster) kill(members ...int) {
	var event ibiscoordinator.DiedEvent
	for _, i := range members {
		c.dead[i] = true
		event.Members = append(event.Members, c.all[i].Member)
	}
	c.broadcast(event)
}

func (c *cluster) start(space ibisid.SlotSpace, slots uint32) {
	c.broadcast(ibiscoordinator.SpaceEvent{
		Space: space,
		Slots: slots,
	})
	for range 150 {
		c.step()
	}
}

func (c *cluster) check(pages int) {
	if len(c.table.history) != pages {
		c.t.Fatalf("%d pages were created, want %d", len(c.table.history), pages)
	}
	for key, history := range c.table.history {
		for i := 1; i < len(history); i++ {
			if err := history[i].ValidateReplacement(history[i-1]); err != nil {
				c.t.Fatal(err)
			}
		}
		last := history[len(history)-1]
		for i := range c.dead {
			if last.HasOwner(func(m ibisid.Member) bool { return m == c.all[i].Member }) {
				c.t.Fatalf("row %s still names dead member %s", key, c.all[i].Member.Name)
			}
		}
	}
}

// TestTakeoverUnderFaults checks that dead owners are replaced and that tokens never decrease while commits, reads, responses
// and page broadcasts are lost or late.
func TestTakeoverUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 8, t)
		c.start(ibisid.SlotSpace{Service: "print-floor"}, 1024)
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 1, 4, rapid.ID).Draw(t, "deaths") {
			c.kill(i)
			for range rapid.IntRange(0, 30).Draw(t, "gap") {
				c.step()
			}
		}
		c.faults = false
		c.broadcast(ibiscoordinator.LiveEvent{Candidates: c.all}) // arrives late and includes dead members
		for range 3 {
			for range 100 {
				c.step()
			}
			c.now = c.now.Add(time.Minute)
			c.broadcast(ibiscoordinator.TickEvent{})
		}
		for range 100 {
			c.step()
		}
		c.check(2)
	})
}

// TestLostDomainCostsOneCommitAPage checks that the loss of a failure domain takes at most one commit per page and no longer
// than WritesPerSecond requires, plus 40 ms.
func TestLostDomainCostsOneCommitAPage(t *testing.T) {
	for domain := range 3 {
		c := newCluster(t, 120, nil)
		c.start(ibisid.SlotSpace{Service: "print-floor"}, 1<<13)
		before, at := c.table.applied, c.now
		var lost []int
		for i := domain; i < len(c.all); i += 12 {
			lost = append(lost, i)
		}
		c.kill(lost...)
		for range 100 {
			c.step()
		}
		c.check(16)
		commits, elapsed := c.table.applied-before, c.table.last.Sub(at)
		if commits > 16 || elapsed > 16*time.Second/ibiscoordinator.WritesPerSecond+40*time.Millisecond {
			t.Errorf("took %d commits in %v, want at most 16 within the write budget plus 40 ms", commits, elapsed)
		}
	}
}
