package ibisbalancer_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

var _ = Describe("The subset of a large fleet that a node keeps", func() {
	fleet := func(count int) []ibisbalancer.Candidate {
		var out []ibisbalancer.Candidate
		for i := range count {
			out = append(out, ibisbalancer.Candidate{
				Node:  ibisid.NodeName(fmt.Sprintf("n%05d", i)),
				Place: ibisid.Place{Region: ibisid.RegionName(fmt.Sprint(i % 4)), Domain: ibisid.DomainName(fmt.Sprint(i % 12))},
				Slots: 24,
			})
		}
		return out
	}
	place := ibisid.Place{Region: "0", Domain: "0"}

	It("contains every candidate of a small fleet", func() {
		Expect(ibisbalancer.SelectSubset("a", place, fleet(64))).To(HaveLen(64))
	})

	It("keeps at most 64 candidates of each group, so that it does not grow with the fleet", func() {
		subset := ibisbalancer.SelectSubset("a", place, fleet(24_000))
		counts := map[string]int{}
		for _, c := range subset {
			switch {
			case c.Place == place:
				counts["domain"]++
			case c.Place.Region == place.Region:
				counts["region"]++
			default:
				counts["region "+string(c.Place.Region)]++
			}
		}
		Expect(counts).To(Equal(map[string]int{"domain": 64, "region": 64, "region 1": 64, "region 2": 64, "region 3": 64}))
	})

	It("distributes the fleet evenly over the nodes", func() {
		kept := map[ibisid.NodeName]int{}
		candidates := fleet(2400)
		const nodes = 600
		for i := range nodes {
			for _, c := range ibisbalancer.SelectSubset(ibisid.NodeName(fmt.Sprintf("door%d", i)), place, candidates) {
				if c.Place == place {
					kept[c.Node]++
				}
			}
		}
		mean := float64(nodes*64) / 200
		Expect(kept).To(HaveLen(200))
		for node, n := range kept {
			Expect(float64(n)).To(BeNumerically("~", mean, mean/3), string(node))
		}
	})

	It("changes by one candidate when one of its candidates is lost", func() {
		candidates := fleet(2400)
		before := ibisbalancer.SelectSubset("a", place, candidates)
		lost := before[0].Node
		var left []ibisbalancer.Candidate
		for _, c := range candidates {
			if c.Node != lost {
				left = append(left, c)
			}
		}
		known := map[ibisid.NodeName]bool{}
		for _, c := range before {
			known[c.Node] = true
		}
		added := 0
		for _, c := range ibisbalancer.SelectSubset("a", place, left) {
			if !known[c.Node] {
				added++
			}
		}
		Expect(added).To(Equal(1))
	})
})
