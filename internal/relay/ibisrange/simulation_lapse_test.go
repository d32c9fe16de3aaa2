package ibisrange_test

import "time"

// lapse cuts a node off from the store, suspends it or both, each until about the end of its lease.
func (sim *simulation) lapse(n *node) {
	around := func() time.Duration {
		return leaseTerm - 2*time.Second + time.Duration(sim.random.Int64N(int64(5*time.Second)))
	}
	kind := sim.random.IntN(4)
	if kind != 0 {
		n.storeUnreachable = true
		sim.after(around(), func() { n.storeUnreachable = false })
	}
	switch kind {
	case 0, 1: // suspended, the second time also cut off
		n.suspendedUntil = sim.now.Add(around())
	case 2: // suspended again as it comes back
		sim.after(around(), func() { n.suspendedUntil = sim.now.Add(around() / 2) })
	}
	if sim.random.Float64() < 0.3 {
		sim.lostAnswerShare = 0.5
		sim.after(around(), func() { sim.lostAnswerShare = 0 })
	}
	if sim.random.Float64() < 0.3 {
		sim.after(around(), func() { sim.rewind(time.Duration(sim.random.Int64N(int64(5 * time.Second)))) })
	}
}
