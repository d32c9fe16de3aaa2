package ibisdoc

import (
	"reflect"
	"strings"

	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Schema is a JSON Schema, limited to the keywords that the document needs.
type Schema struct {
	// Dialect is the URI of the JSON Schema version, on the outermost schema only.
	Dialect string `json:"$schema,omitempty"`
	// Title is the title of the schema, on the outermost schema only.
	Title string `json:"title,omitempty"`
	// Type is the JSON type.
	Type string `json:"type,omitempty"`
	// Pattern is the regular expression that a string must match.
	Pattern string `json:"pattern,omitempty"`
	// Enum lists the allowed values.
	Enum []string `json:"enum,omitempty"`
	// Minimum is the least allowed number.
	Minimum *int `json:"minimum,omitempty"`
	// Items is the schema of the elements of a list.
	Items *Schema `json:"items,omitempty"`
	// Properties lists the members of an object.
	Properties map[string]*Schema `json:"properties,omitempty"`
	// PropertyNames is the schema of the names of an object's members.
	PropertyNames *Schema `json:"propertyNames,omitempty"`
	// AdditionalProperties is the schema of the members that Properties does not list, or false for none.
	AdditionalProperties any `json:"additionalProperties,omitempty"`
}

const (
	schemaDialect   = "https://json-schema.org/draft/2020-12/schema"
	durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`
)

// SectionSchema returns the JSON Schema of the content of a kind of section, or nil for an unknown kind.
func SectionSchema(kind SectionKind) *Schema {
	content := reflect.TypeFor[Content]()
	for i := range content.NumField() {
		field := content.Field(i)
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name == string(kind) {
			schema := typeSchema(field.Type)
			schema.Dialect = schemaDialect
			schema.Title = "ibisridge document section: " + string(kind)
			return schema
		}
	}
	return nil
}

// enums lists the allowed values of enumerated string types.
var enums = map[reflect.Type][]string{
	reflect.TypeFor[DomainState]():        {string(DomainIn), string(DomainOut)},
	reflect.TypeFor[RuleKind]():           {string(RulePin), string(RuleSpread), string(RuleApart), string(RuleWeight)},
	reflect.TypeFor[ibisname.FieldType](): {string(ibisname.FieldInt), string(ibisname.FieldWord)},
}

func typeSchema(t reflect.Type) *Schema {
	if t == durationType {
		return &Schema{
			Type:    "string",
			Pattern: durationPattern,
		}
	}
	switch t.Kind() {
	case reflect.Struct:
		return structSchema(t)
	case reflect.Map:
		return mapSchema(t)
	case reflect.Slice:
		return &Schema{
			Type:  "array",
			Items: typeSchema(t.Elem()),
		}
	case reflect.String:
		return &Schema{
			Type: "string",
			Enum: enums[t],
		}
	case reflect.Bool:
		return &Schema{Type: "boolean"}
	case reflect.Float64:
		return &Schema{Type: "number"}
	case reflect.Uint32, reflect.Uint64:
		return &Schema{
			Type:    "integer",
			Minimum: new(int),
		}
	default:
		return &Schema{Type: "integer"}
	}
}

func structSchema(t reflect.Type) *Schema {
	schema := &Schema{
		Type:                 "object",
		Properties:           make(map[string]*Schema),
		AdditionalProperties: false,
	}
	for i, name := range fieldNames(t) {
		schema.Properties[name] = typeSchema(t.Field(i).Type)
	}
	return schema
}

func mapSchema(t reflect.Type) *Schema {
	schema := &Schema{
		Type:                 "object",
		AdditionalProperties: typeSchema(t.Elem()),
	}
	if t.Elem().Kind() == reflect.Struct {
		schema.PropertyNames = &Schema{
			Type:    "string",
			Pattern: namePattern,
		}
	}
	return schema
}
