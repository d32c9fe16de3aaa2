package ibismove_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	slots  = 4
	hotKey = slots // the fifth key belongs to slot 1 until it has an override
	keys   = slots + 1
	hot    = ibisslot.KeyHash(64 + 1)
)

var pageID = ibisslot.PageID{Space: ibisid.SlotSpace{Service: "print-floor"}}

type mutation int

const (
	noMutation mutation = iota
	skipIdleWait
	skipHandOver
	ignorePendingCommit
)

type memory map[int]bool

// keyState is the state of one key at a node.
type keyState struct {
	admit        bool
	token        ibisid.Token
	completeFrom int
	held         []int
	running      []int
	memory       memory
	handed       handed
}

// handed is the memory that moves with a key: the executed requests, and the request id from which it is complete.
type handed struct {
	memory       memory
	completeFrom int
}

type node struct {
	w        *simulation
	self     ibisid.Member
	dead     bool
	batch    *ibismove.Batch
	receiver *ibismove.Receiver
	view     *ibisslot.Page
	stopped  map[ibismove.Unit][]int
	keys     [keys]keyState
	ids      int
}

// simulation runs three nodes that share one page, under faults drawn from a seed.
type simulation struct {
	rand      *rand.Rand
	mutation  mutation
	nodes     []*node
	row       *ibisslot.Page
	commitID  string
	inFlight  []func()
	now       time.Time
	issued    int
	keyOf     map[int]int
	ran       map[int]int
	sequence  uint64
	faultsOff bool
	moved     int
	lossy     int
	failure   string
}

func newSimulation(seed uint64, m mutation) *simulation {
	w := &simulation{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		mutation: m,
		now:      time.Unix(0, 0),
		keyOf:    map[int]int{},
		ran:      map[int]int{},
	}
	page := ibisslot.NewPage(pageID, slots)
	for i := range 3 {
		self := ibisid.Member{
			Name:        ibisid.NodeName(fmt.Sprintf("node-%d", i)),
			Incarnation: 1,
		}
		w.nodes = append(w.nodes, &node{
			w:        w,
			self:     self,
			receiver: ibismove.NewReceiver(self),
			stopped:  map[ibismove.Unit][]int{},
		})
	}
	for i := range slots {
		page.Assign(i, w.nodes[i%2].self, false)
	}
	w.row = page.WithVersion(1)
	w.broadcastPage()
	return w
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// send enqueues a message. Faults may duplicate it, and lose it if droppable.
func (w *simulation) send(f func(), droppable bool) {
	if !w.faultsOff && droppable && w.rand.IntN(8) == 0 {
		return
	}
	w.inFlight = append(w.inFlight, f)
	if !w.faultsOff && w.rand.IntN(8) == 0 {
		w.inFlight = append(w.inFlight, f)
	}
}

func (w *simulation) broadcastPage() {
	page := w.row
	for _, n := range w.nodes {
		w.send(func() { n.applyPage(page) }, true)
	}
}

func (w *simulation) node(m ibisid.Member) *node {
	for _, n := range w.nodes {
		if n.self == m {
			return n
		}
	}
	panic("no node for this member")
}

// write applies a conditional commit to the table.
func (w *simulation) write(c ibisplatform.Commit) ibisplatform.CommitResult {
	if c.Conditions[0].Version != w.row.Version() {
		return ibisplatform.CommitResult{Status: ibisplatform.CommitConflict}
	}
	page, err := ibisslot.DecodePage(pageID, w.row.Version()+1, c.Writes[0].Value)
	if err != nil {
		panic(err)
	}
	if err := page.ValidateReplacement(w.row); err != nil {
		w.fail("%v", err)
	}
	w.row, w.commitID = page, c.ID
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: page.Version(),
	}
}

// kill stops a node and commits new owners for its units in one write.
func (w *simulation) kill(n *node) {
	n.dead = true
	for i := range n.keys {
		n.keys[i].admit = false
	}
	n.update(ibismove.LeaseExpiredEvent{})
	next := w.row.Clone()
	pick := func() ibisid.Member {
		for {
			if m := w.nodes[w.rand.IntN(len(w.nodes))]; !m.dead {
				return m.self
			}
		}
	}
	for i := range slots {
		if next.Slot(i).Owner == n.self {
			next.Assign(i, pick(), false)
		}
	}
	if a, ok := next.Override(hot); ok && a.Owner == n.self {
		next.AssignKey(hot, pick(), false)
	}
	w.row = next.WithVersion(w.row.Version() + 1)
	w.broadcastPage()
	for _, other := range w.nodes {
		other.update(ibismove.TargetFailedEvent{Target: n.self})
	}
}

// step executes one random action.
func (w *simulation) step() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	switch p := w.rand.IntN(100); {
	case p < 25:
		w.request(n)
	case p < 40:
		n.finish(w.rand.IntN(keys))
	case p < 45:
		n.start()
	case p < 48:
		w.now = w.now.Add(time.Duration(w.rand.IntN(1500)) * time.Millisecond)
		w.tick()
	case p < 49 && w.rand.IntN(8) == 0 && !n.dead && w.live() == len(w.nodes):
		w.kill(n)
	case p < 50:
		w.row = w.row.WithVersion(w.row.Version() + 1)
	case p < 51:
		n.update(ibismove.TargetFailedEvent{Target: w.nodes[w.rand.IntN(len(w.nodes))].self})
	default:
		w.deliver()
	}
	w.check()
}

func (w *simulation) live() int {
	live := 0
	for _, n := range w.nodes {
		if !n.dead {
			live++
		}
	}
	return live
}

func (w *simulation) request(n *node) {
	id := w.issued
	if id > 0 && w.rand.IntN(2) == 0 {
		id -= 1 + w.rand.IntN(min(id, 8))
	} else {
		w.keyOf[id] = w.rand.IntN(keys)
		w.issued++
	}
	n.handleRequest(id)
}

func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rand.IntN(len(w.inFlight))
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	f()
}

func (w *simulation) tick() {
	for _, n := range w.nodes {
		n.update(ibismove.TickEvent{})
		n.receiver.Expire(w.now)
	}
}

func (w *simulation) check() {
	for k := range keys {
		owners := 0
		for _, n := range w.nodes {
			if n.keys[k].admit {
				owners++
			}
		}
		if owners > 1 {
			w.fail("key %d has %d owners", k, owners)
		}
	}
}

// settle disables the faults and checks that every key ends with one owner and no held requests.
func (w *simulation) settle() {
	w.faultsOff = true
	for range 60 {
		for _, n := range w.nodes {
			for k := range keys {
				n.finish(k)
			}
		}
		for len(w.inFlight) > 0 {
			w.deliver()
			w.check()
		}
		w.now = w.now.Add(time.Second)
		w.tick()
		w.broadcastPage()
	}
	for k := range keys {
		owners := 0
		for _, n := range w.nodes {
			if n.keys[k].admit {
				owners++
			}
			if len(n.keys[k].held) > 0 && !n.dead {
				w.fail("key %d: requests are still held after the faults ended", k)
			}
		}
		if owners != 1 {
			w.fail("key %d ends with %d owners", k, owners)
		}
	}
}
