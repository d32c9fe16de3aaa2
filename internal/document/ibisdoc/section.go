package ibisdoc

import (
	"encoding/json"
	"strings"
)

// SectionName names a section of the document: KIND or KIND/NAME.
type SectionName string

// SectionKind is the kind of a section, which is the JSON name of the field of Content that it fills.
type SectionKind string

// The kinds of sections.
const (
	KindTopology  SectionKind = "topology"
	KindTeams     SectionKind = "teams"
	KindKeySpaces SectionKind = "keySpaces"
	KindServices  SectionKind = "services"
	KindRoutes    SectionKind = "routes"
	KindTenants   SectionKind = "tenants"
	KindRules     SectionKind = "rules"
	KindClasses   SectionKind = "classes"
)

// Kinds lists the kinds of sections.
func Kinds() []SectionKind {
	return []SectionKind{
		KindTopology, KindTeams, KindKeySpaces, KindServices, KindRoutes, KindTenants, KindRules, KindClasses,
	}
}

const kindList = "topology, teams, keySpaces, services, routes, tenants, rules or classes"

// Sections maps the names of the document's sections to their JSON text.
type Sections map[SectionName]json.RawMessage

// namePattern is the regular expression of names; validName implements the same rule.
const namePattern = `^[A-Za-z0-9][A-Za-z0-9-]{0,62}$`

const maxNameBytes = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == '-' {
		return false
	}
	for _, b := range []byte(name) {
		letter := (b|0x20) >= 'a' && (b|0x20) <= 'z'
		if !letter && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}

// Kind returns the kind of the section; it may be none of Kinds if the section name is not valid.
func (n SectionName) Kind() SectionKind {
	kind, _, _ := strings.Cut(string(n), "/")
	return SectionKind(kind)
}

// Valid reports whether the name is KIND or KIND/NAME.
func (n SectionName) Valid() bool {
	_, name, named := strings.Cut(string(n), "/")
	if named && !validName(name) {
		return false
	}
	for _, kind := range Kinds() {
		if kind == n.Kind() {
			return true
		}
	}
	return false
}
