package ibisname

import "strings"

// scheme is a compiled naming scheme.
type scheme struct {
	template       string
	fields         []fieldRule
	parts          []part
	exceptionKeys  map[string]Key
	exceptionNames map[Key]string
}

// parse stores the canonical values of a name in v and reports whether the name follows the template.
func (c *scheme) parse(name string, v *values) bool {
	for i := range c.parts {
		p := &c.parts[i]
		if p.isLiteral() {
			rest, ok := strings.CutPrefix(name, p.literal)
			if !ok {
				return false
			}
			name = rest
			continue
		}
		n := c.spellingLength(p, name)
		if n < 0 {
			return false
		}
		value, ok := c.canonicalValue(p, name[:n])
		if !ok {
			return false
		}
		v[p.field] = value
		name = name[n:]
	}
	return name == ""
}

// spellingLength returns the length in bytes of the field's spelling at the start of the text, or -1 where the text is shorter
// than a fixed width.
func (c *scheme) spellingLength(p *part, text string) int {
	if p.width > 0 {
		if len(text) < p.width {
			return -1
		}
		return p.width
	}
	n := 0
	for n < len(text) && c.accepts(p, text[n]) {
		n++
	}
	return n
}

// accepts reports whether the byte may occur in a spelling of the field.
func (c *scheme) accepts(p *part, b byte) bool {
	if p.codes != nil {
		return p.codes.alphabet[b]
	}
	if c.fields[p.field].kind == FieldInt {
		return isDigit(b)
	}
	return isWordByte(b)
}

// canonicalValue returns the canonical value for a spelling of the field and reports whether the spelling is valid.
func (c *scheme) canonicalValue(p *part, text string) (string, bool) {
	if p.codes != nil {
		value, ok := p.codes.canonical[text]
		return value, ok
	}
	rule := &c.fields[p.field]
	if p.width > 0 && rule.kind == FieldInt {
		text = trimLeadingZeros(text)
	}
	return text, rule.valid(text)
}

func trimLeadingZeros(text string) string {
	for len(text) > 1 && text[0] == '0' {
		text = text[1:]
	}
	return text
}

// appendName appends the name that the template produces for the values.
func (c *scheme) appendName(text []byte, v *values) []byte {
	for i := range c.parts {
		p := &c.parts[i]
		if p.isLiteral() {
			text = append(text, p.literal...)
			continue
		}
		value := v[p.field]
		if p.codes != nil {
			value = p.codes.spelling[value]
		}
		for n := len(value); n < p.width; n++ {
			text = append(text, '0')
		}
		text = append(text, value...)
	}
	return text
}
