package ibisname

import (
	"math"
	"strconv"
)

const (
	maxFields = 8
	// defaultWordLength is the greatest length of a word in bytes where the field declares none.
	defaultWordLength = 64
	// maxWordLength is the greatest length in bytes that a word field may declare; it is also the limit for codes and fixed
	// widths.
	maxWordLength = 200
	// maxIntDigits is the number of decimal digits of the largest uint64.
	maxIntDigits = 20
)

// fieldRule validates the canonical values of one field. Where domain is not nil, only the values in it are valid.
type fieldRule struct {
	name   string
	kind   FieldType
	min    uint64
	max    uint64
	domain map[string]struct{}
}

func newFieldRule(f Field) fieldRule {
	r := fieldRule{
		name: f.Name,
		kind: f.Type,
		min:  f.Min,
		max:  f.Max,
	}
	if r.max == 0 {
		r.max = math.MaxUint64
		if f.Type == FieldWord {
			r.max = defaultWordLength
		}
	}
	return r
}

// valid reports whether the text is the canonical form of a value of the field.
func (r *fieldRule) valid(text string) bool {
	if r.kind == FieldInt {
		n, ok := parseInt(text)
		return ok && n >= r.min && n <= r.max
	}
	if text == "" || uint64(len(text)) > r.max || !allBytes(text, isWordByte) {
		return false
	}
	if r.domain == nil {
		return true
	}
	_, ok := r.domain[text]
	return ok
}

// parseInt parses an unsigned decimal number without leading zeros.
func parseInt(text string) (uint64, bool) {
	if text == "" || len(text) > maxIntDigits || (len(text) > 1 && text[0] == '0') || !allBytes(text, isDigit) {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

func allBytes(text string, allowed func(byte) bool) bool {
	for i := range len(text) {
		if !allowed(text[i]) {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isLetter(b byte) bool { return (b|0x20) >= 'a' && (b|0x20) <= 'z' }

func isWordByte(b byte) bool { return isDigit(b) || isLetter(b) || b == '-' }

func isCodeByte(b byte) bool { return isWordByte(b) || b == '.' || b == '_' }
