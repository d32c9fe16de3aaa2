package ibisname

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Selector matches the keys of a space that are given by one name, a range of names or a prefix of names in a scheme.
type Selector struct {
	space *Space
	boxes []box
	// schemeName is the scheme in which the selector is written.
	schemeName  ibisid.SchemeName
	first, last string
	// prefix is compared with the names of exceptions: the box of a key follows the template, which does not spell these names.
	prefix string
	scheme *scheme
}

// String returns the key space, the scheme, and the name, range or prefix of the selector as it was written.
func (s *Selector) String() string {
	switch {
	case s.scheme != nil:
		return fmt.Sprintf("%s/%s %s*", s.space.name, s.schemeName, s.prefix)
	case s.last != "":
		return fmt.Sprintf("%s/%s %s to %s", s.space.name, s.schemeName, s.first, s.last)
	default:
		return fmt.Sprintf("%s/%s %s", s.space.name, s.schemeName, s.first)
	}
}

// SelectName returns a selector for one name; it returns an error if the scheme does not exist or has no such name.
func (s *Space) SelectName(scheme ibisid.SchemeName, name string) (*Selector, error) {
	v, _, err := s.parseName(scheme, name)
	if err != nil {
		return nil, err
	}
	return &Selector{
		space:      s,
		schemeName: scheme,
		first:      name,
		boxes:      []box{s.point(v)},
	}, nil
}

// SelectRange returns a selector for the names from first to last, both included. Names are ordered by the canonical values of
// their fields, compared in the order of the template. It returns an error if the scheme does not exist, if first or last is not
// a name in it, or if first sorts after last.
func (s *Space) SelectRange(scheme ibisid.SchemeName, first, last string) (*Selector, error) {
	from, c, err := s.parseName(scheme, first)
	if err != nil {
		return nil, err
	}
	to, _, err := s.parseName(scheme, last)
	if err != nil {
		return nil, err
	}
	order := c.fieldOrder()
	if s.compare(order, from, to) > 0 {
		return nil, fmt.Errorf("%q comes after %q", first, last)
	}
	return &Selector{
		space:      s,
		schemeName: scheme,
		first:      first,
		last:       last,
		boxes:      s.rangeBoxes(order, from, to),
	}, nil
}

// SelectPrefix returns a selector for the names that start with a prefix; it returns an error if the scheme does not exist and
// a *NameError if no name of the scheme can start with the prefix.
func (s *Space) SelectPrefix(scheme ibisid.SchemeName, prefix string) (*Selector, error) {
	c, ok := s.schemes[scheme]
	if !ok {
		return nil, fmt.Errorf("key space %s has no scheme %q", s.name, scheme)
	}
	boxes := s.prefixBoxes(c, prefix)
	for name, key := range c.exceptionKeys {
		var v values
		if strings.HasPrefix(name, prefix) && s.split(key, &v) {
			boxes = append(boxes, s.point(&v))
		}
	}
	if len(boxes) == 0 {
		return nil, &NameError{
			Scheme:   scheme,
			Name:     prefix,
			Template: c.template,
		}
	}
	return &Selector{
		space:      s,
		schemeName: scheme,
		boxes:      boxes,
		prefix:     prefix,
		scheme:     c,
	}, nil
}

// Match reports whether the selector matches the key.
func (s *Selector) Match(key Key) bool {
	var v values
	if !s.space.split(key, &v) {
		return false
	}
	if s.scheme != nil {
		if name, ok := s.scheme.exceptionNames[key]; ok {
			return strings.HasPrefix(name, s.prefix)
		}
	}
	for i := range s.boxes {
		if s.boxes[i].contains(&v) {
			return true
		}
	}
	return false
}

// Overlaps reports whether both selectors may match the same key. It may report true for two selectors without a shared key,
// because it compares boxes and these do not take account of the names of exceptions.
func (s *Selector) Overlaps(other *Selector) bool {
	if s.space.name != other.space.name {
		return false
	}
	for i := range s.boxes {
		for j := range other.boxes {
			if s.boxes[i].overlaps(other.boxes[j]) {
				return true
			}
		}
	}
	return false
}

// parseName returns the canonical values of a name and the compiled scheme.
func (s *Space) parseName(scheme ibisid.SchemeName, name string) (*values, *scheme, error) {
	key, err := s.Canonical(scheme, name)
	if err != nil {
		return nil, nil, err
	}
	v := new(values)
	s.split(key, v)
	return v, s.schemes[scheme], nil
}

func (s *Space) compare(order []int, a, b *values) int {
	for _, f := range order {
		if n := s.fields[f].compare(a[f], b[f]); n != 0 {
			return n
		}
	}
	return 0
}

// compare returns the order of two canonical values of the field; ints without leading zeros sort by length, then as strings.
func (r *fieldRule) compare(a, b string) int {
	if r.kind == FieldInt {
		if n := cmp.Compare(len(a), len(b)); n != 0 {
			return n
		}
	}
	return strings.Compare(a, b)
}

// Space returns the name of the key space.
func (s *Selector) Space() ibisid.KeySpaceName { return s.space.name }

// Key returns the key of a selector for one name; the second result is false for a range or a prefix.
func (s *Selector) Key() (Key, bool) {
	if s.scheme != nil || s.last != "" {
		return "", false
	}
	key, err := s.space.Canonical(s.schemeName, s.first)
	return key, err == nil
}
