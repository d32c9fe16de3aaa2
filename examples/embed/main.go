// Command embed runs five members of the coordination library in one process, without the daemon. The members acquire
// leases and divide the slots of a service. One member is paused, the others take over its slots, and after the pause
// it may no longer run requests for them.
//
//	go run ./examples/embed
//
// Time is simulated, so the program finishes at once and always prints the same.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ibisridge/ibisridge"
)

const (
	slots        = 16
	tickInterval = 100 * time.Millisecond
	// followedKey is the key whose owner the program prints.
	followedKey = "mat:4711"
)

func main() { run(os.Stdout) }

func run(out io.Writer) {
	c := newCluster(out, []ibisridge.Place{
		place("uusimaa", "helsinki-a"),
		place("uusimaa", "espoo-b"),
		place("pirkanmaa", "tampere-a"),
		place("pirkanmaa", "nokia-b"),
		place("pohjois-pohjanmaa", "oulu-a"),
	})
	c.logf("five members join")
	c.runUntil(c.allJoined)
	c.announceMembersAndSpace()
	c.runUntil(c.allSlotsOwned)
	c.printOwners()

	owner := c.ownerOf(followedKey)
	c.logf("%s owns %s under token %d and is paused", owner.self.Name, followedKey, owner.token(followedKey))
	owner.paused = true
	c.runUntil(func() bool { return !owner.mayRun(followedKey, c.now) })
	c.logf("the lease of %s has expired, and %s has no owner", owner.self.Name, followedKey)
	c.runUntil(func() bool { return c.ownerOf(followedKey) != nil })
	c.logf("%s owns %s now, under token %d",
		c.ownerOf(followedKey).self.Name, followedKey, c.ownerOf(followedKey).token(followedKey))

	c.logf("%s resumes; its view of the pages names it as the owner of %s: %t",
		owner.self.Name, followedKey, owner.ownsInView(followedKey))
	c.logf("%s may run an order for %s: %t", owner.self.Name, followedKey, owner.mayRun(followedKey, c.now))
	owner.paused = false
	c.runUntil(func() bool { return owner.mustRejoin })
	c.logf("%s must rejoin under a greater incarnation", owner.self.Name)
	c.printOwners()
	c.logf("greatest number of members that could run one slot at the same time: %d", c.maxConcurrentOwners)
}

func place(region ibisridge.RegionName, domain ibisridge.DomainName) ibisridge.Place {
	return ibisridge.Place{
		Region: region,
		Domain: domain,
	}
}

func (c *cluster) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.out, "%.1f s  %s\n", c.now.Sub(time.Time{}).Seconds(), fmt.Sprintf(format, arguments...))
}

func (c *cluster) printOwners() {
	for _, m := range c.members {
		c.logf("  %-10s owns slots %v", m.self.Name, c.slotsOf(m))
	}
}
