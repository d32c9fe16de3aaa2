package ibissection

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// Difference describes one changed path of a section.
type Difference struct {
	// Path lists the names of the object members that lead to the value.
	Path []string `json:"path"`
	// Base is the value in the base content, absent where there was none.
	Base json.RawMessage `json:"base,omitempty"`
	// Yours is the value in the rejected edit.
	Yours json.RawMessage `json:"yours,omitempty"`
	// Theirs is the value in the current content.
	Theirs json.RawMessage `json:"theirs,omitempty"`
	// Clash reports whether both sides changed the path in different ways.
	Clash bool `json:"clash,omitempty"`
}

// absent represents the value of a member that an object does not have.
type absent struct{}

// merger compares three contents recursively. Only objects are merged by member; lists and scalars are compared as a whole.
type merger struct {
	differences []Difference
	clash       bool
}

// Merge compares two contents with their common base. It returns the differences and the merged content, which is nil where
// the contents clash.
func Merge(base, yours, theirs json.RawMessage) ([]Difference, json.RawMessage) {
	var m merger
	merged := m.merge(nil, decodeValue(base), decodeValue(yours), decodeValue(theirs))
	if m.clash || merged == (absent{}) {
		return m.differences, nil
	}
	return m.differences, encode(merged)
}

// merge appends the differences at the path and returns the merged value. Where both sides changed a value in different ways,
// it records a clash.
func (m *merger) merge(path []string, base, yours, theirs any) any {
	if reflect.DeepEqual(yours, theirs) && reflect.DeepEqual(base, yours) {
		return base
	}
	b, baseObject := base.(map[string]any)
	y, yourObject := yours.(map[string]any)
	t, theirObject := theirs.(map[string]any)
	if yourObject && theirObject && (baseObject || base == absent{}) {
		return m.mergeObjects(path, b, y, t)
	}
	d := Difference{
		Path:   slices.Clone(path),
		Base:   encodeValue(base),
		Yours:  encodeValue(yours),
		Theirs: encodeValue(theirs),
	}
	merged := yours
	switch {
	case reflect.DeepEqual(yours, theirs), reflect.DeepEqual(base, theirs):
	case reflect.DeepEqual(base, yours):
		merged = theirs
	default:
		d.Clash = true
		m.clash = true
	}
	m.differences = append(m.differences, d)
	return merged
}

func (m *merger) mergeObjects(path []string, base, yours, theirs map[string]any) any {
	names := make(map[string]struct{})
	for _, object := range []map[string]any{base, yours, theirs} {
		for name := range object {
			names[name] = struct{}{}
		}
	}
	merged := make(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		value := m.merge(append(path, name), member(base, name), member(yours, name), member(theirs, name))
		if value != any(absent{}) {
			merged[name] = value
		}
	}
	return merged
}

func member(object map[string]any, name string) any {
	if value, ok := object[name]; ok {
		return value
	}
	return absent{}
}

// decodeValue returns the decoded JSON text with numbers as json.Number, or absent where the text is empty or not valid.
func decodeValue(text json.RawMessage) any {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if len(text) == 0 || decoder.Decode(&value) != nil {
		return absent{}
	}
	return value
}

// encodeValue returns the JSON text of a decoded value, nil for absent.
func encodeValue(value any) json.RawMessage {
	if value == any(absent{}) {
		return nil
	}
	return encode(value)
}
