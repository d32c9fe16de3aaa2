package ibisname

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// FieldType is the type of the values of a key's field.
type FieldType string

const (
	// FieldInt is an unsigned decimal number.
	FieldInt FieldType = "int"
	// FieldWord is a string of ASCII letters, digits and hyphens.
	FieldWord FieldType = "word"
)

// Field is one field of the keys of a key space.
type Field struct {
	// Name identifies the field in templates, code tables and exceptions.
	Name string `json:"name"`
	// Type is the type of the field's values.
	Type FieldType `json:"type"`
	// Min is the least value of an int field.
	Min uint64 `json:"min,omitempty"`
	// Max is the greatest value of an int field, with zero meaning no bound, or the greatest length of a word field in bytes,
	// with zero meaning 64.
	Max uint64 `json:"max,omitempty"`
}

// KeySpace declares a set of keys and the naming schemes for them, as the document states them.
type KeySpace struct {
	// Fields lists the fields of a key; the template of every scheme contains each of them once.
	Fields []Field `json:"fields"`
	// Schemes maps the name of each naming scheme to its declaration.
	Schemes map[ibisid.SchemeName]Scheme `json:"schemes"`
}

// Scheme declares one way of naming the keys of a key space.
type Scheme struct {
	// Template is the form of a name, such as "MAT-{design}" or "{ward}/{plot:06}", where 06 is a fixed width in bytes.
	Template string `json:"template"`
	// Codes maps the name of a field to a table from its canonical values to their spellings in this scheme.
	Codes map[string]map[string]string `json:"codes,omitempty"`
	// Exceptions lists names that do not follow the template.
	Exceptions []NameException `json:"exceptions,omitempty"`
}

// NameException assigns a name to one key in place of the name that the template produces.
type NameException struct {
	// Name is the name of the key in this scheme.
	Name string `json:"name"`
	// Fields maps the name of each field to its canonical value in the key.
	Fields map[string]string `json:"fields"`
}
