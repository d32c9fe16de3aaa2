package rig

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	divisionHeartbeat = 1500 * time.Millisecond
	// added is the number of instances that join the first one, each addedGap after the one before.
	added    = 4
	addedGap = 300 * time.Millisecond
	// shortOutage is how long the store is away before it comes back.
	shortOutage = 300 * time.Millisecond
	// beforeDivision is how long before the keys were held the copy of the store was made.
	beforeDivision = 2 * time.Second
	// restartAfter is how long after the store's return the relay of the first instance is stopped, and shortPause how long the platform
	// takes to start it again.
	restartAfter = 1200 * time.Millisecond
	shortPause   = 300 * time.Millisecond
	// divisionObserved is how long the backend servers are watched after the restart.
	divisionObserved = 14 * time.Second
)

// division lets the store come back from a copy from before the keys of a service were divided for the first time. The relay beside the
// backend server that holds all of them is stopped and started, as planned, while empty instances are added.
func division(w *world) error {
	w.store.Put("op", "", "config", []byte(strings.ReplaceAll(drillConfig, `"grants":"call"`, `"grants":"heartbeat"`)))
	if err := w.addEqualInstance("a1", "zone-a", divisionHeartbeat); err != nil {
		return err
	}
	if err := await("all keys are held", 20*time.Second, func() bool { return w.keysHeld() == allKeys }); err != nil {
		return err
	}
	w.record.add("all keys are held by i-a1")
	divided := time.Now()
	for n := range added {
		time.Sleep(addedGap)
		if err := w.addEqualInstance(fmt.Sprintf("b%d", n+1), fmt.Sprintf("zone-%c", 'a'+(n+1)%3), divisionHeartbeat); err != nil {
			return err
		}
	}
	time.Sleep(addedGap)
	if w.trouble {
		w.server.Inject(ibisrowstore.Faults{
			Down: ibisrowstore.DownBusy,
		})
		w.record.add("the store is away")
		time.Sleep(shortOutage)
		age := time.Since(divided) + beforeDivision
		era := w.store.Rewind(age)
		w.server.Clear()
		w.record.add("the store is back from a copy %.1f s old, era %d; the operator has written its rows again", age.Seconds(), era)
	}
	time.Sleep(restartAfter)
	first := w.instances[0]
	first.signal(syscall.SIGTERM)
	<-first.exited
	time.Sleep(shortPause)
	if err := first.start(); err != nil {
		return err
	}
	time.Sleep(divisionObserved)
	w.book.judgeOwners(w.record)
	w.record.add("%d keys are held at the end", w.keysHeld())
	return nil
}
