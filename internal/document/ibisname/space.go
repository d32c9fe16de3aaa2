package ibisname

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Space translates the names of one key space. It is immutable and holds no state for individual keys other than the listed
// exceptions.
type Space struct {
	name    ibisid.KeySpaceName
	prefix  string
	fields  []fieldRule
	schemes map[ibisid.SchemeName]*scheme
}

// values holds the canonical value of each field, in the order in which the key space declares the fields.
type values [maxFields]string

// Name returns the name of the key space.
func (s *Space) Name() ibisid.KeySpaceName { return s.name }

// Schemes returns the names of the naming schemes in sorted order.
func (s *Space) Schemes() []ibisid.SchemeName { return slices.Sorted(maps.Keys(s.schemes)) }

// Canonical returns the key for a name in the scheme; it returns an error if the scheme does not exist and a *NameError if the
// scheme has no such name.
func (s *Space) Canonical(scheme ibisid.SchemeName, name string) (Key, error) {
	c, ok := s.schemes[scheme]
	if !ok {
		return "", fmt.Errorf("key space %s has no scheme %q", s.name, scheme)
	}
	if key, ok := c.exceptionKeys[name]; ok {
		return key, nil
	}
	var v values
	if !c.parse(name, &v) {
		return "", &NameError{
			Scheme:   scheme,
			Name:     name,
			Template: c.template,
		}
	}
	key := s.join(&v)
	if other, ok := c.exceptionNames[key]; ok {
		return "", &NameError{
			Scheme:        scheme,
			Name:          name,
			Template:      c.template,
			ExceptionName: other,
		}
	}
	return key, nil
}

// Spell returns the name of a key in the scheme; it returns an error if the scheme does not exist or if the key does not
// belong to the space.
func (s *Space) Spell(scheme ibisid.SchemeName, key Key) (string, error) {
	c, ok := s.schemes[scheme]
	if !ok {
		return "", fmt.Errorf("key space %s has no scheme %q", s.name, scheme)
	}
	if name, ok := c.exceptionNames[key]; ok {
		return name, nil
	}
	var v values
	if !s.split(key, &v) {
		return "", fmt.Errorf("%q is no key of key space %s", string(key), s.name)
	}
	var buffer [keyBufferSize]byte
	return string(c.appendName(buffer[:0], &v)), nil
}

// NameError reports that a string is not a name in a scheme.
type NameError struct {
	// Scheme is the name of the scheme.
	Scheme ibisid.SchemeName
	// Name is the string that was rejected.
	Name string
	// Template is the form of a name in the scheme, as declared in Scheme.
	Template string
	// ExceptionName is the name that an exception assigns to the key in the scheme, empty where the key has no exception.
	ExceptionName string
}

// Error returns a message with the rejected string, the scheme and its template or the name of the exception.
func (e *NameError) Error() string {
	if e.ExceptionName != "" {
		return fmt.Sprintf("%q is no name of scheme %s, which calls that key %q", e.Name, e.Scheme, e.ExceptionName)
	}
	return fmt.Sprintf("%q is no name of scheme %s, which reads %s", e.Name, e.Scheme, e.Template)
}

// keyBufferSize is the size in bytes of the stack buffers in which keys and names are built, so that only the result is
// allocated.
const keyBufferSize = 192

// join returns the key with the given canonical values.
func (s *Space) join(v *values) Key {
	var buffer [keyBufferSize]byte
	text := append(buffer[:0], s.prefix...)
	for i := range s.fields {
		if i > 0 {
			text = append(text, '/')
		}
		text = append(text, v[i]...)
	}
	return Key(text)
}

// split stores the canonical values of a key in v and reports whether the key belongs to the space.
func (s *Space) split(key Key, v *values) bool {
	rest, ok := strings.CutPrefix(string(key), s.prefix)
	if !ok {
		return false
	}
	for i := range s.fields {
		value, after, more := strings.Cut(rest, "/")
		if more != (i < len(s.fields)-1) || !s.fields[i].valid(value) {
			return false
		}
		v[i] = value
		rest = after
	}
	return true
}
