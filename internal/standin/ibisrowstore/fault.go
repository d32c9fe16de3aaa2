package ibisrowstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Down says how the store does not answer.
type Down string

const (
	// DownNot means that it answers.
	DownNot Down = ""
	// DownSilent means that calls get no answer.
	DownSilent Down = "silent"
	// DownReset means that connections are reset.
	DownReset Down = "reset"
	// DownBusy means that calls get 503.
	DownBusy Down = "busy"
	// DownMany means that calls get 429.
	DownMany Down = "many"
)

// Faults is what the store does wrong.
type Faults struct {
	// Delay is added to every answer.
	Delay time.Duration
	// Stall is the pause before each further 128 KiB of an answer, as on a link that others fill.
	Stall time.Duration
	// Down says how the store does not answer.
	Down Down
	// Lost is the share of transactions and object writes that are applied and not answered.
	Lost float64
	// Late is the share of transactions that get no answer and are applied LateBy later, if their conditions still hold.
	Late float64
	// LateBy is how much later.
	LateBy time.Duration
	// CallsPerSecond is the number of calls a second above which calls get 429; zero for no bound.
	CallsPerSecond float64
	// Count is the number of calls that are hit; zero means until the faults are cleared.
	Count int
}

// validate names every field that can't be used.
func (f Faults) validate() error {
	var faults []error
	share := func(name string, value float64) {
		if value < 0 || value > 1 {
			faults = append(faults, fmt.Errorf("%s %v: must be a share from 0 to 1", name, value))
		}
	}
	switch f.Down {
	case DownNot, DownSilent, DownReset, DownBusy, DownMany:
	default:
		faults = append(faults, fmt.Errorf("down %q: must be silent, reset, busy or many", f.Down))
	}
	share("lost", f.Lost)
	share("late", f.Late)
	if f.Delay < 0 || f.Stall < 0 || f.LateBy < 0 {
		faults = append(faults, errors.New("delay, stall, lateBy: must not be negative"))
	}
	if f.Late > 0 && f.LateBy == 0 {
		faults = append(faults, errors.New("lateBy: must be above zero where late is"))
	}
	if f.CallsPerSecond != 0 && f.CallsPerSecond < 1 {
		faults = append(faults, fmt.Errorf("callsPerSecond %v: must be 1 or more", f.CallsPerSecond))
	}
	if f.Count < 0 {
		faults = append(faults, fmt.Errorf("count %d: must not be negative", f.Count))
	}
	if f == (Faults{Count: f.Count}) {
		faults = append(faults, errors.New("one of delay, stall, down, lost, late, callsPerSecond must be given"))
	}
	return errors.Join(faults...)
}

// Counts is the number of calls that a server has had.
type Counts struct {
	// Reads counts reads of rows, feeds, partitions and objects.
	Reads uint64 `json:"reads"`
	// Writes counts transactions and writes of objects.
	Writes uint64 `json:"writes"`
	// Faults counts calls that a fault hit.
	Faults uint64 `json:"faults"`
}

// rule is a set of faults in force.
type rule struct {
	Faults
	pace *rate.Limiter
}

// faults holds the faults in force and counts calls.
type faults struct {
	mu     sync.Mutex
	rules  []rule
	random *rand.Rand
	counts Counts
}

func (f *faults) add(n Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := rule{
		Faults: n,
	}
	if n.CallsPerSecond > 0 {
		r.pace = rate.NewLimiter(rate.Limit(n.CallsPerSecond), int(n.CallsPerSecond))
	}
	f.rules = append(f.rules, r)
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
}

func (f *faults) list() []Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Faults, 0, len(f.rules))
	for _, r := range f.rules {
		out = append(out, r.Faults)
	}
	return out
}

func (f *faults) total() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// fate is what happens to one call.
type fate struct {
	delay time.Duration
	stall time.Duration
	down  Down
	lost  bool
	late  time.Duration
}

// draw decides on one call; only a transaction may be applied late.
func (f *faults) draw(write, transaction bool) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		f.counts.Writes++
	} else {
		f.counts.Reads++
	}
	var out fate
	hit := false
	kept := f.rules[:0]
	for _, r := range f.rules {
		if f.apply(r, write, transaction, &out) {
			hit = true
			if r.Count == 1 {
				continue
			}
			r.Count = max(0, r.Count-1)
		}
		kept = append(kept, r)
	}
	f.rules = kept
	if hit {
		f.counts.Faults++
	}
	return out
}

// apply adds what a rule does to a call and reports whether it does anything.
func (f *faults) apply(r rule, write, transaction bool, out *fate) bool {
	before := *out
	out.delay = max(out.delay, r.Delay)
	out.stall = max(out.stall, r.Stall)
	if r.Down != DownNot {
		out.down = r.Down
	}
	if r.pace != nil && !r.pace.Allow() {
		out.down = DownMany
	}
	if write && f.random.Float64() < r.Lost {
		out.lost = true
	}
	if transaction && !out.lost && f.random.Float64() < r.Late {
		out.late = r.LateBy
	}
	return *out != before
}
