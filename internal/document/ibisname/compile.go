package ibisname

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var fieldNamePattern = regexp.MustCompile(`^[a-z][a-zA-Z0-9]{0,31}$`)

// compiler compiles one key space and collects its faults.
type compiler struct {
	space  *Space
	faults []Fault
}

// Compile checks a key space and compiles its schemes. It returns every fault, with paths relative to the key space; the
// returned space is nil if there are any faults.
func Compile(name ibisid.KeySpaceName, content KeySpace) (*Space, []Fault) {
	c := &compiler{
		space: &Space{
			name:    name,
			prefix:  string(name) + ":",
			schemes: make(map[ibisid.SchemeName]*scheme, len(content.Schemes)),
		},
	}
	c.compileFields(content)
	if len(content.Schemes) == 0 {
		c.fault("schemes", "", "at least one scheme")
	}
	if len(c.faults) == 0 {
		for _, scheme := range slices.Sorted(maps.Keys(content.Schemes)) {
			c.compileScheme(scheme, content.Schemes[scheme])
		}
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return c.space, nil
}

func (c *compiler) fault(path, value, allowed string, args ...any) {
	c.faults = append(c.faults, Fault{
		Path:    path,
		Value:   value,
		Allowed: fmt.Sprintf(allowed, args...),
	})
}

func (c *compiler) compileFields(content KeySpace) {
	if len(content.Fields) == 0 || len(content.Fields) > maxFields {
		c.fault("fields", strconv.Itoa(len(content.Fields)), "1 to %d fields", maxFields)
		return
	}
	seen := make(map[string]bool)
	for i, f := range content.Fields {
		c.checkField(fmt.Sprintf("fields[%d]", i), f, seen[f.Name])
		seen[f.Name] = true
		c.space.fields = append(c.space.fields, newFieldRule(f))
	}
	c.compileDomains(content)
}

func (c *compiler) checkField(path string, f Field, repeated bool) {
	if !fieldNamePattern.MatchString(f.Name) || repeated {
		c.fault(path+".name", f.Name, "a name of its own of letters and digits that starts with a small letter")
	}
	switch f.Type {
	case FieldInt:
		if f.Max != 0 && f.Max < f.Min {
			c.fault(path+".max", strconv.FormatUint(f.Max, 10), "at least min, %d", f.Min)
		}
	case FieldWord:
		if f.Min != 0 {
			c.fault(path+".min", strconv.FormatUint(f.Min, 10), "min is for int fields")
		}
		if f.Max > maxWordLength {
			c.fault(path+".max", strconv.FormatUint(f.Max, 10), "a greatest length up to %d", maxWordLength)
		}
	default:
		c.fault(path+".type", string(f.Type), "%q or %q", FieldInt, FieldWord)
	}
}

// compileDomains sets the domain of each word field that has code tables to the canonical values of all these tables.
func (c *compiler) compileDomains(content KeySpace) {
	for i := range c.space.fields {
		rule := &c.space.fields[i]
		if rule.kind != FieldWord {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(content.Schemes)) {
			for value := range content.Schemes[name].Codes[rule.name] {
				if rule.domain == nil {
					rule.domain = make(map[string]struct{})
				}
				rule.domain[value] = struct{}{}
			}
		}
	}
}
