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
	slots      = 4
	hotKey     = slots // index of the hot key, which belongs to slot 1 until it has an override
	keys       = slots + 1
	hotKeyHash = ibisslot.KeyHash(64 + 1) // belongs to slot 1
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
	sim      *simulation
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
	s := &simulation{
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
		s.nodes = append(s.nodes, &node{
			sim:      s,
			self:     self,
			receiver: ibismove.NewReceiver(self),
			stopped:  map[ibismove.Unit][]int{},
		})
	}
	for i := range slots {
		page.Assign(i, s.nodes[i%2].self, false)
	}
	s.row = page.WithVersion(1)
	s.broadcastPage()
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// send enqueues a message. Faults may duplicate it, and lose it if droppable.
func (s *simulation) send(f func(), droppable bool) {
	if !s.faultsOff && droppable && s.rand.IntN(8) == 0 {
		return
	}
	s.inFlight = append(s.inFlight, f)
	if !s.faultsOff && s.rand.IntN(8) == 0 {
		s.inFlight = append(s.inFlight, f)
	}
}

func (s *simulation) broadcastPage() {
	page := s.row
	for _, n := range s.nodes {
		s.send(func() { n.applyPage(page) }, true)
	}
}

func (s *simulation) node(m ibisid.Member) *node {
	for _, n := range s.nodes {
		if n.self == m {
			return n
		}
	}
	panic("no node for this member")
}

// write applies a conditional commit to the table.
func (s *simulation) write(c ibisplatform.Commit) ibisplatform.CommitResult {
	if c.Conditions[0].Version != s.row.Version() {
		return ibisplatform.CommitResult{Status: ibisplatform.CommitConflict}
	}
	page, err := ibisslot.DecodePage(pageID, s.row.Version()+1, c.Writes[0].Value)
	if err != nil {
		panic(err)
	}
	if err := page.ValidateReplacement(s.row); err != nil {
		s.fail("%v", err)
	}
	s.row, s.commitID = page, c.ID
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: page.Version(),
	}
}

// kill stops a node and commits new owners for its units in one write.
func (s *simulation) kill(n *node) {
	n.dead = true
	for i := range n.keys {
		n.keys[i].admit = false
	}
	n.update(ibismove.LeaseExpiredEvent{})
	next := s.row.Clone()
	pick := func() ibisid.Member {
		for {
			if m := s.nodes[s.rand.IntN(len(s.nodes))]; !m.dead {
				return m.self
			}
		}
	}
	for i := range slots {
		if next.Slot(i).Owner == n.self {
			next.Assign(i, pick(), false)
		}
	}
	if a, ok := next.Override(hotKeyHash); ok && a.Owner == n.self {
		next.AssignKey(hotKeyHash, pick(), false)
	}
	s.row = next.WithVersion(s.row.Version() + 1)
	s.broadcastPage()
	for _, other := range s.nodes {
		other.update(ibismove.TargetFailedEvent{Target: n.self})
	}
}

// step executes one random action.
func (s *simulation) step() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	switch p := s.rand.IntN(100); {
	case p < 25:
		s.request(n)
	case p < 40:
		n.finish(s.rand.IntN(keys))
	case p < 45:
		n.start()
	case p < 48:
		s.now = s.now.Add(time.Duration(s.rand.IntN(1500)) * time.Millisecond)
		s.tick()
	case p < 49 && s.rand.IntN(8) == 0 && !n.dead && s.live() == len(s.nodes):
		s.kill(n)
	case p < 50:
		s.row = s.row.WithVersion(s.row.Version() + 1) // another writer stores the unchanged page
	case p < 51: // a target that may still be live is reported as failed
		n.update(ibismove.TargetFailedEvent{Target: s.nodes[s.rand.IntN(len(s.nodes))].self})
	default:
		s.deliver()
	}
	s.check()
}

func (s *simulation) live() int {
	live := 0
	for _, n := range s.nodes {
		if !n.dead {
			live++
		}
	}
	return live
}

func (s *simulation) request(n *node) {
	id := s.issued
	if id > 0 && s.rand.IntN(2) == 0 {
		id -= 1 + s.rand.IntN(min(id, 8))
	} else {
		s.keyOf[id] = s.rand.IntN(keys)
		s.issued++
	}
	n.handleRequest(id)
}

func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.rand.IntN(len(s.inFlight))
	f := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	f()
}

func (s *simulation) tick() {
	for _, n := range s.nodes {
		n.update(ibismove.TickEvent{})
		n.receiver.Expire(s.now)
	}
}

func (s *simulation) check() {
	for k := range keys {
		owners := 0
		for _, n := range s.nodes {
			if n.keys[k].admit {
				owners++
			}
		}
		if owners > 1 {
			s.fail("key %d has %d owners", k, owners)
		}
	}
}

// settle disables the faults and checks that every key ends with one owner and no held requests.
func (s *simulation) settle() {
	s.faultsOff = true
	for range 60 {
		for _, n := range s.nodes {
			for k := range keys {
				n.finish(k)
			}
		}
		for len(s.inFlight) > 0 {
			s.deliver()
			s.check()
		}
		s.now = s.now.Add(time.Second)
		s.tick()
		s.broadcastPage()
	}
	for k := range keys {
		owners := 0
		for _, n := range s.nodes {
			if n.keys[k].admit {
				owners++
			}
			if len(n.keys[k].held) > 0 && !n.dead {
				s.fail("key %d: requests are still held after the faults ended", k)
			}
		}
		if owners != 1 {
			s.fail("key %d ends with %d owners", k, owners)
		}
	}
}
