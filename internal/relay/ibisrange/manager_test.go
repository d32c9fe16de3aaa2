package ibisrange_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
)

// deliveries lists the ways in which grants reach backend servers; every test of ownership runs over each.
var deliveries = []ibisrange.Delivery{ibisrange.DeliveryHeartbeat, ibisrange.DeliveryCall}

var _ = Describe("With grants delivered by", func() {
	for _, delivery := range deliveries {
		Context(string(delivery), func() {
			describeManagersUnderFaults(delivery)
			describeManager(delivery)
		})
	}
})

func describeManagersUnderFaults(delivery ibisrange.Delivery) {
	It("never let two backend servers hold one key, and never lower a token", func() {
		const seeds = 150
		for seed := range uint64(seeds) {
			sim := newSimulation(seed, 3+int(seed%4), delivery)
			sim.run(6 * time.Second)
			for range 14 {
				sim.injectFault()
				sim.run(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
				sim.checkSoleHolders()
			}
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("serve every key again once the faults have ended", func() {
		const seeds = 60
		for seed := range uint64(seeds) {
			sim := newSimulation(1000+seed, 4, delivery)
			sim.run(6 * time.Second)
			for range 5 {
				sim.injectFault()
				sim.run(2 * time.Second)
			}
			sim.run(45 * time.Second)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			Expect(sim.servedKeys()).To(Equal(ibisrange.Keys), "seed %d", 1000+seed)
		}
	})
}

func describeManager(delivery ibisrange.Delivery) {
	It("divides the keys evenly among the backend servers that have joined, without later moves", func() {
		sim := newSimulation(1, 4, delivery)
		sim.lateHeartbeatShare = 0
		sim.run(8 * time.Second)
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
		for _, n := range sim.nodes {
			for _, h := range n.server.holds {
				Expect(h.Token).To(BeEquivalentTo(1))
			}
		}
	})

	It("keeps every key served during a store outage of seven seconds", func() {
		sim := newSimulation(2, 4, delivery)
		sim.run(10 * time.Second)
		for _, n := range sim.nodes {
			n.storeUnreachable = true
		}
		for range 70 {
			sim.run(100 * time.Millisecond)
			Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
		}
	})

	It("moves a crashed backend server's keys within five seconds when its node detects the crash", func() {
		sim := newSimulation(3, 4, delivery)
		sim.run(10 * time.Second)
		sim.crashServer(sim.nodes[1], true, time.Hour)
		sim.run(5 * time.Second)
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
	})

	It("passes handover texts to the new owners when a backend server drains", func() {
		sim := newSimulation(4, 4, delivery)
		sim.run(10 * time.Second)
		leaving := sim.nodes[2].server
		leaving.leaving = true
		sim.run(5 * time.Second)
		Expect(leaving.holds).To(BeEmpty())
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
		handedOver := 0
		for _, n := range sim.nodes {
			for _, h := range n.server.holds {
				if h.Handover != "" {
					handedOver += h.Width()
				}
			}
		}
		Expect(handedOver).To(BeNumerically("~", ibisrange.Keys/4, ibisrange.Keys/100))
	})

	It("gives a joining backend server a fair share of the keys", func() {
		sim := newSimulation(5, 3, delivery)
		sim.run(10 * time.Second)
		n := sim.addNode("9")
		sim.run(12 * time.Second)
		own := 0
		for _, h := range n.server.holds {
			own += h.Width()
		}
		Expect(own).To(BeNumerically(">", ibisrange.Keys/8))
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
	})

	It("takes over a lost node's keys although all other nodes restart in the meantime", func() {
		sim := newSimulation(9, 4, delivery)
		sim.lateHeartbeatShare = 0
		sim.run(12 * time.Second)
		lost := sim.nodes[3]
		lost.running = false
		sim.crashServer(lost, false, time.Hour)
		sim.run(5 * time.Second)
		for _, n := range sim.nodes[:3] {
			sim.startNode(n)
		}
		sim.run(10 * time.Second)
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
	})

	It("serves every key all the while when the store comes back from an older copy", func() {
		sim := newSimulation(7, 4, delivery)
		sim.lateHeartbeatShare = 0
		sim.run(12 * time.Second)
		sim.rewind(3 * time.Second)
		for range 300 {
			sim.run(100 * time.Millisecond)
			Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("keeps one owner per key when the store loses a move, and moves again once a page of the era stands", func() {
		for seed := range uint64(20) {
			sim := newSimulation(100+seed, 3, delivery)
			sim.run(12 * time.Second)
			sim.addNode("9")
			sim.run(2*time.Second + time.Duration(sim.random.Int64N(int64(5*time.Second))))
			sim.rewind(4 * time.Second)
			sim.run(40 * time.Second)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			Expect(sim.servedKeys()).To(Equal(ibisrange.Keys), "seed %d", seed)
		}
	})

	It("serves every key within two seconds after the store's return although all leases have lapsed", func() {
		sim := newSimulation(6, 4, delivery)
		sim.lateHeartbeatShare = 0
		sim.run(10 * time.Second)
		for _, n := range sim.nodes {
			n.storeUnreachable = true
		}
		sim.run(15 * time.Second)
		Expect(sim.servedKeys()).To(BeZero())
		for _, n := range sim.nodes {
			n.storeUnreachable = false
		}
		sim.run(2 * time.Second)
		Expect(sim.servedKeys()).To(Equal(ibisrange.Keys))
	})
}
