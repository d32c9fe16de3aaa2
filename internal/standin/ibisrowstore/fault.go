package ibisrowstore

import (
	"math/rand/v2"
	"sync"
	"time"
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
	// Delay is added to every answer, in milliseconds.
	DelayMs int `json:"delayMs"`
	// Down says how the store does not answer.
	Down Down `json:"down"`
	// Lost is the share of transactions that are applied and not answered.
	Lost float64 `json:"lost"`
	// Late is the share of transactions that get no answer and are applied LateMs later, if their conditions still hold.
	Late float64 `json:"late"`
	// LateMs is how much later.
	LateMs int `json:"lateMs"`
	// WritesPerSecond is the number of transactions a second above which calls get 429; zero for no bound.
	WritesPerSecond int `json:"writesPerSecond"`
}

// faults holds the faults in force and counts calls.
type faults struct {
	mu     sync.Mutex
	now    Faults
	random *rand.Rand
	second int64
	writes int
	calls  uint64
}

func (f *faults) set(n Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = n
}

// fate is what happens to one call.
type fate struct {
	delay time.Duration
	down  Down
	lost  bool
	late  time.Duration
}

// draw decides on one call.
func (f *faults) draw(write bool) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	out := fate{
		delay: time.Duration(f.now.DelayMs) * time.Millisecond,
		down:  f.now.Down,
	}
	if !write || out.down != DownNot {
		return out
	}
	if second := time.Now().Unix(); second != f.second {
		f.second, f.writes = second, 0
	}
	f.writes++
	if f.now.WritesPerSecond > 0 && f.writes > f.now.WritesPerSecond {
		out.down = DownMany
		return out
	}
	out.lost = f.random.Float64() < f.now.Lost
	if !out.lost && f.random.Float64() < f.now.Late {
		out.late = time.Duration(f.now.LateMs) * time.Millisecond
	}
	return out
}
