package ibisdoc

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/ibisridge/ibisridge/internal/base/ibisduration"
)

// decoder decodes one section into a value of its type and collects all faults instead of stopping at the first.
type decoder struct {
	json        *jsontext.Decoder
	path        []byte
	faults      Faults
	invalidJSON bool
	// texts interns the strings of the section, so that equal strings share memory.
	texts map[string]string
}

// decodeSection decodes a section; the value is valid only if there are no faults.
func decodeSection(name SectionName, text json.RawMessage, into reflect.Value) Faults {
	d := &decoder{
		json:  jsontext.NewDecoder(bytes.NewBuffer(text), jsontext.AllowDuplicateNames(true)),
		path:  []byte(name),
		texts: make(map[string]string),
	}
	d.value(into)
	if !d.invalidJSON {
		if _, err := d.json.ReadToken(); err != io.EOF {
			d.fault("", "nothing after the section's value")
		}
	}
	return d.faults
}

func (d *decoder) fault(value, allowed string, args ...any) {
	d.faults = append(d.faults, newFault(string(d.path), value, allowed, args...))
}

// intern returns the shared copy of a string.
func (d *decoder) intern(text string) string {
	if known, ok := d.texts[text]; ok {
		return known
	}
	d.texts[text] = text
	return text
}

func (d *decoder) token() (jsontext.Token, bool) {
	if d.invalidJSON {
		return jsontext.Token{}, false
	}
	t, err := d.json.ReadToken()
	if err != nil {
		d.invalidJSON = true
		d.fault("", "JSON: at byte %d: %s", d.json.InputOffset(), err)
		return jsontext.Token{}, false
	}
	return t, true
}

// hasMore reports whether the current object or list has another member.
func (d *decoder) hasMore() bool {
	kind := d.json.PeekKind()
	return !d.invalidJSON && kind != '}' && kind != ']'
}

var durationType = reflect.TypeFor[Duration]()

func (d *decoder) value(into reflect.Value) {
	t, ok := d.token()
	if !ok {
		return
	}
	if into.Type() == durationType {
		d.duration(t, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.members(t, func(key string) { d.member(into, key) })
	case reflect.Map:
		d.mapValue(t, into)
	case reflect.Slice:
		d.elements(t, into)
	default:
		d.scalar(t, into)
	}
}

// members reads the members of an object and adds a fault for each repeated key.
func (d *decoder) members(t jsontext.Token, member func(key string)) {
	if t.Kind() != '{' {
		d.wrongType(t, "an object")
		return
	}
	seen := make(map[string]struct{})
	for d.hasMore() {
		t, ok := d.token()
		if !ok {
			return
		}
		key := t.String()
		length := len(d.path)
		d.path = appendMember(d.path, key)
		if _, repeated := seen[key]; repeated {
			d.fault(key, "each key once in an object")
		}
		seen[key] = struct{}{}
		member(key)
		d.path = d.path[:length]
	}
	d.token()
}

func appendMember(path []byte, key string) []byte {
	if strings.ContainsAny(key, ".[]\" ") || key == "" {
		path = append(path, '[')
		path = strconv.AppendQuote(path, key)
		return append(path, ']')
	}
	path = append(path, '.')
	return append(path, key...)
}

func (d *decoder) member(into reflect.Value, key string) {
	names := fieldNames(into.Type())
	i := slices.Index(names, key)
	if i < 0 {
		d.fault(key, "one of the fields %s", strings.Join(names, ", "))
		d.skip()
		return
	}
	d.value(into.Field(i))
}

func (d *decoder) mapValue(t jsontext.Token, into reflect.Value) {
	into.Set(reflect.MakeMap(into.Type()))
	keyType, valueType := into.Type().Key(), into.Type().Elem()
	d.members(t, func(key string) {
		value := reflect.New(valueType).Elem()
		d.value(value)
		into.SetMapIndex(reflect.ValueOf(key).Convert(keyType), value)
	})
}

func (d *decoder) elements(t jsontext.Token, into reflect.Value) {
	if t.Kind() != '[' {
		d.wrongType(t, "a list")
		return
	}
	for i := 0; d.hasMore(); i++ {
		length := len(d.path)
		d.path = append(d.path, '[')
		d.path = strconv.AppendInt(d.path, int64(i), 10)
		d.path = append(d.path, ']')
		value := reflect.New(into.Type().Elem()).Elem()
		d.value(value)
		into.Set(reflect.Append(into, value))
		d.path = d.path[:length]
	}
	d.token()
}

func (d *decoder) duration(t jsontext.Token, into reflect.Value) {
	if t.Kind() != '"' {
		d.wrongType(t, "a duration such as \"250ms\" or \"24h\"")
		return
	}
	text := t.String()
	span, err := ibisduration.Parse(text)
	if err != nil {
		d.fault(text, "%s", err)
		return
	}
	into.Set(reflect.ValueOf(span))
}

func (d *decoder) scalar(t jsontext.Token, into reflect.Value) {
	switch t.Kind() {
	case '"':
		if into.Kind() == reflect.String {
			into.SetString(d.intern(t.String()))
			return
		}
	case 't', 'f':
		if into.Kind() == reflect.Bool {
			into.SetBool(t.Bool())
			return
		}
	case '0':
		if setNumber(into, t.String()) {
			return
		}
	}
	d.wrongType(t, allowedScalar(into.Type()))
}

func setNumber(into reflect.Value, text string) bool {
	switch into.Kind() {
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, into.Type().Bits())
		into.SetInt(n)
		return err == nil
	case reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, into.Type().Bits())
		into.SetUint(n)
		return err == nil
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		into.SetFloat(n)
		return err == nil
	default:
		return false
	}
}

func allowedScalar(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 up of " + strconv.Itoa(t.Bits()) + " bits"
	default:
		return "a whole number of " + strconv.Itoa(t.Bits()) + " bits"
	}
}

// wrongType adds a fault for a value of the wrong type and skips it.
func (d *decoder) wrongType(t jsontext.Token, allowed string) {
	shown := t.String()
	if kind := t.Kind(); kind == '{' || kind == '[' {
		d.skipOpen()
	}
	d.fault(shown, "%s", allowed)
}

// skip reads over the next value.
func (d *decoder) skip() {
	if err := d.json.SkipValue(); err != nil {
		d.invalidJSON = true
		d.fault("", "JSON: at byte %d: %s", d.json.InputOffset(), err)
	}
}

// skipOpen reads to the end of the object or list whose opening token was read.
func (d *decoder) skipOpen() {
	for d.hasMore() {
		d.skip()
	}
	d.token()
}

// knownFields holds the JSON names of the fields of every struct of the document, in order.
var knownFields = collectFields(map[reflect.Type][]string{}, reflect.TypeFor[Content]())

func fieldNames(t reflect.Type) []string { return knownFields[t] }

func collectFields(known map[reflect.Type][]string, t reflect.Type) map[reflect.Type][]string {
	switch t.Kind() {
	case reflect.Map, reflect.Slice:
		return collectFields(known, t.Elem())
	case reflect.Struct:
		if t == durationType {
			return known
		}
		names := make([]string, t.NumField())
		for i := range names {
			names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
			collectFields(known, t.Field(i).Type)
		}
		known[t] = names
	}
	return known
}
