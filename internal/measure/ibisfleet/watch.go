package ibisfleet

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Outage is how long slots of a service were not served while they were watched.
type Outage struct {
	// Slots is the number of slots of the service.
	Slots int
	// Interrupted lists the longest time of each slot that was not served at some time, in ascending order.
	Interrupted []time.Duration
	// Served is the share of the time that a slot was served, over all slots.
	Served float64
	// Unserved is the number of slots that no node served at the end.
	Unserved int
	// LastWork is when the watched failure domain last served a slot, counted from the start.
	LastWork time.Duration
}

// P50 returns the median of the interruptions, zero where there was none.
func (o Outage) P50() time.Duration {
	if len(o.Interrupted) == 0 {
		return 0
	}
	return o.Interrupted[len(o.Interrupted)/2]
}

// Max returns the longest interruption, zero where there was none.
func (o Outage) Max() time.Duration {
	if len(o.Interrupted) == 0 {
		return 0
	}
	return o.Interrupted[len(o.Interrupted)-1]
}

// watcher remembers who served each slot at the last look.
type watcher struct {
	fleet   *Fleet
	slots   []ibisid.Slot
	serving []*node
}

func (f *Fleet) watch(service ibisid.ServiceName) *watcher {
	s, _ := f.document.Service(service)
	w := &watcher{
		fleet:   f,
		slots:   make([]ibisid.Slot, s.Slots),
		serving: make([]*node, s.Slots),
	}
	for i := range w.slots {
		w.slots[i] = ibisid.Slot{
			Space: ibisid.SlotSpace{
				Service: service,
				Hidden:  s.KeySpace == "",
			},
			Index: ibisid.SlotIndex(i),
		}
	}
	return w
}

// look finds who serves each slot now and returns the number of slots that nobody serves.
func (w *watcher) look() int {
	unserved := 0
	for i, slot := range w.slots {
		if old := w.serving[i]; old != nil && w.serves(old, slot) {
			continue
		}
		w.serving[i] = nil
		for _, n := range w.fleet.nodes {
			if w.serves(n, slot) {
				w.serving[i] = n
				break
			}
		}
		if w.serving[i] == nil {
			unserved++
		}
	}
	return unserved
}

// serves reports whether the node would hand a request of the slot to its backend server right now.
func (w *watcher) serves(n *node, slot ibisid.Slot) bool {
	if n.dead || n.server.Service != slot.Space.Service {
		return false
	}
	permit, err := n.manager.AcquirePermit(w.fleet.refused, slot, "")
	if err != nil {
		return false
	}
	defer permit.Release()
	return permit.Check() == nil
}

// Watch lets time pass and measures how long slots of the service are not served; domain may be empty.
func (f *Fleet) Watch(service ibisid.ServiceName, domain ibisid.DomainName, d time.Duration) Outage {
	w := f.watch(service)
	open := make([]time.Duration, len(w.slots))
	longest := make([]time.Duration, len(w.slots))
	o := Outage{Slots: len(w.slots)}
	var lost time.Duration
	for passed := time.Duration(0); passed < d; passed += look {
		o.Unserved = w.look()
		for i, n := range w.serving {
			if n != nil {
				open[i] = 0
				if n.server.Place.Domain == domain {
					o.LastWork = passed
				}
				continue
			}
			open[i] += look
			longest[i] = max(longest[i], open[i])
			lost += look
		}
		f.Run(look)
	}
	for _, l := range longest {
		if l > 0 {
			o.Interrupted = append(o.Interrupted, l)
		}
	}
	slices.Sort(o.Interrupted)
	o.Served = 1 - float64(lost)/float64(d)/float64(len(w.slots))
	return o
}

// Owned returns the number of slots of the service that each node serves, in order of the servers.
func (f *Fleet) Owned(service ibisid.ServiceName) []int {
	w := f.watch(service)
	w.look()
	counts := map[*node]int{}
	for _, n := range w.serving {
		counts[n]++
	}
	var owned []int
	for _, n := range f.nodes {
		if !n.dead && n.server.Service == service {
			owned = append(owned, counts[n])
		}
	}
	return owned
}
