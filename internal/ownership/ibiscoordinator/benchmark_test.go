package ibiscoordinator_test

import (
	"cmp"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisplacement"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Run with: go test -run '^$' -bench . -benchtime 1x ./internal/ownership/ibiscoordinator

const (
	fullMembers    = 17_000
	fullSlots      = ibisid.MaxSlots
	domains        = 12
	leaseTerm      = 2400 * time.Millisecond
	promiseDelay   = 300 * time.Millisecond
	broadcastDelay = 300 * time.Millisecond
	commitDelay    = 5 * time.Millisecond
)

var fullSpace = ibisid.SlotSpace{Service: "print-floor"}

func candidates(from, to int) []ibisplace.Candidate { return ibisplacement.Members(from, to, domains) }

func filledMap(all []ibisplace.Candidate) *ibisslot.Map {
	return ibisplacement.Fill(fullSpace, fullSlots, all)
}

// BenchmarkMap reports the size of a page, and the memory of a map of all pages, with 17,000 members.
func BenchmarkMap(b *testing.B) {
	for range b.N {
		all := candidates(0, fullMembers)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := filledMap(all)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/map")
		b.ReportMetric(float64(scatteredPageBytes(all)), "bytes/scattered-page")
		b.ReportMetric(pageBytes(m), "bytes/page")
		runtime.KeepAlive(all)
	}
}

// pageBytes returns the mean size of a page.
func pageBytes(m *ibisslot.Map) float64 {
	bytes := 0
	for n := range ibisslot.PageCount(fullSlots) {
		page, _ := m.Page(ibisslot.PageID{
			Space:  fullSpace,
			Number: n,
		})
		bytes += len(page.Encode())
	}
	return float64(bytes) / float64(ibisslot.PageCount(fullSlots))
}

// scatteredPageBytes returns the size of a page whose owners and standbys are placed by plain hashing, for comparison.
func scatteredPageBytes(all []ibisplace.Candidate) int {
	page := ibisslot.NewPage(ibisslot.PageID{Space: fullSpace}, fullSlots)
	pick := func(i, k int) ibisid.Member {
		return all[ibisslot.MixHashes(uint64(i), uint64(k))%uint64(len(all))].Member
	}
	for i := range page.Len() {
		page.Assign(i, pick(i, 0), false)
		page.SetStandbys(i, [ibisslot.MaxStandbys]ibisid.Member{pick(i, 1), pick(i, 2)})
	}
	return len(page.Encode())
}

// BenchmarkCoordinator reports the memory of an idle coordinator without its map, and the duration of one periodic check.
func BenchmarkCoordinator(b *testing.B) {
	for range b.N {
		all := candidates(0, fullMembers)
		m := filledMap(all)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := ibiscoordinator.New(all[0].Member, m, ibisplacement.Anywhere{}, &sequentialIDs{name: all[0].Member.Name})
		now := time.Unix(0, 0)
		answerReads(c, m, now, c.Update(now, ibiscoordinator.LiveEvent{Candidates: all}))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/coordinator")
		began := time.Now()
		c.Update(now.Add(2*time.Minute), ibiscoordinator.TickEvent{})
		b.ReportMetric(time.Since(began).Seconds()*1000, "ms/check")
		runtime.KeepAlive(m)
	}
}

// BenchmarkLocate reports the cost of finding the owner of a hashed key.
func BenchmarkLocate(b *testing.B) {
	m := filledMap(candidates(0, fullMembers))
	b.ReportAllocs()
	key := ibisslot.KeyHash(1)
	for b.Loop() {
		key = key*6364136223846793005 + 1442695040888963407
		if _, ok := m.LocateKey(fullSpace, key); !ok {
			b.Fatal("no owner")
		}
	}
}

// timedCommit is a commit with the time at which its coordinator sent it.
type timedCommit struct {
	at     time.Duration
	effect ibiscoordinator.CommitEffect
}

// answerReads responds to the page reads of the coordinator from the map.
func answerReads(c *ibiscoordinator.Coordinator, m *ibisslot.Map, now time.Time, effects []ibiscoordinator.Effect) {
	for _, effect := range effects {
		read, ok := effect.(ibiscoordinator.ReadPageEffect)
		if !ok {
			continue
		}
		page, _ := m.Page(read.ID)
		c.Update(now, ibiscoordinator.PageReadEvent{
			ID:    read.ID,
			Found: true,
			Row: ibisplatform.Row{
				Version: page.Version(),
				Value:   page.Encode(),
			},
		})
	}
}

// commitsOf passes the deaths to one coordinator and returns its commits, without answering any, and the duration of planning.
func commitsOf(self ibisid.Member, m *ibisslot.Map, all []ibisplace.Candidate, dead []ibisid.Member) ([]timedCommit, time.Duration) {
	now := time.Unix(0, 0)
	c := ibiscoordinator.New(self, m, ibisplacement.Anywhere{}, &sequentialIDs{name: self.Name})
	answerReads(c, m, now, c.Update(now, ibiscoordinator.LiveEvent{Candidates: all}))
	var commits []timedCommit
	collect := func(at time.Time, effects []ibiscoordinator.Effect) {
		for _, effect := range effects {
			if e, ok := effect.(ibiscoordinator.CommitEffect); ok {
				commits = append(commits, timedCommit{
					at:     at.Sub(now),
					effect: e,
				})
			}
		}
	}
	began := time.Now()
	effects := c.Update(now, ibiscoordinator.DiedEvent{Members: dead})
	spent := time.Since(began)
	collect(now, effects)
	for next := c.Next(); !next.IsZero(); next = c.Next() {
		collect(next, c.Update(next, ibiscoordinator.TickEvent{}))
	}
	return commits, spent
}

// BenchmarkUnavailable reports, in simulated time, how long slots have no owner after a loss among 17,000 members.
func BenchmarkUnavailable(b *testing.B) {
	losses := []struct {
		name  string
		count int
	}{
		{
			name:  "instance",
			count: 1,
		},
		{
			name:  "rack",
			count: 40,
		},
		{
			name:  "domain",
			count: fullMembers,
		},
	}
	all := candidates(0, fullMembers)
	for _, loss := range losses {
		b.Run(loss.name, func(b *testing.B) {
			for range b.N {
				measureLoss(b, all, loss.count)
			}
		})
	}
}

func measureLoss(b *testing.B, all []ibisplace.Candidate, count int) {
	m := filledMap(all)
	dead, isDead := []ibisid.Member{}, map[ibisid.Member]bool{}
	var live []ibisid.Member
	var survivors []ibisplace.Candidate
	for i, c := range all {
		if i%domains == 0 && len(dead) < count {
			dead = append(dead, c.Member)
			isDead[c.Member] = true
			continue
		}
		live = append(live, c.Member)
		survivors = append(survivors, c)
	}
	coordinators := map[ibisid.Member]bool{}
	for _, a := range m.Affected(func(member ibisid.Member) bool { return isDead[member] }) {
		for _, self := range ibiscoordinator.Coordinators(a.ID, live) {
			coordinators[self] = true
		}
	}
	commits, spent := runCoordinators(coordinators, m, all, dead)
	times, written, conflicts := replay(m, commits, isDead)
	slices.Sort(times)
	last := times[len(times)-1]
	b.ReportMetric(float64(len(dead)), "members")
	b.ReportMetric(float64(len(times)), "slots")
	b.ReportMetric(float64(written), "commits")
	b.ReportMetric(float64(conflicts), "conflicts")
	b.ReportMetric(last.Seconds(), "s-commits")
	b.ReportMetric((leaseTerm + promiseDelay + broadcastDelay + times[len(times)/2]).Seconds(), "s-p50")
	b.ReportMetric((leaseTerm + promiseDelay + broadcastDelay + last).Seconds(), "s-max")
	b.ReportMetric(ibisplacement.Imbalance(m, fullSpace, survivors), "imbalance")
	b.ReportMetric(spent.Seconds()*1000, "ms-plan")
	b.ReportMetric(pageBytes(m), "bytes/page")
}

// runCoordinators returns the commits of all coordinators in order of time, and the mean duration of planning.
func runCoordinators(coordinators map[ibisid.Member]bool, m *ibisslot.Map, all []ibisplace.Candidate, dead []ibisid.Member) ([]timedCommit, time.Duration) {
	var (
		mu      sync.Mutex
		commits []timedCommit
		total   time.Duration
		group   errgroup.Group
	)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for self := range coordinators {
		group.Go(func() error {
			own, spent := commitsOf(self, m, all, dead)
			mu.Lock()
			defer mu.Unlock()
			commits = append(commits, own...)
			total += spent
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(commits, func(a, b timedCommit) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.effect.ID.Compare(b.effect.ID))
	})
	return commits, total / time.Duration(max(1, len(coordinators)))
}

// replay applies the commits to a table that takes 300 writes per second. It returns the times at which the lost slots had an
// owner again, and the numbers of applied and conflicting commits.
func replay(m *ibisslot.Map, commits []timedCommit, dead map[ibisid.Member]bool) (times []time.Duration, written, conflicts int) {
	tableFreeAt := time.Duration(0)
	settled := map[ibisslot.PageID]time.Duration{}
	for _, c := range commits {
		if at, ok := settled[c.effect.ID]; ok && at+broadcastDelay <= c.at {
			continue // the second coordinator received the committed page
		}
		tableFreeAt = max(tableFreeAt, c.at) + time.Second/ibiscoordinator.WritesPerSecond
		old, _ := m.Page(c.effect.ID)
		if c.effect.Commit.Conditions[0].Version != old.Version() {
			conflicts++
			continue
		}
		written++
		settled[c.effect.ID] = tableFreeAt + commitDelay
		page, err := ibisslot.DecodePage(c.effect.ID, old.Version()+1, c.effect.Commit.Writes[0].Value)
		if err != nil {
			panic(err)
		}
		for i := range old.Len() {
			if dead[old.Slot(i).Owner] && !dead[page.Slot(i).Owner] {
				times = append(times, tableFreeAt+commitDelay)
			}
		}
		m.Apply(page)
	}
	if len(times) == 0 {
		times = append(times, math.MaxInt64)
	}
	return times, written, conflicts
}
