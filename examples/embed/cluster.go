package main

import (
	"fmt"
	"io"
	"time"

	"github.com/ibisridge/ibisridge"
)

// maxSimulatedWait is the limit of simulated time that runUntil waits for a condition.
const maxSimulatedWait = time.Minute

var space = ibisridge.SlotSpace{Service: "print-floor"}

// cluster advances the simulated time and delivers messages between members.
type cluster struct {
	out                 io.Writer
	now                 time.Time
	terms               ibisridge.LeaseTerms
	table               *table
	members             []*member
	maxConcurrentOwners int
}

func newCluster(out io.Writer, places []ibisridge.Place) *cluster {
	terms, err := ibisridge.NewLeaseTerms()
	if err != nil {
		panic(err)
	}
	c := &cluster{
		out:   out,
		terms: terms,
		table: newTable(),
	}
	for _, p := range places {
		c.members = append(c.members, newMember(c, p))
	}
	for _, m := range c.members {
		m.updateHolder(ibisridge.LeaseCandidatesEvent{Candidates: c.leaseCandidates()})
	}
	return c
}

// runUntil advances the time by tickInterval until done returns true; it panics after maxSimulatedWait.
func (c *cluster) runUntil(done func() bool) {
	for end := c.now.Add(maxSimulatedWait); !done(); {
		if c.now.After(end) {
			panic(fmt.Sprintf("condition not reached within %v of simulated time", maxSimulatedWait))
		}
		c.now = c.now.Add(tickInterval)
		for _, m := range c.members {
			if !m.paused {
				m.tick()
			}
		}
		c.countOwners()
	}
}

// countOwners updates maxConcurrentOwners, the greatest number of members that could run a request of one slot at the
// same time.
func (c *cluster) countOwners() {
	for i := range slots {
		count := 0
		for _, m := range c.members {
			if m.mayRunSlot(ibisridge.SlotIndex(i), c.now) {
				count++
			}
		}
		c.maxConcurrentOwners = max(c.maxConcurrentOwners, count)
	}
}

// announceMembersAndSpace sends to every member the list of members and the slot space in use.
func (c *cluster) announceMembersAndSpace() {
	for _, m := range c.members {
		m.updateCoordinator(ibisridge.PageLiveEvent{Candidates: c.placementCandidates()})
	}
	for _, m := range c.members {
		m.updateCoordinator(ibisridge.PageSpaceEvent{
			Space: space,
			Slots: slots,
		})
	}
}

func (c *cluster) leaseCandidates() []ibisridge.LeaseCandidate {
	var all []ibisridge.LeaseCandidate
	for _, m := range c.members {
		all = append(all, ibisridge.LeaseCandidate{
			Member: m.self,
			Place:  m.place,
		})
	}
	return all
}

func (c *cluster) placementCandidates() []ibisridge.PlacementCandidate {
	var all []ibisridge.PlacementCandidate
	for _, m := range c.members {
		all = append(all, ibisridge.PlacementCandidate{
			Member: m.self,
			Place:  m.place,
			Weight: 1,
			Share:  1,
		})
	}
	return all
}

func (c *cluster) allJoined() bool {
	for _, m := range c.members {
		if _, valid := m.holder.Valid(c.now); !valid {
			return false
		}
	}
	return true
}

func (c *cluster) allSlotsOwned() bool {
	for i := range slots {
		if c.ownerOfSlot(ibisridge.SlotIndex(i)) == nil {
			return false
		}
	}
	return true
}

func (c *cluster) ownerOf(key string) *member { return c.ownerOfSlot(ibisridge.SlotOf(key, slots)) }

// ownerOfSlot returns the member that may run requests of the slot now, or nil if there is none.
func (c *cluster) ownerOfSlot(slot ibisridge.SlotIndex) *member {
	for _, m := range c.members {
		if m.mayRunSlot(slot, c.now) {
			return m
		}
	}
	return nil
}

func (c *cluster) slotsOf(m *member) []ibisridge.SlotIndex {
	var owned []ibisridge.SlotIndex
	for i := range slots {
		if c.ownerOfSlot(ibisridge.SlotIndex(i)) == m {
			owned = append(owned, ibisridge.SlotIndex(i))
		}
	}
	return owned
}

// send delivers a message unless its receiver is paused.
func (c *cluster) send(to ibisridge.Member, deliver func(*member)) {
	for _, m := range c.members {
		if m.self == to && !m.paused {
			deliver(m)
		}
	}
}

// broadcast delivers a message to every member that is not paused, the sender included.
func (c *cluster) broadcast(deliver func(*member)) {
	for _, m := range c.members {
		c.send(m.self, deliver)
	}
}
