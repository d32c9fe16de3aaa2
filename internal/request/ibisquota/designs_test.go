package ibisquota

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// design is one way to share the limit of an account with rate and burst 201 between nodes, as weighed in design note 021.
type design interface {
	// demand sends requests at a rate per second to random ones of the nodes.
	demand(duration time.Duration, rate float64, nodes ...int)
	// split parts the nodes into halves, and loseLender ends the node that lends, if there is one.
	split(parted bool)
	loseLender()
	// served returns the number of requests that ran so far, and worst the greatest number in a window of 5 s.
	served() int
	worst() int
	// traffic returns the messages and bytes that were sent so far.
	traffic() (messages, bytes int)
}

// flat models the designs without delegations in steps of 5 ms. Messages take no time in it, which favors these designs.
type flat struct {
	kind  string
	count int
	now   time.Duration
	// levels holds the tokens of each node, for lender those at the lender.
	levels    []float64
	settled   []time.Duration
	ran       []time.Duration
	total     int
	most      int
	messages  int
	parted    bool
	lostAt    time.Duration
	published time.Duration
	random    func(int) int
}

const (
	designRate  = 201.
	designBurst = 201.
	// leaseTime is how long nodes wait for a lost lender that is fenced by rows of the store.
	leaseTime = 10 * time.Second
	// publishInterval is the time between two messages of a node about what it has counted.
	publishInterval = 500 * time.Millisecond
	messageBytes    = 300
)

func newFlat(kind string, count int) *flat {
	f := &flat{kind: kind, count: count, random: newWorld(1).random.IntN}
	f.levels, f.settled = make([]float64, count), make([]time.Duration, count)
	for i := range f.levels {
		f.levels[i] = f.capacity()
	}
	return f
}

func (f *flat) capacity() float64 {
	if f.kind == "fixed shares" {
		// A bucket of less than one token would never serve a request.
		return max(1, designBurst/float64(f.count))
	}
	return designBurst
}

func (f *flat) settle(i int) {
	rate := designRate
	if f.kind == "fixed shares" {
		rate /= float64(f.count)
	}
	f.levels[i] = min(f.capacity(), f.levels[i]+rate*(f.now-f.settled[i]).Seconds())
	f.settled[i] = f.now
}

func (f *flat) take(node int) bool {
	switch f.kind {
	case "one lender":
		f.messages += 2
		lost := f.lostAt > 0 && f.now < f.lostAt+leaseTime
		if lost || f.parted && node >= f.count/2 {
			return false
		}
		node = 0
	case "counting":
		f.publish()
	}
	f.settle(node)
	if f.levels[node] < 1 {
		return false
	}
	f.levels[node]--
	return true
}

// publish has the nodes of each side learn of all that the others have counted.
func (f *flat) publish() {
	if f.now < f.published+publishInterval {
		return
	}
	f.published = f.now
	sides := [][]float64{f.levels}
	if f.parted {
		sides = [][]float64{f.levels[:f.count/2], f.levels[f.count/2:]}
	}
	for i := range f.levels {
		f.settle(i)
	}
	for _, side := range sides {
		used := 0.0
		highest := slices.Max(side)
		for _, level := range side {
			used += highest - level
		}
		for i := range side {
			side[i] = highest - used
		}
	}
	f.messages += 2 * f.count
}

func (f *flat) demand(duration time.Duration, rate float64, nodes ...int) {
	end := f.now + duration
	for interval := time.Duration(float64(time.Second) / rate); f.now < end; f.now += interval {
		if !f.take(nodes[f.random(len(nodes))]) {
			continue
		}
		f.total++
		f.ran = append(f.ran, f.now)
		first, _ := slices.BinarySearch(f.ran, f.now-5*time.Second+1)
		f.ran = f.ran[first:]
		f.most = max(f.most, len(f.ran))
	}
}

func (f *flat) split(parted bool)   { f.parted = parted }
func (f *flat) loseLender()         { f.lostAt = f.now }
func (f *flat) served() int         { return f.total }
func (f *flat) worst() int          { return f.most }
func (f *flat) traffic() (int, int) { return f.messages, f.messages * messageBytes }

// delegated is the design that was built, in the model of its property test.
type delegated struct{ *world }

// newDelegated returns a deployment. Of a large one, only the nodes that own a share or lend and 60 others run: the rest sends
// nothing without demand.
func newDelegated(count int, others ...Account) delegated {
	w := newWorld(1, append([]Account{{Name: "large", Rate: designRate, Burst: designBurst}}, others...)...)
	var all []Member
	for i := range count {
		all = append(all, Member{Node: ibisid.NodeName(fmt.Sprintf("node-%d", i)), Incarnation: 1})
	}
	if count > 2*maxOwners {
		sortByRank(all)
		for i, m := range all[:maxOwners+60] {
			n := &node{index: i, name: m.Node, rate: 1}
			w.nodes = append(w.nodes, n)
			w.start(n)
		}
	} else {
		for range count {
			w.add(1)
		}
	}
	w.roster = all
	w.publishRoster()
	w.advance(15 * time.Second)
	return delegated{w}
}

func (d delegated) demand(duration time.Duration, rate float64, nodes ...int) {
	for i := range nodes {
		nodes[i] %= len(d.nodes)
	}
	d.world.demand(duration, rate, nodes...)
}

func (d delegated) split(parted bool) {
	clear(d.cut)
	for i := range d.nodes {
		for j := range d.nodes {
			if parted && (i < len(d.nodes)/2) != (j < len(d.nodes)/2) {
				d.cut[[2]int{i, j}] = true
			}
		}
	}
}

func (d delegated) loseLender()         { d.crash(d.lender("large")) }
func (d delegated) served() int         { return d.runs }
func (d delegated) worst() int          { return d.most }
func (d delegated) traffic() (int, int) { return d.messages, d.bytes }

// BenchmarkDesigns prints the figures of design note 021; run it with -benchtime=1x.
func BenchmarkDesigns(b *testing.B) {
	designs := []struct {
		name string
		make func(count int) design
	}{
		{"fixed shares", func(count int) design { return newFlat("fixed shares", count) }},
		{"one lender", func(count int) design { return newFlat("one lender", count) }},
		{"counting", func(count int) design { return newFlat("counting", count) }},
		{"delegated shares", func(count int) design { return newDelegated(count) }},
	}
	for _, count := range []int{6, 63, 195, 17_000} {
		var everywhere []int
		for i := range min(count, 300) {
			everywhere = append(everywhere, i)
		}
		region := func(second int) []int {
			third := len(everywhere) / 3
			return slices.Clone(everywhere[second%3*third:][:third])
		}
		moving := func(d design, seconds int) (asked float64) {
			for second := range seconds {
				d.demand(time.Second, 0.6*designRate, region(second)...)
			}
			return 0.6 * designRate * float64(seconds)
		}
		for _, c := range designs {
			b.Run(fmt.Sprintf("%s/%d", c.name, count), func(b *testing.B) {
				for b.Loop() {
					d := c.make(count)
					messages, bytes := d.traffic()
					before := d.served()
					asked := moving(d, 10)
					b.ReportMetric(100*float64(d.served()-before)/asked, "served-%")
					afterMessages, afterBytes := d.traffic()
					b.ReportMetric(float64(afterMessages-messages)/10/float64(count), "messages/node/s")
					b.ReportMetric(float64(afterBytes-bytes)/10/float64(count), "B/node/s")
					d.demand(10*time.Second, 10*designRate, slices.Clone(everywhere)...)
					b.ReportMetric(100*float64(d.worst())/(designRate*5+designBurst), "storm-%")

					parted := c.make(count)
					moving(parted, 5)
					parted.split(true)
					parted.demand(10*time.Second, 10*designRate, slices.Clone(everywhere)...)
					b.ReportMetric(100*float64(parted.worst())/(designRate*5+designBurst), "parted-%")

					lost := c.make(count)
					moving(lost, 5)
					lost.loseLender()
					before = lost.served()
					asked = moving(lost, 5)
					b.ReportMetric(100*float64(lost.served()-before)/asked, "lost-lender-%")
				}
			})
		}
	}
}

// BenchmarkIdleCost measures what the nodes send without any request, with 74 accounts.
func BenchmarkIdleCost(b *testing.B) {
	var others []Account
	for i := range 73 {
		others = append(others, Account{Name: ibisid.TenantName(fmt.Sprint("account-", i)), Rate: 3, Burst: 3})
	}
	for _, count := range []int{6, 63, 195, 17_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				d := newDelegated(count, others...)
				messages, bytes := d.traffic()
				d.advance(10 * time.Second)
				afterMessages, afterBytes := d.traffic()
				b.ReportMetric(float64(afterMessages-messages)/10/float64(count), "messages/node/s")
				b.ReportMetric(float64(afterBytes-bytes)/10/float64(count), "B/node/s")
				// Each of the lenders gets an eighth of the messages and sends as many.
				b.ReportMetric(float64(afterBytes-bytes)/10/maxLenders, "B/lender/s")
			}
		})
	}
}

// BenchmarkMemory measures the memory of a node's state per account.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		const count = 100_000
		accounts := make([]Account, count)
		for i := range accounts {
			accounts[i] = Account{Name: ibisid.TenantName(fmt.Sprintf("account-%d", i)), Rate: 3, Burst: 3}
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := New(Config{Node: "lender", Incarnation: 1, Window: 5 * time.Second, Excess: 0.1, Slack: 20})
		q.SetAccounts(accounts, time.Unix(1_700_000_000, 0))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/account")
		runtime.KeepAlive(q)
	}
}
