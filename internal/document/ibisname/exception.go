package ibisname

import (
	"fmt"
	"maps"
	"slices"
)

// maxNameLength is the greatest length in bytes of the name of an exception.
const maxNameLength = 512

// compileExceptions checks that no two exceptions share a key or a name, and that no exception uses the name that the
// template gives to a key without an exception.
func (c *compiler) compileExceptions(path string, s *scheme, exceptions []NameException) {
	for i, e := range exceptions {
		exceptionPath := fmt.Sprintf("%s.exceptions[%d]", path, i)
		key, ok := c.exceptionKey(exceptionPath, e)
		if !ok {
			continue
		}
		if _, repeated := s.exceptionKeys[e.Name]; repeated || e.Name == "" || len(e.Name) > maxNameLength {
			c.fault(exceptionPath+".name", e.Name, "a name of its own of 1 to %d bytes", maxNameLength)
		}
		if other, repeated := s.exceptionNames[key]; repeated {
			c.fault(exceptionPath+".fields", string(key), "a key without an exception: %q names it already", other)
		}
		s.exceptionKeys[e.Name] = key
		s.exceptionNames[key] = e.Name
	}
	for i, e := range exceptions {
		var v values
		if !s.parse(e.Name, &v) {
			continue
		}
		if _, hasException := s.exceptionNames[c.space.join(&v)]; !hasException {
			c.fault(fmt.Sprintf("%s.exceptions[%d].name", path, i), e.Name, "a name that the template does not give to key %s", c.space.join(&v))
		}
	}
}

func (c *compiler) exceptionKey(path string, e NameException) (Key, bool) {
	var v values
	ok := true
	for i := range c.space.fields {
		rule := &c.space.fields[i]
		value := e.Fields[rule.name]
		if !rule.valid(value) {
			c.fault(path+".fields."+rule.name, value, "a canonical value of the field")
			ok = false
		}
		v[i] = value
	}
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		if !slices.ContainsFunc(c.space.fields, func(r fieldRule) bool { return r.name == name }) {
			c.fault(path+".fields."+name, name, "a field of the key space")
			ok = false
		}
	}
	return c.space.join(&v), ok
}
