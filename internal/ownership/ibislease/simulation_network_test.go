package ibislease

import (
	"encoding/json"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

func (s *simulation) delay() time.Duration {
	if s.healed() {
		return 1 + time.Duration(s.rng.Int64N(int64(healedMaxDelay)))
	}
	return 1 + time.Duration(s.rng.Int64N(int64(s.maxDelay)))
}

// send drops the message, or delivers it once or twice, each time after a random delay.
func (s *simulation) send(from, to int, kind uint8, run func()) {
	var stall time.Duration
	if to != tableID {
		if s.processes[to].deaf {
			return
		}
		stall = s.processes[to].stalledUntil - s.now
	}
	copies := 1
	if !s.healed() {
		if s.cuts[[2]int{from, to}] || s.rng.Float64() < s.lossRate {
			return
		}
		if s.lossRate > 0 && s.rng.IntN(10) == 0 {
			copies = 2
		}
	}
	for range copies {
		s.after(max(s.delay(), stall), to, kind, run)
	}
}

func (s *simulation) witnessOf(m ibisid.Member) *process {
	for _, p := range s.witnesses {
		if p.member.Name == m.Name {
			return p
		}
	}
	return nil
}

func (s *simulation) apply(p *process, effects []Effect) {
	for _, effect := range effects {
		s.applyOne(p, effect)
	}
}

func (s *simulation) applyOne(p *process, effect Effect) {
	switch e := effect.(type) {
	case HeartbeatEffect:
		for _, m := range e.Witnesses {
			s.deliver(p, s.witnessOf(m), HeartbeatEvent{
				Holder:  e.Holder,
				Witness: m,
				Sent:    e.Sent,
				Unheard: e.Unheard[m],
			})
		}
	case AckEffect:
		for _, h := range s.holders {
			s.deliver(p, h, AckEvent(e))
		}
	case PromiseRequestEffect:
		s.sendPromiseRequest(p, e)
	case PromisesEffect:
		for _, c := range s.claimants {
			s.deliver(p, c, PromisesEvent(e))
		}
	case SuspectEffect:
		for i, c := range s.claimants {
			s.deliver(p, c, SuspectEvent{
				Members: e.Members,
				Delay:   time.Duration(i) * s.terms.Heartbeat / 2,
			})
		}
	case CommitEffect:
		s.commit(p, e.Commit, func(r ibisplatform.CommitResult) Event {
			return CommitResultEvent{
				ID:     e.Commit.ID,
				Result: r,
			}
		})
	case ReadEffect:
		s.read(p, e, 0, nil)
	case RejoinEffect:
		s.rejoin(p, e)
	case LapsedEffect:
		s.lapses++
	case DeadEffect:
		s.takePage(p, e.Members)
	case JoinedEffect:
		p.joined = s.now
		s.takePage(p, nil)
	}
}

func (s *simulation) sendPromiseRequest(p *process, e PromiseRequestEffect) {
	s.deliver(p, s.witnessOf(e.Witness), PromiseRequestEvent(e))
}

func (s *simulation) rejoin(p *process, e RejoinEffect) {
	s.lastIncarnation = max(s.lastIncarnation, e.After) + 1
	next := s.lastIncarnation
	if s.terms.mutation == mutateReuseIncarnation {
		next = 1
	}
	s.startHolder(p, next)
}

func (s *simulation) deliver(from, to *process, event Event) {
	if to == nil {
		return
	}
	s.send(from.id, to.id, kindMessage, func() { s.update(to, event) })
}

func (s *simulation) update(p *process, event Event) {
	switch {
	case p.holder != nil:
		s.apply(p, p.holder.Update(event, s.local(p)))
	case p.witness != nil:
		s.apply(p, p.witness.Update(event, s.local(p)))
	case p.claimant != nil:
		s.apply(p, p.claimant.Update(event, s.local(p)))
	}
}

// read reads the keys one after the other, so that other steps can happen between the reads.
func (s *simulation) read(p *process, e ReadEffect, i int, rows []ibisplatform.Row) {
	if i == len(e.Keys) {
		s.send(tableID, p.id, kindTable, func() {
			s.update(p, ReadEvent{
				Sequence: e.Sequence,
				Rows:     rows,
			})
		})
		return
	}
	s.send(p.id, tableID, kindTable, func() {
		if s.tableDownUntil > s.now {
			return
		}
		row, ok := s.rows[e.Keys[i]]
		if !ok {
			row.Key = e.Keys[i]
		}
		s.read(p, e, i+1, append(rows[:i:i], row))
	})
}

func (s *simulation) commit(p *process, c ibisplatform.Commit, answer func(ibisplatform.CommitResult) Event) {
	s.send(p.id, tableID, kindTable, func() {
		if s.tableDownUntil > s.now {
			return
		}
		result := s.execute(c)
		s.send(tableID, p.id, kindTable, func() { s.update(p, answer(result)) })
	})
}

func (s *simulation) execute(c ibisplatform.Commit) ibisplatform.CommitResult {
	for _, cond := range c.Conditions {
		if s.rows[cond.Key].Version != cond.Version {
			return ibisplatform.CommitResult{Status: ibisplatform.CommitConflict}
		}
	}
	s.version++
	for _, write := range c.Writes {
		s.rows[write.Key] = ibisplatform.Row{
			Key:      write.Key,
			Value:    write.Value,
			Version:  s.version,
			CommitID: c.ID,
		}
		s.recordWrite(write)
	}
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: s.version,
	}
}

func (s *simulation) recordWrite(write ibisplatform.Write) {
	if write.Key == pageKey {
		return
	}
	if write.Key == RowKey("h") {
		row, err := DecodeRow(write.Value)
		if err != nil {
			panic(err)
		}
		s.row = row
		return
	}
	if deaths, err := DecodeDeaths(write.Value); err == nil {
		for _, m := range deaths.Members {
			if _, ok := s.deadAt[m]; !ok {
				s.deadAt[m] = s.now
			}
		}
	}
}

// takePage commits the process as owner of the page: a claimant takes it from a dead owner, a joined holder also from a
// claimant.
func (s *simulation) takePage(p *process, dead []ibisid.Member) {
	row := s.rows[pageKey]
	var page struct {
		Owner ibisid.Member
		Token ibisid.Token
	}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &page); err != nil {
			panic(err)
		}
	}
	free := page.Owner.IsZero() || page.Owner.Name != "h" && p.holder != nil
	for _, m := range dead {
		free = free || m == page.Owner
	}
	if !free {
		return
	}
	page.Owner = p.member
	page.Token++
	c := ibisplatform.Commit{
		ID: "page",
		Conditions: []ibisplatform.Condition{{
			Key:     pageKey,
			Version: row.Version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   pageKey,
			Value: mustEncode(page),
		}},
	}
	taken := pageContent{
		owner: page.Owner,
		token: page.Token,
	}
	s.send(p.id, tableID, kindTable, func() {
		if s.tableDownUntil > s.now || s.execute(c).Status != ibisplatform.CommitApplied {
			return
		}
		s.history = append(s.history, taken)
		s.send(tableID, p.id, kindTable, func() { s.recordAssignment(p, taken) })
	})
}

// recordAssignment records an acknowledged assignment; a claimant uses its token at once, a holder while it is valid.
func (s *simulation) recordAssignment(p *process, taken pageContent) {
	s.acknowledged = append(s.acknowledged, taken)
	if p.member != taken.owner {
		return
	}
	if p.holder != nil {
		p.token = taken.token
		return
	}
	if len(s.history) > 0 && s.history[len(s.history)-1] == taken {
		s.maxToken = max(s.maxToken, taken.token)
	}
}
