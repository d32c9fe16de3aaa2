package ibisname

import (
	"fmt"
	"strconv"
	"strings"
)

// part is a literal or a field of a template.
type part struct {
	literal string
	// field is the index of the field in the key space where literal is empty.
	field int
	// width is the fixed length of the spelling in bytes, zero where the length varies.
	width int
	codes *codeTable
}

func (p *part) isLiteral() bool { return p.literal != "" }

// codeTable maps the canonical values of a field to their codes in a scheme, and codes to canonical values.
type codeTable struct {
	spelling  map[string]string
	canonical map[string]string
	// alphabet marks the bytes that occur in the codes.
	alphabet [256]bool
}

// parseTemplate splits a template into parts; if the template is malformed, the text of the error states the rule.
func parseTemplate(text string, fields []fieldRule) ([]part, error) {
	var parts []part
	for text != "" {
		open := strings.IndexByte(text, '{')
		if open < 0 {
			open = len(text)
		}
		if open > 0 {
			if strings.IndexByte(text[:open], '}') >= 0 {
				return nil, fmt.Errorf("a \"}\" needs a \"{\" before it")
			}
			parts = append(parts, part{literal: text[:open]})
			text = text[open:]
			continue
		}
		end := strings.IndexByte(text, '}')
		if end < 0 {
			return nil, fmt.Errorf("a \"{\" needs a \"}\" after it")
		}
		p, err := parseField(text[1:end], fields)
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
		text = text[end+1:]
	}
	return parts, nil
}

// parseField parses the text between the braces of a field: NAME, NAME:TYPE or NAME:0WIDTH.
func parseField(text string, fields []fieldRule) (part, error) {
	name, format, formatted := strings.Cut(text, ":")
	index := -1
	for i := range fields {
		if fields[i].name == name {
			index = i
		}
	}
	if index < 0 {
		return part{}, fmt.Errorf("field %q is not one of the key space's fields", name)
	}
	p := part{field: index}
	if !formatted || format == string(fields[index].kind) {
		return p, nil
	}
	width, err := strconv.Atoi(format)
	if err != nil || width < 1 || width > maxWordLength {
		return part{}, fmt.Errorf("after \":\" stands the field's type %q or a fixed width such as 06", fields[index].kind)
	}
	p.width = width
	return p, nil
}
