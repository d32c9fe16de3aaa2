package ibisowner

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

// traffic requests every slot through random nodes and counts the requests that no node accepts.
type traffic struct {
	cluster      *cluster
	refused      int
	firstRefusal string
	longest      time.Duration
	since        map[ibisid.Slot]time.Time
}

// sendAll sends one request for each slot through a random node, with one redirect; a request that may wait does not
// count as refused.
func (t *traffic) sendAll() {
	c := t.cluster
	for i := range c.slots {
		slot := testSlot(i)
		entry := c.nodes[c.random.IntN(len(c.nodes))]
		if entry.dead || entry.frozen || !entry.Ready() {
			continue
		}
		if t.runsNow(entry, slot) {
			delete(t.since, slot)
			continue
		}
		if t.since[slot].IsZero() {
			t.since[slot] = c.timer.Now()
		}
		t.longest = max(t.longest, c.timer.Now().Sub(t.since[slot]))
	}
}

// runsNow reports whether the request runs now, and counts it as refused if it is rejected without a wait.
func (t *traffic) runsNow(entry *testNode, slot ibisid.Slot) bool {
	var owners []Peer
	for range 2 {
		owner, ok := entry.Owner(slot, "")
		if !ok {
			break
		}
		owners = append(owners, owner)
		at := t.cluster.find(owner.Member.Name)
		if at == nil {
			break
		}
		permit, wait, _ := at.tryAdmit(slot, "")
		if permit != nil {
			defer permit.Release()
			return permit.Check() == nil
		}
		if wait != nil {
			return false
		}
		var refusal *NotOwnerError
		Expect(at.notOwner(slot, "")).To(BeAssignableToTypeOf(refusal))
		refusal = at.notOwner(slot, "").(*NotOwnerError)
		if refusal.Owner.IsZero() {
			break
		}
		entry.RecordOwnerHint(slot, "", refusal.Owner)
	}
	t.refused++
	if t.firstRefusal == "" {
		t.firstRefusal = fmt.Sprintf("%s at %s by %s: %+v", slot, t.cluster.timer.Now(), entry.name, owners)
	}
	return false
}

func (c *cluster) traffic() (*traffic, func()) {
	t := &traffic{
		cluster: c,
		since:   make(map[ibisid.Slot]time.Time),
	}
	every := c.timer.Every(25*time.Millisecond, func(time.Time) { t.sendAll() })
	return t, every.Stop
}

var _ = Describe("planned moves", func() {
	It("drains a node without cutting off a request, and moves its at-most-once memory", func() {
		c := newSettledCluster(11, 12, 4, false)
		leaver := c.nodes[4]
		slot := leaver.anyOwnedSlot()
		Expect(sendOrder(leaver, slot, "order-1").Verdict).To(Equal(ibisidempotency.VerdictRun))
		permit, _, _ := leaver.tryAdmit(slot, "")
		t, stop := c.traffic()
		leaver.StartLeaving()
		c.run(12 * time.Second)
		Expect(leaver.HasLeft()).To(BeFalse(), "a request still runs")
		Expect(permit.Check()).To(Succeed())
		permit.Release()
		c.runUntil(5*time.Second, leaver.HasLeft)
		stop()
		Expect(t.refused).To(BeZero(), t.firstRefusal)
		Expect(t.longest).To(BeNumerically("<", admitWaitTimeout))
		leaver.kill()
		c.runUntil(time.Second, c.settled)
		successor := c.admitters(slot)[0]
		Expect(sendOrder(successor, slot, "order-1").Verdict).To(Equal(ibisidempotency.VerdictRepeat))
		Expect(successor.Stats().Takeovers).To(BeZero())
	})

	It("replaces all nodes one by one without cutting off a request", func() {
		c := newSettledCluster(12, 8, 4, false)
		t, stop := c.traffic()
		for i := range 8 {
			leaver := c.nodes[i]
			leaver.StartLeaving()
			c.runUntil(10*time.Second, leaver.HasLeft)
			leaver.kill()
			c.add(leaver.name, leaver.place.Domain)
			c.run(3 * time.Second)
		}
		stop()
		Expect(t.refused).To(BeZero(), t.firstRefusal)
		c.runUntil(5*time.Second, c.settled)
	})

	It("stops the last node and starts it again", func() {
		c := newSettledCluster(13, 1, 1, true)
		only := c.nodes[0]
		only.StartLeaving()
		c.runUntil(5*time.Second, only.HasLeft)
		only.kill()
		c.add(only.name, only.place.Domain)
		c.runUntil(10*time.Second, c.settled)
	})

	It("gives a node that joins its share, within the bound on moves", func() {
		c := newSettledCluster(14, 4, 4, true)
		t, stop := c.traffic()
		late := c.add("late", "d00")
		c.runUntil(3*time.Minute, func() bool { return late.Stats().OwnedSlots >= testSlots/5*3/4 })
		stop()
		Expect(t.refused).To(BeZero(), t.firstRefusal)
	})

	It("empties a failure domain that operators take out, and gives it its share after it is back", func() {
		c := newSettledCluster(15, 12, 4, false)
		t, stop := c.traffic()
		c.document = c.documentWith(2, 4, "d01")
		for _, n := range c.nodes {
			n.SetDocument(c.document)
		}
		c.runUntil(2500*time.Millisecond, func() bool { return c.ownedIn("d01") == 0 })
		c.run(time.Second)
		stop()
		Expect(t.refused).To(BeZero(), t.firstRefusal)
		for _, n := range c.nodes {
			Expect(n.domain.OutOfService).To(Equal(n.place.Domain == "d01"))
		}
		c.document = c.documentWith(3, 4, "")
		for _, n := range c.nodes {
			n.SetDocument(c.document)
		}
		c.runUntil(5*time.Minute, func() bool { return c.ownedIn("d01") >= testSlots/4*3/4 })
	})

	It("settles moves through lost answers and an outage of the table", func() {
		c := newSettledCluster(16, 12, 4, false)
		c.store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultLoseAnswer,
			Count: 3,
		})
		c.nodes[0].StartLeaving()
		c.run(50 * time.Millisecond)
		c.store.Inject(ibisstore.FaultRule{Fault: ibisstore.FaultDown})
		c.run(20 * time.Second)
		c.store.Clear()
		c.runUntil(20*time.Second, c.nodes[0].HasLeft)
		c.nodes[0].kill()
		c.runUntil(5*time.Second, c.settled)
	})

	It("lets a request wait until its slot arrives", func() {
		c := newSettledCluster(17, 12, 4, true)
		leaver := c.nodes[0]
		slot := leaver.anyOwnedSlot()
		leaver.StartLeaving()
		permit, wait, _ := leaver.tryAdmit(slot, "")
		Expect(permit).To(BeNil())
		c.runUntil(5*time.Second, func() bool {
			select {
			case <-wait:
				return true
			default:
				return false
			}
		})
		_, err := leaver.AcquirePermit(context.Background(), slot, "")
		var refusal *NotOwnerError
		Expect(err).To(BeAssignableToTypeOf(refusal))
		Expect(err.(*NotOwnerError).Owner).NotTo(Equal(leaver.Self().Member))
		c.run(time.Second)
		Expect(leaver.Stats().State).To(Equal(ibislease.StateLeaving))
	})
})

// ownedIn counts the slots of a failure domain.
func (c *cluster) ownedIn(domain ibisid.DomainName) int {
	owned := 0
	for _, n := range c.nodes {
		if n.place.Domain == domain && !n.dead {
			owned += n.holdings.count()
		}
	}
	return owned
}
