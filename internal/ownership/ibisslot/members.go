package ibisslot

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// memberNumber is the index of a member in the member table of a Map; zero means no member.
type memberNumber uint32

// memberTable numbers the members that pages refer to, and reuses the numbers of members without references.
type memberTable struct {
	numbers    map[ibisid.Member]memberNumber
	members    []ibisid.Member
	references []uint32
	free       []memberNumber
}

func newMemberTable() memberTable {
	return memberTable{
		numbers:    map[ibisid.Member]memberNumber{},
		members:    make([]ibisid.Member, 1),
		references: make([]uint32, 1),
	}
}

func (t *memberTable) get(n memberNumber) ibisid.Member { return t.members[n] }

// acquire returns the number of a member and adds a reference to it.
func (t *memberTable) acquire(m ibisid.Member) memberNumber {
	if m.IsZero() {
		return 0
	}
	n, ok := t.numbers[m]
	if !ok {
		n = t.allocate(m)
	}
	t.references[n]++
	return n
}

func (t *memberTable) allocate(m ibisid.Member) memberNumber {
	var n memberNumber
	if last := len(t.free) - 1; last >= 0 {
		n = t.free[last]
		t.free = t.free[:last]
		t.members[n] = m
	} else {
		n = memberNumber(len(t.members))
		t.members = append(t.members, m)
		t.references = append(t.references, 0)
	}
	t.numbers[m] = n
	return n
}

// release removes a reference to a member and frees its number after the last one.
func (t *memberTable) release(n memberNumber) {
	if n == 0 {
		return
	}
	t.references[n]--
	if t.references[n] > 0 {
		return
	}
	delete(t.numbers, t.members[n])
	t.members[n] = ibisid.Member{}
	t.free = append(t.free, n)
}
