package ibislease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// shortFaults and longFaults are the times at which the faults of a schedule end; one in eight schedules has long faults.
	shortFaults  = 5 * time.Second
	longFaults   = 8 * time.Second
	earliestKill = 2 * time.Second
	// joinWithoutFaults is the time before the first fault in three of four schedules with faults.
	joinWithoutFaults = 1300 * time.Millisecond
	longestCut        = 5 * time.Second
	longestStall      = 4 * time.Second
	// runAfterHeal is how long a schedule continues after the end of the faults.
	runAfterHeal = 8 * time.Second
	coarseTick   = 400 * time.Millisecond
	fineTick     = 50 * time.Millisecond
	// maxTakeover is the takeover budget.
	maxTakeover    = 5 * time.Second
	healedMaxDelay = 2 * time.Millisecond
	// maxRecovery is the time before the end of a schedule within which a holder that joined need not be valid.
	maxRecovery = 6 * time.Second
	pageKey     = "page/0"
	// lostHolder is the prefix of liveness failures: missing or late takeovers and missing recoveries. Mutant tests ignore them.
	lostHolder = "lost holder"
)

// process is a holder, a witness or a claimant with its own clock.
type process struct {
	id          int
	rate        float64
	offset      time.Duration
	frozenUntil time.Duration
	// stalledUntil is the time before which no message arrives at the process; they arrive then.
	stalledUntil time.Duration
	killed       bool
	// deaf is set for a holder that nothing reaches any more, though its own messages arrive.
	deaf     bool
	holder   *Holder
	witness  *Witness
	claimant *Claimant
	member   ibisid.Member
	// token is the token of the page under which a holder processes orders, zero before its first assignment is
	// acknowledged.
	token ibisid.Token
	// joined is the time of the last join, zero before the first.
	joined time.Duration
}

// action is a step of a process, the table or the fault plan at a time of the schedule.
type action struct {
	at   time.Duration
	seq  uint64
	proc int
	kind uint8
	run  func()
}

// actions is a binary heap ordered by time and then by sequence.
type actions []action

func (q actions) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q *actions) push(a action) {
	*q = append(*q, a)
	h := *q
	for i := len(h) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

func (q *actions) pop() action {
	h := *q
	top := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = action{}
	h = h[:last]
	*q = h
	for i := 0; 2*i+1 < last; {
		child := 2*i + 1
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	return top
}

// simulation runs one random schedule of holders, witnesses and claimants with a fake table.
type simulation struct {
	rng   *rand.Rand
	terms Terms
	now   time.Duration
	seq   uint64
	queue actions
	// trace is a hash of the kinds and processes of all steps; schedules with different traces count as distinct.
	trace uint64

	processes []*process
	holders   []*process
	witnesses []*process
	claimants []*process

	lossRate     float64
	maxDelay     time.Duration
	tickInterval time.Duration
	// healAt is the time at which all faults end.
	healAt time.Duration
	cuts   map[[2]int]bool

	rows           map[string]ibisplatform.Row
	version        ibisplatform.Version
	tableDownUntil time.Duration
	killedAt       time.Duration

	// deadAt holds the time at which each member was committed as dead.
	deadAt map[ibisid.Member]time.Duration
	// maxToken is the greatest token that a valid holder or a claimant has used.
	maxToken ibisid.Token
	// history holds the assignments of the page that took effect, in order.
	history []pageContent
	// acknowledged holds the assignments of the page whose writer received the result.
	acknowledged    []pageContent
	lapses          int
	lastIncarnation ibisid.Incarnation
	killedMember    ibisid.Member
	// row is the last committed member row of the holders.
	row          Row
	takeoverTime time.Duration
	runToEnd     bool
	failure      string
}

// pageContent is the assignment of the only page, whose owner a takeover changes.
type pageContent struct {
	owner ibisid.Member
	token ibisid.Token
}

const tableID = -1

const (
	kindTick uint8 = iota
	kindMessage
	kindTable
	kindFault
)

func newSimulation(seed uint64, m mutation, faults bool) *simulation {
	s := &simulation{
		rng:    rand.New(rand.NewPCG(seed, 0x1b15)),
		terms:  DefaultTerms(),
		rows:   make(map[string]ibisplatform.Row),
		cuts:   make(map[[2]int]bool),
		deadAt: make(map[ibisid.Member]time.Duration),
	}
	s.terms.mutation = m
	s.maxDelay = healedMaxDelay
	s.tickInterval = fineTick
	s.healAt = shortFaults
	if s.rng.IntN(8) == 0 {
		s.healAt = longFaults
	}
	if faults {
		s.tickInterval = coarseTick
		s.lossRate = []float64{0, 0.05, 0.3}[s.rng.IntN(3)]
		s.maxDelay = []time.Duration{2, 50, 200, 900}[s.rng.IntN(4)] * time.Millisecond
	}
	s.build()
	s.after(0, tableID, kindFault, func() { s.rejoin(s.holders[0], RejoinEffect{}) })
	s.after(time.Second, tableID, kindFault, s.reportDirectRow)
	if faults {
		s.planFaults()
	}
	return s
}

func (s *simulation) build() {
	for i := range 9 {
		p := &process{
			id:     i,
			rate:   1 + s.terms.Drift*(2*s.rng.Float64()-1),
			offset: time.Duration(s.rng.IntN(1000)) * time.Second,
		}
		s.processes = append(s.processes, p)
		s.after(time.Duration(s.rng.Int64N(int64(s.tickInterval))), i, kindTick, func() { s.tick(p) })
	}
	s.holders, s.witnesses, s.claimants = s.processes[:2], s.processes[2:7], s.processes[7:]
	for i, p := range s.witnesses {
		s.startWitness(p, ibisid.Member{
			Name:        ibisid.NodeName(fmt.Sprintf("w%d", i)),
			Incarnation: 1,
		})
	}
	for i, p := range s.claimants {
		p.member = ibisid.Member{
			Name:        ibisid.NodeName(fmt.Sprintf("c%d", i)),
			Incarnation: 1,
		}
		p.claimant = NewClaimant(s.terms, p.member)
	}
}

func (s *simulation) startWitness(p *process, m ibisid.Member) {
	p.member = m
	p.witness = NewWitness(s.terms, m, s.local(p))
	for _, h := range s.holders {
		s.updateCandidates(h)
	}
}

func (s *simulation) startHolder(p *process, incarnation ibisid.Incarnation) {
	p.member = ibisid.Member{
		Name:        "h",
		Incarnation: incarnation,
	}
	p.token = 0
	p.holder = NewHolder(s.terms, Row{
		Member: p.member,
		Place: ibisid.Place{
			Region: "r0",
			Domain: "d0",
		},
		State: StateLive,
	})
	s.updateCandidates(p)
}

func (s *simulation) updateCandidates(p *process) {
	if p.holder == nil {
		return
	}
	var all []Candidate
	for i, witness := range s.witnesses {
		all = append(all, Candidate{
			Member: witness.member,
			Place: ibisid.Place{
				Region: "r0",
				Domain: ibisid.DomainName(fmt.Sprintf("d%d", i+1)),
			},
		})
	}
	p.holder.Update(CandidatesEvent{Candidates: all}, s.local(p))
}

func (s *simulation) local(p *process) time.Time {
	return time.Unix(0, int64(p.offset)+int64(float64(s.now)*p.rate))
}

func (s *simulation) after(d time.Duration, proc int, kind uint8, run func()) {
	s.seq++
	s.queue.push(action{
		at:   s.now + d,
		seq:  s.seq,
		proc: proc,
		kind: kind,
		run:  run,
	})
}

// run plays the schedule to its end and returns the first violated assertion, or an empty string.
func (s *simulation) run() string {
	for s.failure == "" && len(s.queue) > 0 {
		a := s.queue.pop()
		if a.at > s.endAt() || a.at > s.healAt && s.done() {
			break
		}
		s.now = max(s.now, a.at)
		s.step(a)
	}
	if s.failure == "" {
		s.checkEnd()
	}
	return s.failure
}

func (s *simulation) endAt() time.Duration { return s.healAt + runAfterHeal }

// done reports whether a schedule can end early: it need not run to its end, and a killed holder, if any, is dead in the
// table.
func (s *simulation) done() bool {
	if s.runToEnd {
		return false
	}
	_, dead := s.deadAt[s.killedMember]
	return s.killedAt == 0 || dead
}

func (s *simulation) step(a action) {
	if a.proc >= 0 {
		p := s.processes[a.proc]
		if p.killed {
			return
		}
		if p.frozenUntil > s.now {
			a.at = p.frozenUntil + time.Duration(s.rng.IntN(3))*time.Millisecond
			s.queue.push(a)
			return
		}
	}
	if a.proc >= 0 && s.processes[a.proc].holder != nil {
		s.check()
	}
	// The factor is the 64-bit FNV prime.
	s.trace = (s.trace ^ uint64(a.kind)<<8 ^ uint64(a.proc+2)) * 0x100000001b3
	a.run()
	s.check()
}

func (s *simulation) healed() bool { return s.now >= s.healAt }

func (s *simulation) tick(p *process) {
	now := s.local(p)
	switch {
	case p.holder != nil:
		s.apply(p, p.holder.Update(TickEvent{}, now))
	case p.witness != nil:
		s.apply(p, p.witness.Update(TickEvent{}, now))
	case p.claimant != nil && p.claimant.Suspects() > 0:
		s.apply(p, p.claimant.Update(TickEvent{}, now))
	}
	s.after(s.tickInterval, p.id, kindTick, func() { s.tick(p) })
}

// check asserts that no dead member is valid, that at most one process is, and that tokens don't decrease.
func (s *simulation) check() {
	valid := 0
	for _, p := range s.holders {
		if p.holder == nil || p.killed || p.frozenUntil > s.now {
			continue
		}
		if _, ok := p.holder.Valid(s.local(p)); !ok {
			continue
		}
		valid++
		if _, dead := s.deadAt[p.member]; dead {
			s.fail("dead member is valid")
		}
		s.checkToken(p)
	}
	if valid > 1 {
		s.fail("two processes are valid")
	}
}

func (s *simulation) checkToken(p *process) {
	if p.token == 0 {
		return
	}
	if p.token < s.maxToken {
		s.fail("token decreased")
	}
	s.maxToken = max(s.maxToken, p.token)
}

func (s *simulation) fail(violation string) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%s at %v", violation, s.now)
	}
}

// checkEnd asserts that the tokens of the page increased, that acknowledged assignments are in its history, and that lost
// holders were taken over.
func (s *simulation) checkEnd() {
	for i, p := range s.history {
		if i > 0 && p.token <= s.history[i-1].token {
			s.fail("token of the page did not increase")
		}
	}
	s.checkTakeover()
	s.checkRecovery()
	for _, a := range s.acknowledged {
		found := false
		for _, p := range s.history {
			found = found || p == a
		}
		if !found {
			s.fail("acknowledged assignment lost")
		}
	}
}

// checkTakeover asserts that a lost holder is dead in the table within maxTakeover after the loss and the end of the faults. A
// takeover may be missing if fewer than two witnesses of the row still run under the incarnation that the row names.
func (s *simulation) checkTakeover() {
	if s.killedMember.IsZero() || s.row.State == StateLeft {
		return
	}
	at, dead := s.deadAt[s.killedMember]
	intact := s.row.Direct || s.intact(s.row.Witnesses) > 1
	if !dead && s.row.Member == s.killedMember && intact {
		s.fail(lostHolder + " was not taken over")
		return
	}
	if !dead {
		return
	}
	s.takeoverTime = at - s.killedAt
	if at > max(s.killedAt, s.healAt)+maxTakeover {
		s.fail(lostHolder + " was taken over late")
	}
}

// checkRecovery asserts for schedules that run to their end that a holder that joined at least maxRecovery before the end is
// valid, and through witnesses if enough of them have not promised it dead.
func (s *simulation) checkRecovery() {
	for _, p := range s.holders {
		if !s.runToEnd || p.killed || p.deaf || p.holder == nil || p.joined == 0 || p.joined > s.endAt()-maxRecovery {
			continue
		}
		row, hasJoined := p.holder.Row()
		_, valid := p.holder.Valid(s.local(p))
		if hasJoined && row.State == StateLive && (!valid || row.Direct && s.unpromised(p.member) >= WitnessCount) {
			s.fail(lostHolder + " did not recover")
		}
	}
}

// unpromised returns the number of witnesses that did not promise never to renew the member again.
func (s *simulation) unpromised(m ibisid.Member) int {
	n := 0
	for _, p := range s.witnesses {
		if entry := p.witness.watched[m]; entry == nil || !entry.promised {
			n++
		}
	}
	return n
}

// intact returns the number of the given witnesses that still run under the same incarnation.
func (s *simulation) intact(witnesses []ibisid.Member) int {
	n := 0
	for _, m := range witnesses {
		if p := s.witnessOf(m); p != nil && p.member == m {
			n++
		}
	}
	return n
}
