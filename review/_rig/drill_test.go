package rig

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const drillConfig = `{"version":"00000001","limits":{"maxHeaderBytes":8192,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":60000},` +
	`"listeners":[{"host":"shop.example","ruleSet":[{"name":"look","kind":"idempotent","targetLatencyMs":600,"priority":1,` +
	`"match":{"prefix":"/look/"},"action":{"service":"floor","timeoutMs":1500,"maxAttempts":2,"allowedRegions":[]}}]}],` +
	`"clusters":[{"name":"floor","healthPath":"/health","maxConnections":130,"coldStartS":0,"coldPerS":0,"sharded":true,"grants":"call"}]}`

const (
	drillHeartbeat = 870 * time.Millisecond
	// evacuated is the zone that the operator empties and takes back.
	evacuated = "zone-a"
	// perZone is the number of instances of each of the three zones.
	perZone = 2
	// settled is the time between two steps of the operator.
	settled = 500 * time.Millisecond
	// outage is how long the store is away before it comes back.
	outage = 500 * time.Millisecond
	// takeBackAfter and rollAfter are how long after the store's return the zone is taken back and the relays of the other zones are
	// stopped and started in turn, each rollGap after the one before.
	takeBackAfter = 1500 * time.Millisecond
	rollAfter     = 5800 * time.Millisecond
	rollGap       = 1300 * time.Millisecond
	// rolled is the number of relays that are stopped and started.
	rolled = 2
	// restartPause is how long the platform takes to start an ended process again.
	restartPause = 500 * time.Millisecond
	// observed is how long the backend servers are watched from the beginning of the restarts on.
	observed = 20 * time.Second
	allKeys  = 1 << 16
)

// drill lets the store come back from a copy from before a zone was emptied, so that the moves of its keys are lost. Two relays beside
// backend servers that were given some of these keys are stopped and started in turn while the system finds out who holds what.
func drill(w *world) error {
	w.store.Put("op", "", "config", []byte(drillConfig))
	for i := range perZone {
		for _, zone := range []string{"a", "b", "c"} {
			if err := w.addDrillInstance(fmt.Sprintf("%s%d", zone, i+1), "zone-"+zone); err != nil {
				return err
			}
		}
	}
	if err := await("all keys are held", 20*time.Second, func() bool { return w.keysHeld() == allKeys }); err != nil {
		return err
	}
	w.record.add("all keys are held")
	time.Sleep(4 * settled)
	began := time.Now()
	w.store.Put("op", "", "evacuate/"+evacuated, []byte("{}"))
	w.record.add("%s is to be evacuated", evacuated)
	if err := await("the other zones hold the keys", 20*time.Second, func() bool {
		return w.book.keysOf("i-a1")+w.book.keysOf("i-a2") == 0 && w.keysHeld() == allKeys
	}); err != nil {
		return err
	}
	w.record.add("the other zones hold all keys, b1 %d of them", w.book.keysOf("i-b1"))
	time.Sleep(settled)
	if w.trouble {
		w.server.Inject(ibisrowstore.Faults{
			Down: ibisrowstore.DownBusy,
		})
		w.record.add("the store is away")
		time.Sleep(outage)
		age := time.Since(began) + settled
		era := w.store.Rewind(age)
		w.server.Clear()
		w.record.add("the store is back from a copy %.1f s old, era %d; the operator has written its rows again", age.Seconds(), era)
	}
	time.Sleep(takeBackAfter)
	w.store.Drop("op", "", "evacuate/"+evacuated)
	w.record.add("%s is taken back after %.1f s", evacuated, time.Since(began).Seconds())
	time.Sleep(rollAfter - takeBackAfter)
	restarted := make(chan error)
	go func() { restarted <- w.roll() }()
	time.Sleep(observed)
	if err := <-restarted; err != nil {
		return err
	}
	w.book.judgeOwners(w.record)
	w.record.add("%d keys are held at the end", w.keysHeld())
	return nil
}

// addDrillInstance starts an instance whose backend server is granted keys by calls.
func (w *world) addDrillInstance(name, zone string) error {
	i, err := w.addInstance(place{
		name:      name,
		zone:      zone,
		region:    "central",
		service:   "floor",
		grants:    "call",
		heartbeat: drillHeartbeat,
	})
	if err != nil {
		return err
	}
	if err := i.start(); err != nil {
		return err
	}
	_, err = w.addBackend(i, backendConfig{
		id:        "i-" + name,
		service:   "floor",
		zone:      zone,
		slots:     12,
		heartbeat: drillHeartbeat,
		sharded:   true,
		byCall:    true,
		work:      20 * time.Millisecond,
	})
	return err
}

// keysHeld returns the number of keys that the backend servers hold.
func (w *world) keysHeld() int {
	n := 0
	for _, b := range w.backends {
		n += w.book.keysOf(b.config.id)
	}
	return n
}

// roll stops and starts relays outside of the evacuated zone in turn, as planned.
func (w *world) roll() error {
	var group errgroup.Group
	for _, i := range w.instances[1 : 1+rolled] {
		i.signal(syscall.SIGTERM)
		group.Go(func() error {
			<-i.exited
			time.Sleep(restartPause)
			return i.start()
		})
		time.Sleep(rollGap)
	}
	return group.Wait()
}
