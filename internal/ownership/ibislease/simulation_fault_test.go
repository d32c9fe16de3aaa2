package ibislease

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// planFaults schedules random faults until healAt.
func (s *simulation) planFaults() {
	firstFault := time.Duration(0)
	if s.rng.IntN(4) > 0 {
		firstFault = joinWithoutFaults
	}
	for range 2 + s.rng.IntN(14) {
		at := firstFault + time.Duration(s.rng.Int64N(int64(s.healAt-firstFault)))
		s.after(at, tableID, kindFault, s.fault)
	}
	s.runToEnd = s.rng.IntN(32) == 0
	if s.rng.IntN(3) == 0 {
		at := earliestKill + time.Duration(s.rng.Int64N(int64(s.healAt-earliestKill)))
		s.planLoss(at, s.rng.IntN(3) == 0)
	}
}

// planLoss kills the holder, or makes it deaf for good.
func (s *simulation) planLoss(at time.Duration, deaf bool) {
	s.killedAt = at
	s.after(at, tableID, kindFault, func() {
		p := s.rowHolder()
		p.killed = !deaf
		p.deaf = deaf
		s.killedMember = p.member
	})
}

// rowHolder returns the holder of the committed member row, or the first holder if there is none.
func (s *simulation) rowHolder() *process {
	for _, p := range s.holders {
		if p.holder != nil && p.member == s.row.Member {
			return p
		}
	}
	return s.holders[0]
}

// reportDirectRow reports the holder of a direct row to the claimants every second, since no witness watches it.
func (s *simulation) reportDirectRow() {
	s.after(time.Second, tableID, kindFault, s.reportDirectRow)
	if !s.row.Direct {
		return
	}
	for _, c := range s.claimants {
		s.update(c, SuspectEvent{Members: []ibisid.Member{s.row.Member}})
	}
}

func (s *simulation) fault() {
	h := s.holders[0]
	switch s.rng.IntN(28) {
	case 0, 1, 11, 12:
		p := s.processes[s.rng.IntN(len(s.processes))]
		s.freeze(p)
	case 2, 13:
		s.freeze(h)
	case 3, 14:
		witness := s.witnesses[s.rng.IntN(len(s.witnesses))]
		s.startWitness(witness, ibisid.Member{
			Name:        witness.member.Name,
			Incarnation: witness.member.Incarnation + 1,
		})
	case 4, 15:
		s.cut(s.rng.IntN(2), 2+s.rng.IntN(len(s.witnesses)))
	case 5, 16:
		s.cut(2+s.rng.IntN(len(s.witnesses)), s.rng.IntN(2))
	case 6, 17:
		s.cut(h.id, tableID)
		s.cut(tableID, h.id)
	case 7, 18:
		s.tableDownUntil = s.now + time.Duration(1+s.rng.IntN(4))*time.Second
		s.tableDownUntil = min(s.tableDownUntil, s.healAt)
	case 8, 19:
		s.cut(tableID, h.id)
	case 9, 20:
		s.isolate(h)
	case 21, 22:
		s.recordUnrelatedDeath()
	case 10:
		s.after(0, h.id, kindFault, func() { s.update(h, AnnounceEvent{State: StateLeft}) })
	case 23, 24:
		h.stalledUntil = min(s.now+time.Duration(s.rng.Int64N(int64(longestStall))), s.healAt)
	case 25:
		s.deafen(h)
	case 26:
		s.deafen(h)
		s.cut(tableID, h.id)
	default:
		s.reportFalseSuspect()
	}
	if s.rng.IntN(16) == 0 && s.holders[1].holder == nil {
		s.rejoin(s.holders[1], RejoinEffect{})
	}
}

func (s *simulation) freeze(p *process) {
	d := []time.Duration{300, 1500, 3000, 4000}[s.rng.IntN(4)] * time.Millisecond
	p.frozenUntil = min(s.now+d, s.healAt)
}

// cut toggles a one-way link and toggles it back after a random time.
func (s *simulation) cut(from, to int) {
	toggle := func() {
		key := [2]int{from, to}
		s.cuts[key] = !s.cuts[key]
	}
	toggle()
	s.after(time.Duration(s.rng.Int64N(int64(longestCut))), tableID, kindFault, toggle)
}

// deafen cuts the links from all witnesses to a process.
func (s *simulation) deafen(p *process) {
	for _, witness := range s.witnesses {
		s.cut(witness.id, p.id)
	}
}

func (s *simulation) reportFalseSuspect() {
	c := s.claimants[s.rng.IntN(len(s.claimants))]
	s.update(c, SuspectEvent{Members: []ibisid.Member{s.holders[0].member}})
}

// isolate cuts the links from a process to all witnesses and, in half of the cases, later the answers of the table to it.
func (s *simulation) isolate(p *process) {
	for _, witness := range s.witnesses {
		s.cut(p.id, witness.id)
	}
	if s.rng.IntN(2) == 0 {
		s.after(time.Second+time.Duration(s.rng.Int64N(int64(time.Second))), tableID, kindFault, func() {
			s.cuts[[2]int{tableID, p.id}] = true
		})
	}
}

// recordUnrelatedDeath adds another member to the deaths row that the holder's commits depend on.
func (s *simulation) recordUnrelatedDeath() {
	key := DeathsKey("d0", "h")
	row := s.rows[key]
	row.Key = key
	deaths, err := DecodeDeaths(row.Value)
	if err != nil {
		panic(err)
	}
	other := ibisid.Member{
		Name:        "other",
		Incarnation: ibisid.Incarnation(row.Version) + 1,
	}
	s.execute(ibisplatform.Commit{
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: row.Version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: deaths.With([]ibisid.Member{other}).Encode(),
		}},
	})
}
