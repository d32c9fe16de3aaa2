package ibismodel_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisduration"
	"github.com/ibisridge/ibisridge/internal/measure/ibismodel"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibismodel")
}

func span(d time.Duration) ibisduration.Duration { return ibisduration.Duration{Duration: d} }

// deployment is a small system of two services, the second of which is keyed and called by the first.
func deployment(change func(c *ibismodel.Config)) ibismodel.Config {
	c := ibismodel.Config{
		Fleet: ibismodel.Fleet{
			Regions: 3, DomainsPerRegion: 2,
			DomainDelay: span(1400 * time.Microsecond), RegionDelay: span(20 * time.Millisecond), CallerDelay: span(3 * time.Millisecond),
		},
		Services: []ibismodel.Service{
			{
				Name: "desk", Servers: 9, Slots: 12, Queue: 4, SpeedSpread: 0.2, SlowNearFull: 0.3,
				ColdFor: span(4 * time.Second), ColdFactor: 3, ColdPerSecond: 10,
			},
			{Name: "registry", Servers: 6, Slots: 12, Queue: 4, Keyed: true, SpeedSpread: 0.2, ColdFor: span(4 * time.Second), ColdFactor: 3, ColdPerSecond: 10},
		},
		Classes: []ibismodel.Class{
			{
				Name: "lookup", Service: "desk", Priority: 2, PerSecond: 160, Work: span(220 * time.Millisecond), Target: span(800 * time.Millisecond),
				Deadline: span(5 * time.Second), Worth: 1, Late: 0.5, Retries: 2, Repeatable: true, Calls: "read", CallShare: 0.3,
			},
			{
				Name: "payment", Service: "desk", Priority: 1, PerSecond: 68, Work: span(290 * time.Millisecond), Target: span(800 * time.Millisecond),
				Deadline: span(5 * time.Second), Worth: 2, Late: 1, Retries: 2,
			},
			{
				Name: "export", Service: "registry", Priority: 2, PerSecond: 22, Work: span(180 * time.Millisecond), Target: span(600 * time.Millisecond),
				Deadline: span(4 * time.Second), Worth: 1, Late: 0.5, Retries: 2, Repeatable: true, AnswerBytes: 90_000,
			},
			{
				Name: "read", Service: "registry", Priority: 0, Work: span(55 * time.Millisecond), Target: span(200 * time.Millisecond),
				Deadline: span(600 * time.Millisecond), Late: 0, Repeatable: true,
			},
		},
		Duration: span(20 * time.Second),
		Warmup:   span(2 * time.Second),
	}
	if change != nil {
		change(&c)
	}
	return c
}

var _ = Describe("A model", func() {
	It("gives the same figures for the same seed, and others for another", func() {
		c := deployment(nil)
		Expect(c.Validate()).To(Succeed())
		first := ibismodel.Run(c, ibismodel.PolicyRelay, 1)
		Expect(ibismodel.Run(c, ibismodel.PolicyRelay, 1)).To(Equal(first))
		Expect(ibismodel.Run(c, ibismodel.PolicyRelay, 2)).NotTo(Equal(first))
	})

	It("accounts for every request", func() {
		c := deployment(func(c *ibismodel.Config) {
			c.Surges = []ibismodel.Surge{{At: span(5 * time.Second), For: span(8 * time.Second), Factor: 3}}
			c.Faults = []ibismodel.Fault{
				{Kind: ibismodel.FaultCrash, At: span(7 * time.Second), For: span(3 * time.Second), Share: 0.3},
				{Kind: ibismodel.FaultGrey, At: span(7 * time.Second), For: span(3 * time.Second), Share: 0.3, Factor: 0.5},
				{Kind: ibismodel.FaultRegion, At: span(12 * time.Second), For: span(3 * time.Second), Region: 1},
			}
			c.Callers = ibismodel.Callers{Impatient: 0.2, GiveUp: 0.1}
		})
		Expect(c.Validate()).To(Succeed())
		for _, policy := range ibismodel.Policies() {
			for _, class := range ibismodel.Run(c, policy, 1).Classes {
				ended := class.InTarget + class.Late + class.Refused + class.Failed + class.Held
				Expect(ended).To(Equal(class.Asked), "%s of %s", class.Class, policy)
			}
		}
	})

	It("serves a calm load within the target, but for the policy that herds onto the server of the latest report", func() {
		for _, policy := range ibismodel.Policies() {
			worth := ibismodel.Run(deployment(nil), policy, 1).Worth
			if policy == ibismodel.PolicyLeastLoaded {
				Expect(worth).To(BeNumerically("<", 0.9))
				continue
			}
			Expect(worth).To(BeNumerically(">", 0.9), string(policy))
		}
	})

	It("names every field that can't be used", func() {
		c := deployment(func(c *ibismodel.Config) {
			c.Fleet.Regions = 0
			c.Services[0].Slots = 0
			c.Classes[0].Calls = "nothing"
			c.Classes[1].Target = span(time.Minute)
			c.Faults = []ibismodel.Fault{{Kind: "flood", For: span(time.Second)}}
			c.Surges = []ibismodel.Surge{{Factor: -1}}
			c.Callers.Impatient = 2
		})
		err := c.Validate()
		for _, part := range []string{
			"fleet.regions 0", `services "desk".slots 0`, `classes "lookup".calls "nothing"`, `classes "payment".target 1m0s`,
			`faults[0].kind "flood"`, "surges[0].factor -1", "surges[0].for", "callers.impatient 2",
		} {
			Expect(err).To(MatchError(ContainSubstring(part)))
		}
	})

	It("holds thousands of servers", func() {
		c := deployment(func(c *ibismodel.Config) {
			c.Services = c.Services[:1]
			c.Services[0].Servers = 600
			c.Classes = c.Classes[:2]
			c.Classes[0].Calls, c.Classes[0].CallShare = "", 0
			c.Classes[0].PerSecond *= 50
			c.Classes[1].PerSecond *= 50
			c.Duration, c.Warmup = span(3*time.Second), span(time.Second)
		})
		Expect(c.Validate()).To(Succeed())
		Expect(ibismodel.Run(c, ibismodel.PolicyRelay, 1).Worth).To(BeNumerically(">", 0.9))
	})
})

// Load patterns at their worst, each against the policy that lacks the decision.
var _ = DescribeTable("The relay serves callers better than without its decision",
	func(change func(c *ibismodel.Config), without ibismodel.Policy) {
		var with, bare float64
		for seed := range uint64(2) {
			with += ibismodel.Run(deployment(change), ibismodel.PolicyRelay, seed).Worth / 2
			bare += ibismodel.Run(deployment(change), without, seed).Worth / 2
		}
		Expect(with).To(BeNumerically(">", bare))
	},
	Entry("three times the load, admission", func(c *ibismodel.Config) {
		c.Surges = []ibismodel.Surge{{At: span(5 * time.Second), For: span(10 * time.Second), Factor: 3}}
	}, ibismodel.PolicyNoAdmission),
	Entry("a slow third, choice", func(c *ibismodel.Config) {
		c.Faults = []ibismodel.Fault{{Kind: ibismodel.FaultSlow, At: span(5 * time.Second), For: span(10 * time.Second), Share: 0.34, Factor: 6, Service: "desk"}}
	}, ibismodel.PolicyRoundRobin),
	Entry("lying reports, choice", func(c *ibismodel.Config) {
		c.Faults = []ibismodel.Fault{{Kind: ibismodel.FaultLying, At: span(time.Second), For: span(20 * time.Second), Share: 0.3}}
	}, ibismodel.PolicyLeastLoaded),
)

var _ = It("The relay never gives a cold server more than it bears, where all turn cold at once", func() {
	c := deployment(func(c *ibismodel.Config) {
		c.Faults = []ibismodel.Fault{{Kind: ibismodel.FaultCrash, At: span(6 * time.Second), For: span(time.Second), Share: 1}}
	})
	relay := ibismodel.Run(c, ibismodel.PolicyRelay, 1)
	Expect(relay.ColdOver).To(BeZero())
	Expect(relay.ColdFalls).To(BeZero())
	Expect(ibismodel.Run(c, ibismodel.PolicyTwoChoices, 1).ColdOver).To(BeNumerically(">", 0))
})
