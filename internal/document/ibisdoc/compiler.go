package ibisdoc

import (
	"bytes"
	"encoding/json"
	"reflect"

	"golang.org/x/sync/errgroup"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Compiler compiles successive revisions and reuses the unchanged parts of the last valid one. It is not safe for concurrent
// use.
type Compiler struct {
	cache compileCache
}

// NewCompiler returns a compiler with an empty cache.
func NewCompiler() *Compiler { return &Compiler{} }

// compileCache holds the last valid document with its decoded sections.
type compileCache struct {
	sections   map[SectionName]decodedSection
	document   *Document
	entryCount int
}

// routeCount returns the number of routes in the last valid document, to size maps.
func (c compileCache) routeCount() int {
	if c.document == nil {
		return 0
	}
	return len(c.document.content.Routes)
}

// tenantCount returns the number of tenants in the last valid document, to size maps.
func (c compileCache) tenantCount() int {
	if c.document == nil {
		return 0
	}
	return len(c.document.content.Tenants)
}

// decodedSection is a section with its decoded value, which must not be changed because later revisions share it.
type decodedSection struct {
	text  json.RawMessage
	value any
	// reused reports that the section is unchanged since the last valid document.
	reused bool
}

// Compile compiles the sections with the same result as the function Compile.
func (c *Compiler) Compile(revision ibisid.Revision, sections Sections) (*Document, Faults) {
	d := assemble(sections, c.cache)
	doc, faults := d.compile(revision, sections)
	if len(faults) == 0 {
		c.cache = compileCache{
			sections:   d.decoded,
			document:   doc,
			entryCount: len(d.origin),
		}
	}
	return doc, faults
}

// decodeWorkers limits the number of sections that are decoded concurrently.
const decodeWorkers = 4

// decodeAll decodes the named sections, and reuses those whose text is the same as in the last valid document.
func (d *draft) decodeAll(names []SectionName, sections Sections) {
	parts := make([]decodedSection, len(names))
	faults := make([]Faults, len(names))
	var group errgroup.Group
	group.SetLimit(decodeWorkers)
	for i, name := range names {
		if last, ok := d.cache.sections[name]; ok && bytes.Equal(last.text, sections[name]) {
			parts[i] = last
			parts[i].reused = true
			continue
		}
		group.Go(func() error {
			parts[i].text = sections[name]
			parts[i].value, faults[i] = decodeKind(name, sections[name])
			return nil
		})
	}
	_ = group.Wait()
	for i, name := range names {
		d.decoded[name] = parts[i]
		d.faults = append(d.faults, faults[i]...)
	}
}

func decodeKind(name SectionName, text json.RawMessage) (any, Faults) {
	switch name.Kind() {
	case KindTopology:
		return decode[Topology](name, text)
	case KindTeams:
		return decode[map[ibisid.TeamName]Team](name, text)
	case KindKeySpaces:
		return decode[map[ibisid.KeySpaceName]ibisname.KeySpace](name, text)
	case KindServices:
		return decode[map[ibisid.ServiceName]Service](name, text)
	case KindRoutes:
		return decode[map[string]Route](name, text)
	case KindTenants:
		return decode[map[ibisid.TenantName]Tenant](name, text)
	case KindRules:
		return decode[map[string]Rule](name, text)
	case KindClasses:
		return decode[map[ibisid.ClassName]Class](name, text)
	default:
		panic("ibisdoc: no such kind of section: " + string(name))
	}
}

func decode[T any](name SectionName, text json.RawMessage) (any, Faults) {
	var value T
	faults := decodeSection(name, text, reflect.ValueOf(&value).Elem())
	return value, faults
}

// unchanged reports whether the sections of the given kinds are the same as in the last valid document, with none added or
// removed.
func (d *draft) unchanged(kinds ...SectionKind) bool {
	for _, kind := range kinds {
		for name, last := range d.cache.sections {
			if now, present := d.decoded[name]; name.Kind() == kind && (!present || !bytes.Equal(now.text, last.text)) {
				return false
			}
		}
		for name, now := range d.decoded {
			if name.Kind() == kind && !now.reused {
				return false
			}
		}
	}
	return d.cache.document != nil
}
