package reviewcase

import (
	"fmt"
	"sync"
	"time"
)

const (
	// watchInterval is the time between two looks at what the backend servers hold.
	watchInterval = 5 * time.Millisecond
	// longestOverlap is how long two backend servers may hold the same keys.
	longestOverlap = 500 * time.Millisecond
)

// overlap is a span that two backend servers held together.
type overlap struct {
	first, second string
	from, to      int
	since, until  time.Time
}

// watch notes which spans two backend servers hold together.
type watch struct {
	world *world
	stop  chan struct{}
	wg    sync.WaitGroup
	open  map[string]*overlap
	all   []*overlap
}

// watchHolders begins to watch what the backend servers hold.
func (w *world) watchHolders() *watch {
	h := &watch{
		world: w,
		stop:  make(chan struct{}),
		open:  make(map[string]*overlap),
	}
	h.wg.Go(func() {
		for {
			select {
			case <-h.stop:
				return
			case <-time.After(watchInterval):
				h.look(time.Now())
			}
		}
	})
	return h
}

// look compares what each two backend servers hold now.
func (h *watch) look(now time.Time) {
	held := make([][]hold, len(h.world.backends))
	for i, b := range h.world.backends {
		held[i] = b.held(now)
	}
	for i := range held {
		for j := range i {
			for _, a := range held[i] {
				for _, b := range held[j] {
					h.note(h.world.backends[i].id, h.world.backends[j].id, max(a.from, b.from), min(a.to, b.to), now)
				}
			}
		}
	}
}

// note notes a span that two backend servers hold now, unless it is empty.
func (h *watch) note(first, second string, from, to int, now time.Time) {
	if from > to {
		return
	}
	name := fmt.Sprintf("%s %s %d %d", first, second, from, to)
	o := h.open[name]
	if o == nil || now.Sub(o.until) > 10*watchInterval {
		o = &overlap{
			first:  first,
			second: second,
			from:   from,
			to:     to,
			since:  now,
		}
		h.open[name] = o
		h.all = append(h.all, o)
	}
	o.until = now
}

// end ends the watch and returns the breaches: spans that two servers held for longer than longestOverlap, or on which both began
// requests while they held them together.
func (h *watch) end(noted *runs) []string {
	close(h.stop)
	h.wg.Wait()
	var breaches []string
	for _, o := range h.all {
		lasted := o.until.Sub(o.since)
		both := noted.began(o.first, o.from, o.to, o.since, o.until) && noted.began(o.second, o.from, o.to, o.since, o.until)
		h.world.log.add("%s and %s both held %d to %d for %s from %.3f s on, both began requests on them: %t",
			o.first, o.second, o.from, o.to, lasted, h.world.log.since(o.since).Seconds(), both)
		if lasted > longestOverlap || both {
			breaches = append(breaches, fmt.Sprintf("OWNER: %s and %s both held %d to %d for %s, both began requests on them: %t", o.first, o.second, o.from, o.to, lasted, both))
		}
	}
	return breaches
}

// held returns what the backend server holds, nothing once it has ended.
func (b *backend) held(now time.Time) []hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []hold
	for _, h := range b.holds {
		if !b.ended && !h.dropped && now.Before(h.until) {
			out = append(out, h)
		}
	}
	return out
}
