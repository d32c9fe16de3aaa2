package ibisrollout_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

const (
	regions          = 4
	domainsPerRegion = 3
	hintBytes        = 64
	requestBytes     = 96
	reportBytes      = 64
)

// member is a node of the cluster with its location and the number of bytes that it sent and received.
type member struct {
	replica *ibisrollout.Replica
	peer    ibisrollout.Peer
	region  int
	paused  bool
	bytes   int
}

// cluster runs the state machines of many nodes with simulated time, links and store.
type cluster struct {
	now     time.Time
	queue   queue
	seq     int
	rng     *rand.Rand
	members []*member
	byName  map[ibisid.NodeName]*member
	records []ibissection.Record
	head    int
	reads   int
	// cutTable and cutLink report which reads of the table or store and which messages are lost.
	cutTable          func(m *member) bool
	cutLink           func(from, to *member) bool
	revisionDecreased bool
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		now:      time.Unix(1000, 0),
		rng:      rand.New(rand.NewPCG(seed, seed)),
		byName:   map[ibisid.NodeName]*member{},
		cutTable: func(*member) bool { return false },
		cutLink:  func(_, _ *member) bool { return false },
	}
	for i := range size {
		domain := i % (regions * domainsPerRegion)
		m := &member{
			replica: ibisrollout.NewReplica(ibisid.NodeName(fmt.Sprintf("n%05d", i))),
			peer: ibisrollout.Peer{
				Name:   ibisid.NodeName(fmt.Sprintf("n%05d", i)),
				Domain: ibisid.DomainName(fmt.Sprintf("d%02d", domain)),
			},
			region: domain / domainsPerRegion,
		}
		c.members = append(c.members, m)
		c.byName[m.peer.Name] = m
	}
	c.change(1)
	c.updateMembers()
	for _, m := range c.members {
		c.startTicks(m)
	}
	return c
}

// updateMembers sends every node the tree of the live nodes.
func (c *cluster) updateMembers() {
	var peers []ibisrollout.Peer
	for _, m := range c.members {
		if !m.paused {
			peers = append(peers, m.peer)
		}
	}
	tree := ibisrollout.NewTree(peers)
	for _, m := range c.members {
		c.deliver(m, ibisrollout.MembersEvent{Tree: tree})
	}
}

// change commits one more revision with a section of the given size.
func (c *cluster) change(size int) {
	parent := ibissection.Version("")
	if len(c.records) > 0 {
		parent = c.records[len(c.records)-1].Version
	}
	record := ibissection.Record{
		Parent: parent,
		Sections: map[ibisdoc.SectionName]ibissection.SectionChange{"classes": {
			After: json.RawMessage(make([]byte, size)),
		}},
	}
	record.Version = ibissection.NewVersion(ibisid.Revision(len(c.records)+1), "change")
	c.records = append(c.records, record)
	c.head = len(c.records)
}

func (c *cluster) startTicks(m *member) {
	c.after(time.Duration(c.rng.Int64N(int64(time.Second))), func() { c.sendTick(m) })
}

// sendTick delivers a tick to a member, and sends hints from it as heartbeats do: one to a random member, and two to random
// members of its region.
func (c *cluster) sendTick(m *member) {
	c.deliver(m, ibisrollout.TickEvent{})
	for i := range 3 {
		other := c.members[c.rng.IntN(len(c.members))]
		if i > 0 {
			other = c.members[c.rng.IntN(len(c.members)/12)*12+c.rng.IntN(domainsPerRegion)+m.region*domainsPerRegion]
		}
		c.send(m, other, hintBytes, ibisrollout.HintEvent{
			From:    m.peer.Name,
			Version: m.replica.InForce(),
		})
	}
	c.after(800*time.Millisecond, func() { c.sendTick(m) })
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, scheduledCall{
		at:  c.now.Add(d),
		seq: c.seq,
		run: run,
	})
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// runUntilInForce runs until every live node has the latest revision in force, and returns the time that this took, or the
// limit where it takes longer.
func (c *cluster) runUntilInForce(limit time.Duration) time.Duration {
	start := c.now
	for c.now.Sub(start) < limit {
		if c.laggingNodes() == 0 {
			return c.now.Sub(start)
		}
		c.run(10 * time.Millisecond)
	}
	return limit
}

func (c *cluster) laggingNodes() int {
	n := 0
	for _, m := range c.members {
		if !m.paused && int(m.replica.InForce().Revision()) < len(c.records) {
			n++
		}
	}
	return n
}

func (c *cluster) latency(from, to int) time.Duration {
	if from == to {
		return time.Millisecond
	}
	return 20 * time.Millisecond
}

func (c *cluster) send(from, to *member, bytes int, event ibisrollout.Event) {
	from.bytes += bytes
	to.bytes += bytes
	if c.cutLink(from, to) {
		return
	}
	c.after(c.latency(from.region, to.region), func() { c.deliver(to, event) })
}

func (c *cluster) deliver(m *member, event ibisrollout.Event) {
	if m.paused {
		return
	}
	before := m.replica.InForce().Revision()
	effects := m.replica.Update(event, c.now)
	c.revisionDecreased = c.revisionDecreased || m.replica.InForce().Revision() < before
	for _, effect := range effects {
		c.runEffect(m, effect)
	}
}

func (c *cluster) runEffect(m *member, effect ibisrollout.Effect) {
	switch e := effect.(type) {
	case ibisrollout.ReadHeadEffect:
		c.reads++
		c.readStore(m, func() ibisrollout.Event { return ibisrollout.HeadEvent{Version: c.records[c.head-1].Version} }, ibisrollout.HeadFailedEvent{})
	case ibisrollout.FetchRecordsEffect:
		c.fetch(m, e.Source, e.After)
	case ibisrollout.FetchSnapshotEffect:
		c.fetch(m, e.Source, "")
	case ibisrollout.ApplyRecordsEffect:
		if e.Records[0].Parent != m.replica.InForce() {
			return
		}
		c.deliver(m, ibisrollout.AppliedEvent{
			Version: e.Records[len(e.Records)-1].Version,
			Records: e.Records,
		})
	case ibisrollout.ApplySnapshotEffect:
		c.deliver(m, ibisrollout.AppliedEvent{Version: e.Version})
	case ibisrollout.HintEffect:
		for _, to := range e.To {
			c.send(m, c.byName[to], hintBytes, ibisrollout.HintEvent{
				From:    m.peer.Name,
				Version: e.Version,
			})
		}
	case ibisrollout.ReportEffect:
		c.send(m, c.byName[e.To], reportBytes, ibisrollout.ReportEvent{
			From:   m.peer.Name,
			Report: e.Report,
		})
	}
}

func (c *cluster) readStore(m *member, answer func() ibisrollout.Event, failed ibisrollout.Event) {
	if c.cutTable(m) {
		c.after(time.Second, func() { c.deliver(m, failed) })
		return
	}
	c.after(c.latency(m.region, 0), func() {
		event := answer()
		c.after(c.latency(m.region, 0), func() { c.deliver(m, event) })
	})
}

// fetch answers with the records after a version, or with the whole document if no version is given or the source does not
// have these records.
func (c *cluster) fetch(m *member, source ibisrollout.Source, after ibissection.Version) {
	if source.Peer == "" {
		c.readStore(m, func() ibisrollout.Event {
			return c.answer(source, c.records[c.head-1].Version, c.records[:c.head], after)
		},
			ibisrollout.FetchFailedEvent{Source: source})
		return
	}
	peer := c.byName[source.Peer]
	m.bytes += requestBytes
	peer.bytes += requestBytes
	if c.cutLink(m, peer) || peer.paused {
		c.after(time.Second, func() { c.deliver(m, ibisrollout.FetchFailedEvent{Source: source}) })
		return
	}
	c.after(c.latency(m.region, peer.region), func() {
		records, _ := peer.replica.RecordsAfter(after)
		event := c.answer(source, peer.replica.InForce(), records, after)
		c.send(peer, m, sizeOf(event), event)
	})
}

func (c *cluster) answer(source ibisrollout.Source, inForce ibissection.Version, records []ibissection.Record, after ibissection.Version) ibisrollout.Event {
	for i, record := range records {
		if after != "" && record.Parent == after {
			return ibisrollout.RecordsEvent{
				Source:  source,
				Records: records[i:],
			}
		}
	}
	return ibisrollout.SnapshotEvent{
		Source:   source,
		Version:  inForce,
		Sections: ibisdoc.Sections{"classes": nil},
	}
}

func sizeOf(event ibisrollout.Event) int {
	size := requestBytes
	if e, ok := event.(ibisrollout.RecordsEvent); ok {
		for _, record := range e.Records {
			size += record.Size()
		}
	}
	return size
}
