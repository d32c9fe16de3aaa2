package ibismove

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// Unit is the subject of a move: a slot of a page, or a hot key.
type Unit struct {
	// Position is the index of the slot within its page, zero for a hot key.
	Position int
	// Key is the hash of the hot key, zero for a slot.
	Key ibisslot.KeyHash
	// Hot reports whether the unit is a hot key.
	Hot bool
}

func hotUnit(key ibisslot.KeyHash) Unit {
	return Unit{
		Key: key,
		Hot: true,
	}
}

// Transfer is the move of one unit.
type Transfer struct {
	// Unit is the slot or hot key to move.
	Unit Unit
	// Target is the new owner. A hot key whose target is its present owner returns to its slot, which the same member must own.
	Target ibisid.Member
	// Token is the token under which the source owns the unit.
	Token ibisid.Token
}

// assignmentOf returns the assignment of a unit on a page. A key without an override has the assignment of its slot.
func assignmentOf(p *ibisslot.Page, u Unit) ibisslot.Assignment {
	if !u.Hot {
		return p.Slot(u.Position)
	}
	if a, ok := p.Override(u.Key); ok {
		return a
	}
	return p.Slot(p.Position(u.Key))
}

// apply records the transfer in the page.
func (t Transfer) apply(p *ibisslot.Page, self ibisid.Member) {
	switch {
	case !t.Unit.Hot:
		p.Assign(t.Unit.Position, t.Target, true)
		replaceStandby(p, t.Unit.Position, t.Target, self)
	case t.Target == self:
		p.ReleaseKey(t.Unit.Key)
	default:
		p.AssignKey(t.Unit.Key, t.Target, true)
	}
}

// replaceStandby replaces the new owner by the previous one among the standbys of a slot. The standbys may then share
// a failure domain, which the coordinator corrects at its next write.
func replaceStandby(p *ibisslot.Page, position int, owner, previous ibisid.Member) {
	standbys := p.Slot(position).Standbys
	for i, s := range standbys {
		if s == owner {
			standbys[i] = previous
		}
	}
	p.SetStandbys(position, standbys)
}

// possible reports whether the source still owns the unit on the page and may transfer it.
func (t Transfer) possible(p *ibisslot.Page, self ibisid.Member) bool {
	a := assignmentOf(p, t.Unit)
	if a.Owner != self || a.Token != t.Token {
		return false
	}
	if !t.Unit.Hot || t.Target != self {
		return true
	}
	_, ok := p.Override(t.Unit.Key)
	return ok && p.Slot(p.Position(t.Unit.Key)).Owner == self
}

// committed reports whether the page contains the transfer.
func (t Transfer) committed(p *ibisslot.Page, self ibisid.Member) bool {
	a := assignmentOf(p, t.Unit)
	if t.Unit.Hot && t.Target == self {
		_, hot := p.Override(t.Unit.Key)
		return !hot && a.Owner == self
	}
	return a.Owner == t.Target && a.Token == t.Token+1 && a.HandedOver
}

// Plan returns the transfers of all units that a member owns on a page to the targets that choose returns. Units without a
// target stay.
func Plan(page *ibisslot.Page, self ibisid.Member, choose func(Unit) (ibisid.Member, bool)) []Transfer {
	var out []Transfer
	add := func(u Unit, token ibisid.Token) {
		target, ok := choose(u)
		if !ok || target == self {
			return
		}
		out = append(out, Transfer{
			Unit:   u,
			Target: target,
			Token:  token,
		})
	}
	for i := range page.Len() {
		if a := page.Slot(i); a.Owner == self {
			add(Unit{Position: i}, a.Token)
		}
	}
	for _, o := range page.Overrides() {
		if o.Assignment.Owner == self {
			add(hotUnit(o.Key), o.Assignment.Token)
		}
	}
	return out
}
