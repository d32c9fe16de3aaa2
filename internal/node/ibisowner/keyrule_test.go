package ibisowner

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// applyRules applies a revision with rules to one node after the other.
func (c *cluster) applyRules(revision ibisid.Revision, rules string) {
	c.document = c.documentWithRules(revision, 4, "", rules)
	for _, n := range c.nodes {
		c.run(30 * time.Millisecond)
		n.SetDocument(c.document)
	}
}

const keyRule = `{"s":{"kind":"pin","service":"floor","domains":["d00","d01","d02"]},
	"p":{"kind":"pin","service":"floor","keys":[{"scheme":"mat/erp","from":"MAT-1","to":"MAT-20"}],"domains":["d03"]},
	"a":{"kind":"apart","service":"floor","keys":[{"scheme":"mat/erp","name":"MAT-100"},{"scheme":"mat/erp","from":"MAT-101","to":"MAT-105"}]}}`

var _ = Describe("placement rules", func() {
	DescribeTable("place a whole service", func(rule string, shares map[ibisid.DomainName]float64) {
		c := newSettledCluster(41, 12, 4, false)
		t, stop := c.traffic()
		c.applyRules(2, rule)
		c.run(10 * time.Second)
		stop()
		c.runUntil(6*time.Minute, func() bool {
			for domain, share := range shares {
				owned := float64(c.ownedIn(domain)) / float64(c.slots)
				if owned > share*1.3 || owned < share*0.7 {
					return false
				}
			}
			return true
		})
		Expect(t.refused).To(BeZero(), t.firstRefusal)
	},
		Entry("by a pin", `{"x":{"kind":"pin","service":"floor","domains":["d00","d02"]}}`,
			map[ibisid.DomainName]float64{"d00": 0.5, "d01": 0, "d02": 0.5, "d03": 0}),
		Entry("by a weight", `{"x":{"kind":"weight","service":"floor","domains":["d01"],"weight":0.25}}`,
			map[ibisid.DomainName]float64{"d01": 1.0 / 13}),
		Entry("by a spread", `{"x":{"kind":"spread","service":"floor","domains":["d00","d01","d02"]}}`,
			map[ibisid.DomainName]float64{"d00": 1.0 / 3, "d01": 1.0 / 3, "d02": 1.0 / 3, "d03": 0}),
	)

	It("keep keys where they are pinned, run no order twice on the way, and cut off no request", func() {
		c := newSettledCluster(42, 12, 4, false)
		var pinned []string
		for i := 1; i <= 20; i++ {
			pinned = append(pinned, fmt.Sprintf("mat:%d", i))
			Expect(c.beginKey(pinned[i-1], "order-1")).To(Equal(ibisidempotency.VerdictRun))
		}
		c.applyRules(2, keyRule)
		l, stop := c.load(100, pinned...)
		c.run(3 * time.Second)
		stop()
		Expect(l.refused).To(BeZero(), l.lastRefusal)
		for key, nodes := range l.ran {
			for n := range nodes {
				Expect(n.place.Domain).To(Equal(ibisid.DomainName("d03")), key)
			}
			Expect(c.beginKey(key, "order-1")).To(Equal(ibisidempotency.VerdictRepeat), key)
		}
		Expect(l.ran).To(HaveLen(20))
		Expect(c.ownerOf("mat:21")).NotTo(BeNil())

		c.applyRules(3, "{}")
		c.runUntil(10*time.Minute, func() bool { return len(c.nodes[0].routes.overrides()) == 0 })
		for _, key := range pinned {
			Expect(c.beginKey(key, "order-1")).To(Equal(ibisidempotency.VerdictRepeat), key)
		}
	})

	It("refuse pinned keys while no server runs in the pinned domains, and serve them once the rule is removed", func() {
		c := newSettledCluster(44, 12, 4, false)
		for _, n := range c.nodes {
			if n.place.Domain == "d03" {
				n.kill()
			}
		}
		c.runUntil(10*time.Second, c.settled)
		c.applyRules(2, keyRule)
		l, stop := c.load(50, "mat:1", "mat:2")
		c.run(10 * time.Second)
		stop()
		Expect(l.ran).To(BeEmpty())
		Expect(l.refused).To(BeNumerically(">", 0))
		c.applyRules(3, "{}")
		Expect(c.ownerOf("mat:1")).NotTo(BeNil())
	})

	It("keep two sides on different servers at all times", func() {
		c := newSettledCluster(43, 12, 4, false)
		c.applyRules(2, keyRule)
		sides := map[string]int{"mat:100": 0}
		keys := []string{"mat:100"}
		for i := 101; i <= 105; i++ {
			keys = append(keys, fmt.Sprintf("mat:%d", i))
			sides[keys[len(keys)-1]] = 1
		}
		l, stop := c.load(100, keys...)
		c.run(5 * time.Second)
		c.nodes[3].kill()
		c.run(20 * time.Second)
		late := c.add("late", "d01")
		c.run(10 * time.Second)
		stop()
		Expect(l.ran).To(HaveLen(len(keys)))
		Expect(late.Ready()).To(BeTrue())
		for _, n := range c.nodes {
			sidesAt := make(map[int]bool)
			for key, nodes := range l.ran {
				if nodes[n] > 0 {
					sidesAt[sides[key]] = true
				}
			}
			if n.place.Domain != "d03" && n.place.Domain != "d01" {
				Expect(len(sidesAt)).To(BeNumerically("<=", 1), "%s", n.name)
			}
		}
	})
})
