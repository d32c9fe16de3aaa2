package reviewcase

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	// drillDesk and drillFloor are the numbers of machines of the two services.
	drillDesk  = 2
	drillFloor = 6
	// addInterval is the time between two machines that are added after the first one of the divided service.
	addInterval = 305 * time.Millisecond
	// settleTime is the time from the last one until the drill.
	settleTime = time.Second
	// storeAway is how long the store is away in a drill, and copyAge the age of the copy from which it comes back.
	storeAway = 300 * time.Millisecond
	copyAge   = 5 * time.Second
	// drillRestart is the time until a killed process is started again.
	drillRestart = 550 * time.Millisecond
	// secondKill is the time from the restart of the first process until the others are killed.
	secondKill = 3200 * time.Millisecond
	// watchInterval is the time between two looks at what the backend servers hold.
	watchInterval = 5 * time.Millisecond
	// longestOverlap is how long two backend servers may hold the same keys.
	longestOverlap = 500 * time.Millisecond
	// watchTime is how long the servers are watched after the drill.
	watchTime = 12 * time.Second
)

// drillAfterDivision adds a backend server of a service that is divided by key, and once it holds all keys five more. Soon after that
// the store comes back from a copy of before the first division. Then the process of one machine is killed, and later those of all
// others.
func drillAfterDivision(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "proof-approval",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceFloor,
		targetMs:  400,
		timeoutMs: 1000,
	}, route{
		name:      "design-lookup",
		kind:      "idempotent",
		prefix:    "/lohu930/",
		service:   serviceDesk,
		targetMs:  400,
		timeoutMs: 1000,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	if err := w.addMachines(serviceDesk, drillDesk, noted); err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	desk := startLoad(w.machines, 2, time.Second, 50*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodGet, hostName, "/lohu930/2f", -1)
	})
	time.Sleep(8 * time.Second)
	if err := w.addMachines(serviceFloor, 1, noted); err != nil {
		return nil, err
	}
	if err := w.awaitHeld(); err != nil {
		return nil, err
	}
	for range drillFloor - 1 {
		time.Sleep(addInterval)
		if err := w.addMachines(serviceFloor, 1, noted); err != nil {
			return nil, err
		}
	}
	floor := startLoad(w.machines, 4, time.Second, 30*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", rand.IntN(1<<16))
	})
	watched := w.watchHolders()
	time.Sleep(settleTime + addInterval)
	if trouble {
		if err := w.drillAndKills(); err != nil {
			return nil, err
		}
	}
	time.Sleep(watchTime)
	desk.end()
	floor.end()
	return watched.end(noted), nil
}

// addMachines adds machines with a backend server of a service and starts them.
func (w *world) addMachines(service string, count int, noted *runs) error {
	for range count {
		m, err := w.addMachine(service)
		if err != nil {
			return err
		}
		if _, err := w.startBackend(m, backendConfig{
			id:      fmt.Sprintf("i-%s%04d", service[:5], len(w.machines)),
			slots:   12,
			sharded: service == serviceFloor,
			work:    20 * time.Millisecond,
		}, noted); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// drillAndKills has the store come back from an older copy. The process of one machine is killed right after that, and later those of
// all other machines at once.
func (w *world) drillAndKills() error {
	w.faults.Inject(ibisrowstore.Faults{
		Down: ibisrowstore.DownBusy,
	})
	w.log.add("the store is away")
	time.Sleep(storeAway)
	w.log.add("the store comes back from a copy of %s before, era %d", copyAge, w.store.Rewind(copyAge))
	w.faults.Clear()
	time.Sleep(storeAway)
	first := w.first(serviceFloor)
	if err := killAndRestart(first); err != nil {
		return err
	}
	time.Sleep(secondKill)
	var others []*machine
	for _, m := range w.machines {
		if m != first {
			others = append(others, m)
		}
	}
	return killAndRestart(others...)
}

// first returns the machine of a service whose name is the first.
func (w *world) first(service string) *machine {
	var first *machine
	for _, m := range w.machines {
		if m.service == service && (first == nil || m.name < first.name) {
			first = m
		}
	}
	return first
}

// killAndRestart kills the processes of machines at once and starts them again.
func killAndRestart(machines ...*machine) error {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.awaitExit(graceTime)
	}
	time.Sleep(drillRestart)
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

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
