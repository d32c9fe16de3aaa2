package ibiscapacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/measure/ibiscost"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// restTime is the fake time of a measurement at rest.
	restTime = 60 * time.Second
	// tick is the time between two looks of the runtime at its members.
	tick = 100 * time.Millisecond
	// heartbeatPeriod is the time between the heartbeats that a witness gets from one member.
	heartbeatPeriod = 800 * time.Millisecond
	// watched is the number of members that a node watches on average.
	watched = 3
	// churnRows is the number of changed member rows of a measurement.
	churnRows = 50
)

// Control is what the control state of one node costs.
type Control struct {
	// Nodes is the number of nodes of the system.
	Nodes int
	// Slots is the number of slots.
	Slots uint32
	// RowBytes is the size of all rows, as a starting node fetches them.
	RowBytes int
	// ViewMemory is what the view of the rows takes beside their bytes.
	ViewMemory int
	// OwnerMemory is what the ownership runtime and the links of the spread take.
	OwnerMemory int
	// ForceMemory is what the core of the document's spread takes for its members.
	ForceMemory int
	// Start is the processor time to take all rows in.
	Start time.Duration
	// Rest is the processor time a second at rest, of ownership and the spread of rows, without the calls themselves.
	Rest time.Duration
	// RenewedRow is the processor time for a member row that only names other witnesses.
	RenewedRow time.Duration
	// ChangedRow is the processor time for a member row that changes the set of members.
	ChangedRow time.Duration
	// LostDomain is the processor time for the deaths of a failure domain and 5 s after.
	LostDomain time.Duration
}

// Memory is the live memory of all parts, in bytes.
func (c Control) Memory() int { return c.RowBytes + c.ViewMemory + c.OwnerMemory + c.ForceMemory }

// MeasureControl measures the control state of one of that many nodes; it fails where the node gets no lease.
func MeasureControl(ctx context.Context, nodes int) (Control, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s := newState(nodes)
	c := Control{
		Nodes:      nodes,
		Slots:      s.slots,
		RowBytes:   s.bytes(),
		ViewMemory: viewMemory(s),
	}
	core := ibisrollout.NewReplica(s.members[ownRow].Member.Name)
	c.ForceMemory = ibiscost.Grown(func() { core.Update(peersOf(s), time.Unix(startTime, 0)) })
	n := newNode(s)
	if err := c.start(ctx, n); err != nil {
		return Control{}, err
	}
	defer n.stop()
	defer n.watch()()
	c.Rest = ibiscost.Processor(func() { n.timer.Advance(restTime) }) / time.Duration(restTime/time.Second)
	c.RenewedRow = n.churn(func(i int) ibislease.Row { return s.memberRow(i, 1) })
	c.ChangedRow = n.churn(func(i int) ibislease.Row {
		row := s.memberRow(i, 1)
		row.Announcement.Weight = 2
		return row
	})
	c.LostDomain = ibiscost.Processor(n.loseDomain)
	runtime.KeepAlive(core)
	return c, nil
}

// start brings the node to rest with all rows and measures what that takes.
func (c *Control) start(ctx context.Context, n *node) error {
	doc, err := document(c.Slots)
	if err != nil {
		return err
	}
	memory := ibiscost.Grown(func() {
		c.Start = ibiscost.Processor(func() { n.rows.Publish(n.state.rows[ownRow+1:]...) })
		if err = n.own(doc); err != nil {
			return
		}
		n.spreadRows(ctx)
		c.Start += ibiscost.Processor(func() {
			n.rows.Publish(n.state.pages...)
			n.timer.Advance(time.Second)
		})
	})
	c.OwnerMemory = memory - c.ViewMemory
	return err
}

// viewMemory returns what a view of all rows takes beside their bytes.
func viewMemory(s *state) int {
	rows := ibisrowcache.New()
	memory := ibiscost.Grown(func() { rows.Publish(slices.Concat(s.rows, s.pages)...) })
	runtime.KeepAlive(rows)
	return memory
}

func peersOf(s *state) ibisrollout.MembersEvent {
	peers := make([]ibisrollout.Peer, len(s.members))
	for i, m := range s.members {
		peers[i] = ibisrollout.Peer{
			Name:   m.Member.Name,
			Domain: m.Place.Domain,
		}
	}
	return ibisrollout.MembersEvent{Peers: peers}
}

// heartbeats is the part of an ownership manager that acts as a witness.
type heartbeats interface {
	Heartbeat(args ibisowner.HeartbeatArgs, reply *ibisowner.HeartbeatReply) error
}

// watch lets the heartbeats of three other members arrive and returns what ends them.
func (n *node) watch() func() {
	witness := n.receiver.(heartbeats)
	self := n.manager.Self().Member
	return n.timer.Every(heartbeatPeriod, func(time.Time) {
		for i := range watched {
			var reply ibisowner.HeartbeatReply
			if err := witness.Heartbeat(ibisowner.HeartbeatArgs{
				Holder:  n.state.members[1+i].Member,
				Witness: self,
			}, &reply); err != nil {
				panic(fmt.Sprintf("heartbeat: %v", err))
			}
		}
	}).Stop
}

// churn returns the processor time of one changed member row, each in a tick of its own.
func (n *node) churn(change func(i int) ibislease.Row) time.Duration {
	took := ibiscost.Processor(func() {
		for i := range min(churnRows, len(n.state.members)/2) {
			at := len(n.state.members)/2 + i
			row := n.state.rows[at]
			known, _ := n.rows.Get(row.Key)
			row.Version = known.Version + 1
			row.Value = change(at).Encode()
			n.rows.Publish(row)
			n.timer.Advance(tick)
		}
	})
	return took / time.Duration(min(churnRows, len(n.state.members)/2))
}

// loseDomain declares every member of a failure domain dead and lets the node's share of the commits go out.
func (n *node) loseDomain() {
	lost := n.state.members[domains-1].Place.Domain
	byRow := map[string]ibislease.Deaths{}
	for _, m := range n.state.members {
		if m.Place.Domain == lost {
			key := ibislease.DeathsKey(lost, m.Member.Name)
			byRow[key] = byRow[key].With([]ibisid.Member{m.Member})
		}
	}
	for shard := range ibislease.DeathsShards {
		key := fmt.Sprintf("%s%s/%d", ibislease.DeathsPrefix, lost, shard)
		if deaths, ok := byRow[key]; ok {
			n.rows.Publish(ibisplatform.Row{
				Key:     key,
				Value:   deaths.Encode(),
				Version: 1,
			})
		}
	}
	n.timer.Advance(5 * time.Second)
}
