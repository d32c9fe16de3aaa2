package ibisowner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

func TestManager(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisowner")
}

var _ = Describe("joining", func() {
	DescribeTable("gives each slot one owner",
		func(nodes, domains int, direct bool) {
			c := newCluster(1, nodes, domains, true)
			c.runUntil(20*time.Second, c.settled)
			c.run(5 * time.Second)
			for _, n := range c.nodes {
				s := n.Stats()
				Expect(s.State).To(Equal(ibislease.StateLive))
				Expect(s.Valid).To(BeTrue())
				Expect(s.Direct).To(Equal(direct))
				Expect(s.OwnedSlots).To(BeNumerically("<=", c.slots/nodes*11/10+1))
			}
		},
		Entry("alone", 1, 1, true),
		Entry("two domains", 4, 2, true),
		Entry("three domains", 3, 3, true),
		Entry("four domains", 12, 4, false),
	)

	It("makes a node ready whose pages already exist, also one that coordinates none of them", func() {
		c := newSettledCluster(12, 12, 4, true)
		for i := range 4 {
			c.runUntil(8*time.Second, c.add(ibisid.NodeName(fmt.Sprintf("late%d", i)), ibisid.DomainName(fmt.Sprintf("d%02d", i))).Ready)
		}
	})
})

// Guards against a row under another key that takes the place of a member's own and makes the member count as dead.
var _ = It("A member's row under another key than its own changes nothing", func() {
	c := newSettledCluster(5, 3, 3, true)
	owners := make([]int, len(c.nodes))
	for i, n := range c.nodes {
		owners[i] = n.Stats().OwnedSlots
	}
	for i, n := range c.nodes {
		other := c.nodes[(i+1)%len(c.nodes)].Self().Member
		other.Incarnation += 1000
		n.rows.Publish(ibisplatform.Row{
			Key:     ibislease.RowKey("odd"),
			Value:   ibislease.Row{Member: other, State: ibislease.StateLeft}.Encode(),
			Version: 1 << 40,
		})
	}
	c.run(10 * time.Second)
	for i, n := range c.nodes {
		Expect(n.Stats().Valid).To(BeTrue())
		Expect(n.Stats().OwnedSlots).To(Equal(owners[i]))
	}
})
