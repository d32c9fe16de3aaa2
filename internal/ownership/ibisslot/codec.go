package ibisslot

import (
	"encoding/binary"
	"errors"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// pageFormat is the first byte of an encoded page.
	pageFormat = 1
	// maxNameBytes is the greatest length of a node name that DecodePage accepts.
	maxNameBytes = 1 << 10
	// maxToken bounds the tokens that DecodePage accepts, so that raising one can't overflow.
	maxToken = 1 << 62
)

// ErrMalformedPage is returned by DecodePage for a value that is not a valid encoding of a page.
var ErrMalformedPage = errors.New("malformed page")

// Encode returns the page in its binary format, which is the value of the page's row.
//
// The format is a version byte, a dictionary of the members that the page refers to, the numbers of slots and of hot keys,
// and their assignments. Integers are unsigned varints; assignments refer to members by their number in the dictionary.
func (p *Page) Encode() []byte {
	w := pageWriter{index: map[ibisid.Member]uint64{}}
	for _, a := range p.assignments {
		w.assignment(a)
	}
	for _, o := range p.overrides {
		w.body = binary.AppendUvarint(w.body, uint64(o.Key))
		w.assignment(o.Assignment)
	}
	out := []byte{pageFormat}
	out = binary.AppendUvarint(out, uint64(len(w.members)))
	for _, m := range w.members {
		out = binary.AppendUvarint(out, uint64(len(m.Name)))
		out = append(out, m.Name...)
		out = binary.AppendUvarint(out, uint64(m.Incarnation))
	}
	out = binary.AppendUvarint(out, uint64(len(p.assignments)))
	out = binary.AppendUvarint(out, uint64(len(p.overrides)))
	return append(out, w.body...)
}

// pageWriter collects the dictionary of members and the encoded assignments of a page.
type pageWriter struct {
	index   map[ibisid.Member]uint64
	members []ibisid.Member
	body    []byte
}

func (w *pageWriter) assignment(a Assignment) {
	owner := w.member(a.Owner) << 1
	if a.HandedOver {
		owner |= 1
	}
	w.body = binary.AppendUvarint(w.body, owner)
	w.body = binary.AppendUvarint(w.body, uint64(a.Token))
	for _, s := range a.Standbys {
		w.body = binary.AppendUvarint(w.body, w.member(s))
	}
}

// member returns the number of a member in the dictionary, which starts at one, and adds a new member to it.
//
// The zero member has the number zero.
func (w *pageWriter) member(m ibisid.Member) uint64 {
	if m.IsZero() {
		return 0
	}
	n, ok := w.index[m]
	if !ok {
		w.members = append(w.members, m)
		n = uint64(len(w.members))
		w.index[m] = n
	}
	return n
}

// DecodePage parses the value of a page's row and returns ErrMalformedPage if it is malformed.
func DecodePage(id PageID, version ibisplatform.Version, value []byte) (*Page, error) {
	if len(value) == 0 || value[0] != pageFormat {
		return nil, ErrMalformedPage
	}
	r := pageReader{rest: value[1:]}
	r.dictionary()
	slots, overrides := r.count(ibisid.SlotsPerPage), r.count(len(value))
	p := &Page{
		id:          id,
		version:     version,
		assignments: make([]Assignment, slots),
	}
	for i := range p.assignments {
		p.assignments[i] = r.assignment()
	}
	for i := 0; i < overrides && !r.failed; i++ {
		key := KeyHash(r.number())
		p.overrides = append(p.overrides, Override{
			Key:        key,
			Assignment: r.assignment(),
		})
	}
	if r.failed || slots == 0 || len(r.rest) > 0 || !p.overridesInOrder() {
		return nil, ErrMalformedPage
	}
	return p, nil
}

// overridesInOrder reports whether the hot keys are unique and sorted, which the binary search for a key requires.
func (p *Page) overridesInOrder() bool {
	for i := 1; i < len(p.overrides); i++ {
		if p.overrides[i-1].Key >= p.overrides[i].Key {
			return false
		}
	}
	return true
}

// pageReader decodes the rest of a page; failed is set at the first malformed field, after which the results have no meaning.
type pageReader struct {
	rest    []byte
	members []ibisid.Member
	failed  bool
}

func (r *pageReader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *pageReader) count(limit int) int {
	n := r.number()
	if n > uint64(limit) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *pageReader) dictionary() {
	for n := r.count(len(r.rest)); n > 0 && !r.failed; n-- {
		size := r.count(min(maxNameBytes, len(r.rest)))
		if size > len(r.rest) {
			r.failed = true
			return
		}
		name := ibisid.NodeName(r.rest[:size])
		r.rest = r.rest[size:]
		r.members = append(r.members, ibisid.Member{
			Name:        name,
			Incarnation: ibisid.Incarnation(r.number()),
		})
	}
}

func (r *pageReader) member(n uint64) ibisid.Member {
	if n == 0 {
		return ibisid.Member{}
	}
	if n > uint64(len(r.members)) {
		r.failed = true
		return ibisid.Member{}
	}
	return r.members[n-1]
}

func (r *pageReader) token() ibisid.Token {
	n := r.number()
	r.failed = r.failed || n > maxToken
	return ibisid.Token(n)
}

func (r *pageReader) assignment() Assignment {
	owner := r.number()
	a := Assignment{
		Owner:      r.member(owner >> 1),
		Token:      r.token(),
		HandedOver: owner&1 == 1,
	}
	for i := range a.Standbys {
		a.Standbys[i] = r.member(r.number())
	}
	return a
}
