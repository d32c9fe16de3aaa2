package ibisbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisbalancer")
}

var start = time.Unix(1_000_000, 0)

var own = ibisid.Place{
	Region: "uusimaa",
	Domain: "helsinki-a",
}

func fleet(n int, place ibisid.Place) []ibisbalancer.Candidate {
	var list []ibisbalancer.Candidate
	for i := range n {
		list = append(list, ibisbalancer.Candidate{
			Node:  ibisid.NodeName(fmt.Sprintf("%s-%05d", place.Domain, i)),
			Place: place,
			Slots: 10,
		})
	}
	return list
}

func newChooser(config ibisbalancer.Config, list []ibisbalancer.Candidate) *ibisbalancer.Chooser {
	config.Own = own
	config.EjectStragglers = true
	c := ibisbalancer.New(config, rand.New(rand.NewPCG(1, 1)))
	c.Update(ibisbalancer.CandidatesEvent{
		Candidates: list,
	}, start)
	return c
}

// ask chooses a candidate, sends one attempt to it and ends the attempt with the event that end returns.
func ask(c *ibisbalancer.Chooser, id int, now time.Time, end func(ibisid.NodeName) ibisbalancer.AttemptEndEvent) ibisbalancer.Choice {
	choice := c.Choose(ibisbalancer.Request{
		Class: "stock",
	}, now)
	if choice.Refusal != ibisbalancer.RefusalNone {
		return choice
	}
	c.Update(ibisbalancer.AttemptSentEvent{
		ID:    ibisbalancer.AttemptID(id),
		Node:  choice.Node,
		Class: "stock",
	}, now)
	e := end(choice.Node)
	e.ID = ibisbalancer.AttemptID(id)
	e.Node = choice.Node
	c.Update(e, now.Add(e.Latency))
	return choice
}

func answer(latency time.Duration) ibisbalancer.AttemptEndEvent {
	return ibisbalancer.AttemptEndEvent{
		Result:  ibisbalancer.ResultDone,
		Latency: latency,
		Bytes:   1000,
	}
}

var other = ibisid.Place{
	Region: "pirkanmaa",
	Domain: "nokia-b",
}

var _ = Describe("Chooser", func() {
	It("ejects stragglers, at most a third of the candidates, and readmits them", func() {
		c := newChooser(ibisbalancer.Config{}, fleet(9, own))
		slow := func(n ibisid.NodeName) bool { return n < "helsinki-a-00005" }
		now := start
		maxEjected, lastChoices := 0, map[ibisid.NodeName]int{}
		for i := range 3000 {
			now = now.Add(time.Second)
			slowPeriod := i > 500 && i < 1500
			choice := ask(c, i, now, func(n ibisid.NodeName) ibisbalancer.AttemptEndEvent {
				if slowPeriod && slow(n) {
					return answer(200 * time.Millisecond)
				}
				return answer(20 * time.Millisecond)
			})
			maxEjected = max(maxEjected, len(c.Ejected(now)))
			if i > 2800 {
				lastChoices[choice.Node]++
			}
		}
		Expect(maxEjected).To(Equal(3))
		Expect(c.Ejected(now)).To(BeEmpty())
		Expect(lastChoices).To(HaveLen(9))
	})

	It("backs off from a candidate that refuses", func() {
		c := newChooser(ibisbalancer.Config{}, fleet(5, own))
		refusals := 0
		for i := range 200 {
			ask(c, i, start.Add(time.Duration(i)*time.Millisecond), func(n ibisid.NodeName) ibisbalancer.AttemptEndEvent {
				if n != "helsinki-a-00000" {
					return answer(time.Millisecond)
				}
				refusals++
				return ibisbalancer.AttemptEndEvent{
					Result: ibisbalancer.ResultRefused,
				}
			})
		}
		Expect(refusals).To(BeNumerically("<=", 3))
	})

	It("sends requests to another region only on saturation and within the byte budget", func() {
		c := newChooser(ibisbalancer.Config{
			RegionBudget: 1000,
		}, append(fleet(3, own), fleet(3, other)...))
		sentToOther, refused := 0, 0
		for i := range 100 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			choice := ask(c, i, now, func(n ibisid.NodeName) ibisbalancer.AttemptEndEvent {
				if i < 50 || n >= "nokia" {
					return answer(time.Millisecond)
				}
				return ibisbalancer.AttemptEndEvent{
					Result:     ibisbalancer.ResultRefused,
					RetryAfter: time.Second,
				}
			})
			if choice.Node >= "nokia" {
				Expect(i).To(BeNumerically(">=", 50))
				sentToOther++
			}
			if choice.Refusal == ibisbalancer.RefusalBudget {
				refused++
			}
		}
		Expect(sentToOther).To(BeNumerically(">", 0))
		Expect(refused).To(BeNumerically(">", 0))
		// Two seconds of burst, a tenth of a second of budget, and the one answer that made the budget negative.
		Expect(c.RegionBytes()).To(HaveLen(1))
		Expect(c.RegionBytes()[0].Bytes).To(Equal(int64(1000 * sentToOther)))
		Expect(c.RegionBytes()[0].Bytes).To(BeNumerically("<=", 2000+100+1000))
	})

	DescribeTable("compares the wait in the queues of its own region with a request to another region",
		func(load float64, domain ibisid.DomainName) {
			c := newChooser(ibisbalancer.Config{}, append(fleet(3, own), fleet(3, other)...))
			for i := range 100 {
				ask(c, i, start, func(ibisid.NodeName) ibisbalancer.AttemptEndEvent {
					done := answer(time.Millisecond)
					done.GateLoad = load
					return done
				})
			}
			choice := c.Choose(ibisbalancer.Request{}, start.Add(10*time.Millisecond))
			Expect(string(choice.Node)).To(HavePrefix(string(domain)))
		},
		Entry("free slots", 0.5, own.Domain),
		Entry("no free slot, a short queue", 1.4, own.Domain),
		Entry("long queues", 1.6, other.Domain),
	)

	// Replays uploads and short requests side by side: each failure domain has one server with room. Short requests spread over
	// two servers of the region, long ones cross to another failure domain only when the near server has no free slot.
	DescribeTable("keeps classes of long exchanges at the nearest server with room",
		func(size int64, load float64, wantNear bool) {
			near := fleet(1, own)
			far := fleet(1, ibisid.Place{Region: own.Region, Domain: "espoo-b"})
			c := newChooser(ibisbalancer.Config{MinUsableCandidates: 2}, append(near, far...))
			elsewhere := 0
			for i := range 200 {
				now := start.Add(time.Duration(i) * 20 * time.Millisecond)
				choice := ask(c, i, now, func(ibisid.NodeName) ibisbalancer.AttemptEndEvent {
					done := answer(time.Millisecond)
					done.Bytes, done.GateLoad = size, load
					return done
				})
				if i >= 10 && choice.Node != near[0].Node {
					elsewhere++
				}
			}
			Expect(elsewhere == 0).To(Equal(wantNear), "%d of 190 went to the other failure domain", elsewhere)
		},
		Entry("60 KB, the near server has room", int64(60<<10), 0.5, true),
		Entry("60 KB, the near server has no free slot", int64(60<<10), 1.0, false),
		Entry("1 KB", int64(1<<10), 0.5, false),
	)

	It("never picks candidates outside the home regions", func() {
		c := newChooser(ibisbalancer.Config{}, fleet(3, own))
		choice := c.Choose(ibisbalancer.Request{
			Homes: []ibisid.RegionName{"pirkanmaa"},
		}, start)
		Expect(choice.Refusal).To(Equal(ibisbalancer.RefusalHome))
		config := ibisbalancer.Config{
			Own: own,
			RegionCosts: map[ibisid.RegionName]int{
				"pirkanmaa":         2,
				"pohjois-pohjanmaa": 3,
			},
		}
		answer := ibisbalancer.CheckHome(config, []ibisid.RegionName{"pohjois-pohjanmaa", "pirkanmaa"})
		Expect(answer.Serve).To(BeFalse())
		Expect(answer.Region).To(Equal(ibisid.RegionName("pirkanmaa")))
		Expect(ibisbalancer.CheckHome(config, []ibisid.RegionName{"uusimaa"}).Serve).To(BeTrue())
		Expect(ibisbalancer.CheckHome(config, nil).Serve).To(BeTrue())
	})

	It("keeps a bounded set of peers that is evenly distributed", func() {
		all := append(fleet(400, own), fleet(400, other)...)
		kept := map[ibisid.NodeName]int{}
		for _, self := range all[:400] {
			peers := ibisbalancer.SelectPeers(ibisbalancer.Config{
				Own: own,
			}, self.Node, all, ibisbalancer.MaxPeers)
			Expect(peers).To(HaveLen(ibisbalancer.MaxPeers))
			for _, p := range peers {
				kept[p.Node]++
			}
		}
		const mean = 24 // half of 32 from the domain, and the quarter for the region, which has no other domain
		for _, c := range all[:400] {
			Expect(kept[c.Node]).To(BeNumerically("~", mean, 0.8*mean))
		}
	})
})
