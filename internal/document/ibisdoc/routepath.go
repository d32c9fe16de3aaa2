package ibisdoc

import (
	"fmt"
	"strings"
)

// routePath is a compiled path template: the parts before the key, the optional key, and the parts after it.
type routePath struct {
	before []pathPart
	after  []pathPart
	hasKey bool
	// hasVariables reports whether the template has variables other than the key.
	hasVariables bool
}

// pathPart is a literal, or a variable that matches one path segment.
type pathPart struct {
	literal  string
	variable string
}

// PathVariable is the value of a variable of a path template.
type PathVariable struct {
	// Name is the name of the variable.
	Name string
	// Value is the path segment.
	Value string
}

const keyVariable = "key"

// parsePath compiles a path template; the text of its error describes what is allowed.
func parsePath(text string) (routePath, error) {
	var p routePath
	if !strings.HasPrefix(text, "/") {
		return p, fmt.Errorf("a path that starts with \"/\"")
	}
	seen := make(map[string]bool)
	for text != "" {
		literal, rest, open := strings.Cut(text, "{")
		if strings.Contains(literal, "}") {
			return p, fmt.Errorf("a \"}\" needs a \"{\" before it")
		}
		if literal != "" {
			p.add(pathPart{literal: literal})
		}
		if !open {
			return p, nil
		}
		name, after, closed := strings.Cut(rest, "}")
		if !closed || !validName(name) || seen[name] {
			return p, fmt.Errorf("variables such as {name}, each with a name of its own")
		}
		seen[name] = true
		if name == keyVariable {
			p.hasKey = true
		} else {
			if !strings.HasSuffix(literal, "/") || (after != "" && after[0] != '/') {
				return p, fmt.Errorf("a variable that takes a whole path segment, as in /a/{%s}/b", name)
			}
			p.hasVariables = true
			p.add(pathPart{variable: name})
		}
		text = after
	}
	return p, nil
}

func (p *routePath) add(part pathPart) {
	if p.hasKey {
		p.after = append(p.after, part)
		return
	}
	p.before = append(p.before, part)
}

// match returns the key name in the path, and reports whether the path matches the template.
func (p *routePath) match(path string) (string, bool) {
	for i := range p.before {
		rest, ok := p.before[i].cutPrefix(path)
		if !ok {
			return "", false
		}
		path = rest
	}
	for i := len(p.after) - 1; i >= 0; i-- {
		rest, ok := p.after[i].cutSuffix(path)
		if !ok {
			return "", false
		}
		path = rest
	}
	return path, p.hasKey == (path != "")
}

func (p pathPart) cutPrefix(path string) (string, bool) {
	if p.variable == "" {
		return strings.CutPrefix(path, p.literal)
	}
	end := strings.IndexByte(path, '/')
	if end < 0 {
		end = len(path)
	}
	return path[end:], end > 0
}

func (p pathPart) cutSuffix(path string) (string, bool) {
	if p.variable == "" {
		return strings.CutSuffix(path, p.literal)
	}
	start := strings.LastIndexByte(path, '/') + 1
	return path[:start], start < len(path)
}

// variables returns the values of the variables of a path that matches.
func (p *routePath) variables(path string) []PathVariable {
	if !p.hasVariables {
		return nil
	}
	var found []PathVariable
	for _, part := range p.before {
		rest, _ := part.cutPrefix(path)
		found = part.appendValue(found, strings.TrimSuffix(path, rest))
		path = rest
	}
	for i := len(p.after) - 1; i >= 0; i-- {
		rest, _ := p.after[i].cutSuffix(path)
		found = p.after[i].appendValue(found, strings.TrimPrefix(path, rest))
		path = rest
	}
	return found
}

func (p pathPart) appendValue(found []PathVariable, value string) []PathVariable {
	if p.variable == "" {
		return found
	}
	return append(found, PathVariable{
		Name:  p.variable,
		Value: value,
	})
}

// directory returns the literal prefix of the template up to its last slash, or the whole template if it has no variables.
func (p *routePath) directory() string {
	if len(p.before) == 0 {
		return "/"
	}
	literal := p.before[0].literal
	if len(p.before) == 1 && !p.hasKey {
		return literal
	}
	return literal[:strings.LastIndexByte(literal, '/')+1]
}
