package ibisname

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// ByteSet is a set of bytes.
type ByteSet [4]uint64

// Add adds a byte to the set.
func (s *ByteSet) Add(b byte) { s[b>>6] |= 1 << (b & 63) }

// Intersects reports whether the sets intersect.
func (s *ByteSet) Intersects(other *ByteSet) bool {
	return s[0]&other[0]|s[1]&other[1]|s[2]&other[2]|s[3]&other[3] != 0
}

// Shape is one element of a pattern for strings: one byte of a set, or one or more bytes of it.
type Shape struct {
	// Bytes is the set of bytes that the element matches.
	Bytes ByteSet
	// Repeats reports whether the element may match more than one byte.
	Repeats bool
}

// LiteralShape returns the pattern that matches exactly one text.
func LiteralShape(text string) []Shape {
	shapes := make([]Shape, len(text))
	for i := range len(text) {
		shapes[i].Bytes.Add(text[i])
	}
	return shapes
}

// Shapes returns patterns that together match every name of a scheme, the template's first and then one for each exception;
// it returns nil where the scheme does not exist.
func (s *Space) Shapes(scheme ibisid.SchemeName) [][]Shape {
	c, ok := s.schemes[scheme]
	if !ok {
		return nil
	}
	var template []Shape
	for i := range c.parts {
		template = append(template, c.partShape(&c.parts[i])...)
	}
	shapes := [][]Shape{template}
	names := make([]string, 0, len(c.exceptionKeys))
	for name := range c.exceptionKeys {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		shapes = append(shapes, LiteralShape(name))
	}
	return shapes
}

func (c *scheme) partShape(p *part) []Shape {
	if p.isLiteral() {
		return LiteralShape(p.literal)
	}
	var shape Shape
	for b := range 256 {
		if c.accepts(p, byte(b)) {
			shape.Bytes.Add(byte(b))
		}
	}
	if p.width > 0 {
		return slices.Repeat([]Shape{shape}, p.width)
	}
	shape.Repeats = true
	return []Shape{shape}
}
