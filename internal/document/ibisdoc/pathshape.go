package ibisdoc

import "github.com/ibisridge/ibisridge/internal/document/ibisname"

// pathShape is a pattern of byte classes that describes some of the paths of a route.
type pathShape []ibisname.Shape

// shapesOf returns patterns that together cover every path of the route.
func (r *compiledRoute) shapesOf() []pathShape {
	before, after := partsShape(r.path.before), partsShape(r.path.after)
	if !r.path.hasKey {
		return []pathShape{before}
	}
	var shapes []pathShape
	for _, key := range r.space.Shapes(r.scheme) {
		shape := make(pathShape, 0, len(before)+len(key)+len(after))
		shape = append(shape, before...)
		shape = append(shape, key...)
		shapes = append(shapes, append(shape, after...))
	}
	return shapes
}

func partsShape(parts []pathPart) pathShape {
	var shape pathShape
	for _, part := range parts {
		if part.variable != "" {
			shape = append(shape, segmentShape())
			continue
		}
		shape = append(shape, ibisname.LiteralShape(part.literal)...)
	}
	return shape
}

func segmentShape() ibisname.Shape {
	segment := ibisname.Shape{Repeats: true}
	for b := range 256 {
		if b != '/' {
			segment.Bytes.Add(byte(b))
		}
	}
	return segment
}

// shapePair holds the number of steps of two patterns that a common text has matched.
type shapePair struct {
	a, b int
}

// intersects reports whether some text matches both patterns; it searches the pairs of steps that a common text can reach.
func (s pathShape) intersects(other pathShape) bool {
	seen := make(map[shapePair]struct{})
	queue := []shapePair{{}}
	for len(queue) > 0 {
		at := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if at.a == len(s) && at.b == len(other) {
			return true
		}
		for _, a := range s.next(at.a) {
			for _, b := range other.next(at.b) {
				to := shapePair{
					a: a,
					b: b,
				}
				if _, known := seen[to]; known || !s[a-1].Bytes.Intersects(&other[b-1].Bytes) {
					continue
				}
				seen[to] = struct{}{}
				queue = append(queue, to)
			}
		}
	}
	return false
}

// next returns the numbers of steps that may be matched after one more byte.
func (s pathShape) next(at int) []int {
	var to []int
	if at > 0 && s[at-1].Repeats {
		to = append(to, at)
	}
	if at < len(s) {
		to = append(to, at+1)
	}
	return to
}
