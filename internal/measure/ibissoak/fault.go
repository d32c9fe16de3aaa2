package ibissoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	longestGap   = 900 * time.Millisecond
	longestFault = 5 * time.Second
	drainTime    = 3 * time.Second
	// contactTime is how long after a disturbance a node may still be out of touch.
	contactTime = 3 * time.Second
	// crashingTime is how long a request that ends servers is sent, every crashingPause; after each crashingRestart of them, servers
	// that are down start again.
	crashingTime    = 8 * time.Second
	crashingPause   = 100 * time.Millisecond
	crashingRestart = 10
	// longestForeignGap is the longest time between two heartbeats of another writer.
	longestForeignGap = 300 * time.Millisecond
	// maxFurtherSignals is the greatest number of signals that a process gets while it stops.
	maxFurtherSignals = 4
	// longestRewind is the greatest age of the copy from which the store comes back.
	longestRewind = 4 * time.Second
)

// injectAll injects faults one after the other, without waiting for the last one's end, until the context ends.
func (s *soak) injectAll(ctx context.Context) {
	for ctx.Err() == nil {
		s.inject(ctx)
		ibistimer.Sleep(ctx, time.Duration(s.random.Int64N(int64(longestGap))))
	}
	s.injected.Wait()
}

// span draws how long a fault lasts.
func (s *soak) span() time.Duration {
	return 300*time.Millisecond + time.Duration(s.random.Int64N(int64(longestFault)))
}

// note writes a fault down and remembers whom it may hold up.
func (s *soak) note(n *node, lasts time.Duration, format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(lasts)
	if n == nil {
		s.upsetAll = until
		return
	}
	// Requests at any node may be on their way to this one.
	s.upset[n], s.upsetAll = until, until
}

// Numbers of kinds of faults, without and with those of Config.ServerFaults.
const (
	plainKinds  = 14
	serverKinds = 3
)

func (s *soak) kinds() int {
	if s.config.ServerFaults {
		return plainKinds + serverKinds
	}
	return plainKinds
}

// upsetStore remembers that the store is disturbed for the time.
func (s *soak) upsetStore(lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(lasts); until.After(s.storeUpset) {
		s.storeUpset = until
	}
}

// inTouch reports whether bounds of time are checked for what the node sends: neither it nor the store has been disturbed for contactTime.
func (s *soak) inTouch(n *node) bool {
	if s.config.PromisesOnly {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	calmSince := time.Now().Add(-contactTime)
	return s.upset[n].Before(calmSince) && s.storeUpset.Before(calmSince)
}

// inject does one thing wrong.
func (s *soak) inject(ctx context.Context) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	span := s.span()
	switch s.random.IntN(s.kinds()) {
	case 0:
		m := mode(1 + s.random.IntN(int(modes)-1))
		s.note(n, span, "%s: link to the store in mode %d for %s", n.name, m, span)
		s.during(ctx, span, func() { n.store.set(m) }, func() { n.store.set(modePass) })
	case 1:
		m := mode(1 + s.random.IntN(int(modes)-1))
		s.note(n, span, "%s: link from nodes in mode %d for %s", n.name, m, span)
		s.during(ctx, span, func() { n.peers.set(m) }, func() { n.peers.set(modePass) })
	case 2:
		s.note(n, 0, "%s: connections are reset", n.name)
		n.peers.reset()
		n.store.reset()
	case 3:
		s.note(n, time.Second, "%s: process is killed", n.name)
		s.restart(n, syscall.SIGKILL)
	case 4:
		s.note(n, graceTime+time.Second, "%s: process is stopped as planned", n.name)
		s.restart(n, syscall.SIGTERM)
	case 5:
		s.note(n, span, "%s: process is paused for %s", n.name, span)
		s.during(ctx, span, func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
	case 6:
		s.note(n, 0, "%s: settings are to be read anew", n.name)
		n.signal(syscall.SIGHUP)
	case 7:
		sameID := s.random.IntN(2) == 0
		s.note(n, span, "%s: backend server crashes, down for %s, same id: %t", n.name, span, sameID)
		s.during(ctx, span, func() { n.current().Crash() }, func() { s.reborn(n, sameID) })
	case 8:
		s.note(n, drainTime, "%s: backend server drains and is replaced", n.name)
		s.during(ctx, drainTime, func() { n.current().Drain() }, func() {
			n.current().Leave()
			s.reborn(n, false)
		})
	case 9:
		s.upsetStore(span)
		f := s.storeFault()
		s.note(nil, span, "store: %+v for %s", f, span)
		s.during(ctx, span, func() {
			s.server.Clear()
			s.server.Inject(f)
		}, s.server.Clear)
	case 10:
		s.note(nil, 0, "store: history is forgotten")
		s.store.Forget()
	case 11:
		s.upsetStore(0)
		s.mu.Lock()
		s.rewoundAt = time.Now()
		s.mu.Unlock()
		age := time.Duration(1 + s.random.Int64N(int64(longestRewind)))
		s.note(nil, span, "store: it comes back from a copy that is %s old", age)
		s.store.Rewind(age)
	case 12:
		first := 1 + s.random.IntN(99)
		s.note(nil, 0, "configuration changes")
		s.configure(first, 100-first)
	case 13:
		faults := ibisapp.EndlessFaults()
		names := slices.Sorted(maps.Keys(faults))
		name := names[s.random.IntN(len(names))]
		fault := faults[name]
		s.note(n, span, "%s: backend server sends answers without end for %s: %s", n.name, span, name)
		s.during(ctx, span, func() { n.current().SetFault(fault) }, func() { n.current().SetFault(ibisapp.FaultNone) })
	case 14:
		perSecond := 5 + 20*s.random.Float64()
		s.note(n, span, "%s: backend server names a limit of %.1f requests a second for %s", n.name, perSecond, span)
		s.during(ctx, span, func() { n.current().SetRateLimit(perSecond) }, func() { n.current().SetRateLimit(0) })
	case 15:
		s.note(n, drainTime, "%s: backend server says in its answers alone that it leaves, and is replaced", n.name)
		s.during(ctx, drainTime, func() { n.current().SayLeaving() }, func() {
			n.current().Leave()
			s.reborn(n, false)
		})
	case 16:
		path := fmt.Sprintf("%s%d", ibisapp.CrashPath, len(s.faults))
		if len(s.faults)%2 == 1 {
			path = fmt.Sprintf("%s%d", ibisapp.CrashMidwayPath, len(s.faults))
		}
		s.note(nil, crashingTime, "a request that ends the servers that run it, %s, is sent for %s", path, crashingTime)
		s.injected.Go(func() { s.sendCrashing(ctx, path) })
	}
}

// sendForeignHeartbeats sends heartbeats of another writer to the nodes, which must not heed them, until the context ends.
func (s *soak) sendForeignHeartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 7))
	for ctx.Err() == nil {
		n := s.nodes[random.IntN(len(s.nodes))]
		if sent, err := n.current().SendForeignHeartbeat(random); err == nil {
			s.foreign = append(s.foreign, fmt.Sprintf("%6.2f s  %s: heartbeat of another writer: %s", time.Since(s.began).Seconds(), n.name, sent))
		}
		ibistimer.Sleep(ctx, time.Duration(random.Int64N(int64(longestForeignGap))))
	}
}

// sendCrashing sends a request that ends servers to one node after the other, and starts ended servers again after a while.
func (s *soak) sendCrashing(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, crashingTime)
	defer cancel()
	keyRandom := rand.New(rand.NewPCG(s.config.Seed, 6))
	for i := 0; ctx.Err() == nil; i++ {
		n := s.nodes[i%len(s.nodes)]
		if request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(portCallers)+path, nil); err == nil {
			request.Host = "soak.example"
			request.Header.Set("Attempt-Id", fmt.Sprintf("crash-%s-%d", path, i))
			request.Header.Set("Time-Remaining-Ms", "1800")
			s.accounts.draw(keyRandom).set(request)
			if s.inTouch(n) {
				request.Header.Set(ibisapp.HeaderCounted, "1")
			}
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		ibistimer.Sleep(ctx, crashingPause)
		if i%crashingRestart == 0 {
			for _, n := range s.nodes {
				s.reborn(n, false)
			}
		}
	}
}

func (s *soak) storeFault() ibisrowstore.Faults {
	downs := []ibisrowstore.Down{ibisrowstore.DownSilent, ibisrowstore.DownReset, ibisrowstore.DownBusy, ibisrowstore.DownMany}
	switch s.random.IntN(4) {
	case 0:
		return ibisrowstore.Faults{
			Delay: time.Duration(100+s.random.IntN(400)) * time.Millisecond,
		}
	case 1:
		return ibisrowstore.Faults{
			Lost: 0.4,
		}
	case 2:
		return ibisrowstore.Faults{
			Late:   0.4,
			LateBy: time.Duration(500+s.random.IntN(3000)) * time.Millisecond,
		}
	}
	return ibisrowstore.Faults{
		Down: downs[s.random.IntN(len(downs))],
	}
}

// during begins a fault and ends it after the span, or when the context ends.
func (s *soak) during(ctx context.Context, span time.Duration, begin, end func()) {
	begin()
	s.injected.Go(func() {
		ibistimer.Sleep(ctx, span)
		end()
	})
}

func (s *soak) restart(n *node, signal syscall.Signal) {
	n.mu.Lock()
	busy := n.stopping
	n.stopping = true
	n.mu.Unlock()
	if busy {
		return
	}
	pause := time.Duration(s.random.Int64N(int64(time.Second)))
	var further []timedSignal
	if signal == syscall.SIGTERM {
		further = s.furtherSignals()
	}
	s.injected.Go(func() {
		if err := n.restart(signal, pause, further); err != nil {
			s.ledger.Report("%s can't be started again: %v", n.name, err)
		}
	})
}

// furtherSignals draws what a process gets while it stops.
func (s *soak) furtherSignals() []timedSignal {
	kinds := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1}
	further := make([]timedSignal, s.signalRandom.IntN(maxFurtherSignals+1))
	for i := range further {
		further[i] = timedSignal{
			after:  time.Duration(s.signalRandom.Int64N(int64(graceTime))),
			signal: kinds[s.signalRandom.IntN(len(kinds))],
		}
	}
	return further
}

// reborn starts a backend server where none runs.
func (s *soak) reborn(n *node, sameID bool) {
	if n.current().Up() {
		return
	}
	if err := n.startServer(sameID); err != nil {
		s.ledger.Report("%s: %v", n.name, err)
	}
}

// heal ends what faults may have left behind.
func (s *soak) heal() {
	s.server.Clear()
	for _, n := range s.nodes {
		n.store.set(modePass)
		n.peers.set(modePass)
		n.signal(syscall.SIGCONT)
		n.current().SetFault(ibisapp.FaultNone)
		n.current().SetRateLimit(0)
		s.reborn(n, false)
	}
}
