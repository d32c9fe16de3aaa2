package ibisname

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// maxCodes is the greatest number of codes in one table.
const maxCodes = 100_000

func (c *compiler) compileScheme(name ibisid.SchemeName, content Scheme) {
	path := fmt.Sprintf("schemes.%s", name)
	earlierFaults := len(c.faults)
	compiled := &scheme{
		template:       content.Template,
		fields:         c.space.fields,
		exceptionKeys:  make(map[string]Key, len(content.Exceptions)),
		exceptionNames: make(map[Key]string, len(content.Exceptions)),
	}
	parts, err := parseTemplate(content.Template, c.space.fields)
	if err != nil {
		c.fault(path+".template", content.Template, "%s", err)
		return
	}
	compiled.parts = parts
	c.compileCodes(path, compiled, content.Codes)
	c.checkParts(path, compiled)
	if len(c.faults) > earlierFaults {
		return
	}
	c.compileExceptions(path, compiled, content.Exceptions)
	c.space.schemes[name] = compiled
}

func (c *compiler) compileCodes(path string, s *scheme, codes map[string]map[string]string) {
	used := make(map[string]bool)
	for i := range s.parts {
		p := &s.parts[i]
		if p.isLiteral() {
			continue
		}
		rule := &c.space.fields[p.field]
		used[rule.name] = true
		table, ok := codes[rule.name]
		if !ok {
			continue
		}
		p.codes = c.codeTable(path+".codes."+rule.name, rule, table)
		c.checkCodeWidth(path, s, p)
	}
	for _, field := range slices.Sorted(maps.Keys(codes)) {
		if !used[field] {
			c.fault(path+".codes."+field, field, "a field of the template")
		}
	}
}

func (c *compiler) checkCodeWidth(path string, s *scheme, p *part) {
	if p.width > 0 {
		c.fault(path+".template", s.template, "no width for field %s, whose codes are spelled as they stand", c.space.fields[p.field].name)
	}
	p.width = p.codes.commonWidth()
}

// codeTable compiles the codes of a field. It checks that they cover every value of the field and that no two values share a
// code.
func (c *compiler) codeTable(path string, rule *fieldRule, table map[string]string) *codeTable {
	t := &codeTable{
		spelling:  table,
		canonical: make(map[string]string, len(table)),
	}
	for _, value := range slices.Sorted(maps.Keys(table)) {
		code := table[value]
		if !rule.valid(value) {
			c.fault(path, value, "a canonical value of field %s", rule.name)
		}
		if code == "" || len(code) > maxWordLength || !allBytes(code, isCodeByte) {
			c.fault(path+"."+value, code, "a code of letters, digits, \"-\", \".\" and \"_\"")
		}
		if other, ok := t.canonical[code]; ok {
			c.fault(path+"."+value, code, "a code of its own: value %s has the same", other)
		}
		t.canonical[code] = value
		for i := range len(code) {
			t.alphabet[code[i]] = true
		}
	}
	c.checkCoverage(path, rule, table)
	return t
}

func (c *compiler) checkCoverage(path string, rule *fieldRule, table map[string]string) {
	if len(table) > maxCodes {
		c.fault(path, strconv.Itoa(len(table)), "at most %d codes", maxCodes)
		return
	}
	if rule.kind == FieldWord {
		for _, value := range slices.Sorted(maps.Keys(rule.domain)) {
			if _, ok := table[value]; !ok {
				c.fault(path, value, "a code for every value that another scheme of the key space codes")
			}
		}
		return
	}
	if rule.max-rule.min >= maxCodes {
		c.fault(path, rule.name, "a field with min and max at most %d apart", maxCodes)
		return
	}
	for i := range rule.max - rule.min + 1 {
		value := strconv.FormatUint(rule.min+i, 10)
		if _, ok := table[value]; !ok {
			c.fault(path, value, "a code for every value from %d to %d", rule.min, rule.max)
		}
	}
}

// commonWidth returns the length in bytes of all codes, or zero where their lengths differ.
func (t *codeTable) commonWidth() int {
	width := 0
	for code := range t.canonical {
		if width != 0 && len(code) != width {
			return 0
		}
		width = len(code)
	}
	return width
}

// checkParts checks that a name can be parsed in only one way: each field occurs exactly once, and a field of variable width
// either ends the template or is followed by a literal whose first byte cannot be part of the field.
func (c *compiler) checkParts(path string, s *scheme) {
	count := make([]int, len(c.space.fields))
	for i := range s.parts {
		p := &s.parts[i]
		if p.isLiteral() {
			continue
		}
		count[p.field]++
		c.checkFieldWidth(path, s, p)
		if p.width > 0 || i == len(s.parts)-1 {
			continue
		}
		next := &s.parts[i+1]
		if !next.isLiteral() || s.accepts(p, next.literal[0]) {
			c.fault(path+".template", s.template, "field %s needs a fixed width or a separator after it that it cannot hold",
				c.space.fields[p.field].name)
		}
	}
	for i, n := range count {
		if n != 1 {
			c.fault(path+".template", s.template, "field %s exactly once", c.space.fields[i].name)
		}
	}
}

func (c *compiler) checkFieldWidth(path string, s *scheme, p *part) {
	rule := &c.space.fields[p.field]
	if p.width == 0 || p.codes != nil {
		return
	}
	if rule.kind == FieldWord {
		c.fault(path+".template", s.template, "a fixed width only for int fields and codes: words of field %s vary", rule.name)
		return
	}
	if p.width < maxIntDigits && rule.max >= uint64(math.Pow10(p.width)) {
		c.fault(path+".template", s.template, "a max of field %s that fits %d digits", rule.name, p.width)
	}
}
