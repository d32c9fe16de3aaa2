package ibisname

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// box is the set of keys whose canonical value lies in a given interval for each field.
type box []interval

// interval is a closed interval of the canonical values of one field. Int fields use min and max, word fields use first and
// last; it is empty where the lower bound is greater than the upper bound.
type interval struct {
	rule     *fieldRule
	min, max uint64
	// first and last bound a word; last ends in afterWordBytes where there is no upper bound.
	first, last string
}

// afterWordBytes sorts after every byte that is allowed in a word.
const afterWordBytes = "\xff"

func (iv *interval) contains(value string) bool {
	if iv.rule.kind == FieldInt {
		n, ok := parseInt(value)
		return ok && n >= iv.min && n <= iv.max
	}
	return value >= iv.first && value <= iv.last
}

func (iv *interval) overlaps(other *interval) bool {
	if iv.rule.kind == FieldInt {
		return max(iv.min, other.min) <= min(iv.max, other.max)
	}
	return max(iv.first, other.first) <= min(iv.last, other.last)
}

func (b box) contains(v *values) bool {
	for i := range b {
		if !b[i].contains(v[i]) {
			return false
		}
	}
	return true
}

func (b box) overlaps(other box) bool {
	for i := range b {
		if !b[i].overlaps(&other[i]) {
			return false
		}
	}
	return true
}

// allKeys returns the box that contains every key of the space.
func (s *Space) allKeys() box {
	b := make(box, len(s.fields))
	for i := range s.fields {
		b[i] = s.fields[i].allValues()
	}
	return b
}

func (r *fieldRule) allValues() interval {
	return interval{
		rule: r,
		min:  r.min,
		max:  r.max,
		last: afterWordBytes,
	}
}

func (r *fieldRule) point(value string) interval {
	n, _ := parseInt(value)
	return interval{
		rule:  r,
		min:   n,
		max:   n,
		first: value,
		last:  value,
	}
}

func (s *Space) point(v *values) box {
	b := make(box, len(s.fields))
	for i := range s.fields {
		b[i] = s.fields[i].point(v[i])
	}
	return b
}

// rangeBoxes splits a range, ordered by the fields in the given order, into boxes: the keys that share leading field values
// with either end of the range, and the keys between them.
func (s *Space) rangeBoxes(order []int, from, to *values) []box {
	shared := 0
	base := s.allKeys()
	for shared < len(order) && from[order[shared]] == to[order[shared]] {
		f := order[shared]
		base[f] = s.fields[f].point(from[f])
		shared++
	}
	if shared == len(order) {
		return []box{base}
	}
	f := order[shared]
	middle := slices.Clone(base)
	middle[f] = s.fields[f].between(from[f], to[f], false)
	boxes := []box{middle}
	if shared == len(order)-1 {
		middle[f] = s.fields[f].between(from[f], to[f], true)
		return boxes
	}
	boxes = append(boxes, s.endBoxes(base, order[shared:], from, true)...)
	return append(boxes, s.endBoxes(base, order[shared:], to, false)...)
}

// endBoxes returns the boxes of the keys of a range that share the value of the first field with an endpoint of the range:
// the keys from the endpoint upwards where above is true, those up to the endpoint otherwise.
func (s *Space) endBoxes(base box, order []int, endpoint *values, above bool) []box {
	base = slices.Clone(base)
	var boxes []box
	for i, f := range order {
		rule := &s.fields[f]
		if i > 0 {
			b := slices.Clone(base)
			b[f] = rule.boundedBy(endpoint[f], above, i == len(order)-1)
			boxes = append(boxes, b)
		}
		base[f] = rule.point(endpoint[f])
	}
	return boxes
}

// between returns the interval between two values, with or without the values themselves; it may be empty.
func (r *fieldRule) between(from, to string, inclusive bool) interval {
	lower := r.boundedBy(from, true, inclusive)
	upper := r.boundedBy(to, false, inclusive)
	lower.max = upper.max
	lower.last = upper.last
	return lower
}

// boundedBy returns the interval of values greater than the given one, or less than it where above is false. The value
// itself belongs to the interval where inclusive is true.
func (r *fieldRule) boundedBy(value string, above, inclusive bool) interval {
	bounded := r.allValues()
	n, _ := parseInt(value)
	switch {
	case above && inclusive:
		bounded.min, bounded.first = n, value
	case above:
		bounded.min, bounded.first = n+1, value+"\x00"
	case inclusive:
		bounded.max, bounded.last = n, value
	default:
		bounded.max, bounded.last = upperBoundsBelow(n, value)
	}
	// The interval is empty where the bounds cross, and above the largest uint64, where n+1 wraps to zero.
	if bounded.min > bounded.max || (above && !inclusive && n == math.MaxUint64) {
		bounded.min, bounded.max = 1, 0
	}
	return bounded
}

// upperBoundsBelow returns the upper bounds, as a number and as a word, of the values that are less than the given one.
func upperBoundsBelow(n uint64, value string) (uint64, string) {
	last := value[:len(value)-1]
	if b := value[len(value)-1]; b > 0 {
		last += string([]byte{b - 1}) + afterWordBytes
	}
	if n == 0 {
		return 0, last
	}
	return n - 1, last
}

// fieldOrder returns the indexes of the fields in the order in which the template lists them.
func (c *scheme) fieldOrder() []int {
	var order []int
	for i := range c.parts {
		if !c.parts[i].isLiteral() {
			order = append(order, c.parts[i].field)
		}
	}
	return order
}

// prefixBoxes returns the boxes of the keys whose names, as the template spells them, start with the prefix.
func (s *Space) prefixBoxes(c *scheme, prefix string) []box {
	b := s.allKeys()
	for i := range c.parts {
		p := &c.parts[i]
		if prefix == "" {
			return []box{b}
		}
		if p.isLiteral() {
			if len(prefix) <= len(p.literal) {
				return boxIf(strings.HasPrefix(p.literal, prefix), b)
			}
			if !strings.HasPrefix(prefix, p.literal) {
				return nil
			}
			prefix = prefix[len(p.literal):]
			continue
		}
		n := c.spellingLength(p, prefix)
		if n < 0 || n == len(prefix) {
			return s.partialBoxes(p, b, prefix)
		}
		value, ok := c.canonicalValue(p, prefix[:n])
		if !ok {
			return nil
		}
		b[p.field] = s.fields[p.field].point(value)
		prefix = prefix[n:]
	}
	return boxIf(prefix == "", b)
}

func boxIf(ok bool, b box) []box {
	if !ok {
		return nil
	}
	return []box{b}
}

// partialBoxes returns the boxes within base whose keys spell the field of the part with the text as a prefix.
func (s *Space) partialBoxes(p *part, base box, text string) []box {
	rule := &s.fields[p.field]
	var intervals []interval
	switch {
	case p.codes != nil:
		for value, code := range p.codes.spelling {
			if strings.HasPrefix(code, text) {
				intervals = append(intervals, rule.point(value))
			}
		}
	case rule.kind == FieldWord:
		w := rule.allValues()
		w.first, w.last = text, text+afterWordBytes
		if allBytes(text, isWordByte) {
			intervals = append(intervals, w)
		}
	default:
		intervals = rule.digitIntervals(text, p.width)
	}
	var boxes []box
	for _, w := range intervals {
		b := slices.Clone(base)
		b[p.field] = w
		boxes = append(boxes, b)
	}
	return boxes
}

// digitIntervals returns the numbers whose decimal spelling starts with the digits: one interval for each length of the
// spelling, or for the fixed width alone where width is not zero.
func (r *fieldRule) digitIntervals(digits string, width int) []interval {
	if !allBytes(digits, isDigit) || (width == 0 && len(digits) > 1 && digits[0] == '0') {
		return nil
	}
	shortest, longest := len(digits), maxIntDigits
	if width > 0 {
		shortest, longest = width, width
	}
	if width == 0 && digits == "0" {
		longest = 1
	}
	var intervals []interval
	for n := shortest; n <= longest; n++ {
		low, err := strconv.ParseUint(digits+strings.Repeat("0", n-len(digits)), 10, 64)
		if err != nil {
			break
		}
		high, err := strconv.ParseUint(digits+strings.Repeat("9", n-len(digits)), 10, 64)
		if err != nil {
			high = math.MaxUint64
		}
		w := r.allValues()
		w.min, w.max = max(w.min, low), min(w.max, high)
		if w.min <= w.max {
			intervals = append(intervals, w)
		}
	}
	return intervals
}
