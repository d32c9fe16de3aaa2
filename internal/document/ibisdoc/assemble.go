package ibisdoc

import (
	"fmt"
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// draft is a document while it is decoded, checked and compiled.
type draft struct {
	content Content
	// origin maps an entry to the section that defines it.
	origin map[entry]SectionName
	// storeRegionSection is the section that sets the region of the platform's store.
	storeRegionSection SectionName
	faults             Faults
	// cache holds the last valid document that the compiler compiled.
	cache compileCache
	// decoded maps the names of this document's sections to their decoded form.
	decoded map[SectionName]decodedSection
}

// entry is a named member of the document, such as a route.
type entry struct {
	kind SectionKind
	name string
}

func (d *draft) fault(path, value, allowed string, args ...any) {
	d.faults = append(d.faults, newFault(path, value, allowed, args...))
}

// entryPath returns the JSON path of an entry.
func (d *draft) entryPath(kind SectionKind, name string) string {
	path := []byte(d.origin[entry{
		kind: kind,
		name: name,
	}])
	if kind == KindTopology {
		path = append(path, ".regions"...)
	}
	return string(appendMember(path, name))
}

// definingSection returns the section that defines an entry.
func (d *draft) definingSection(kind SectionKind, name string) SectionName {
	return d.origin[entry{
		kind: kind,
		name: name,
	}]
}

// assemble decodes all sections and merges their entries into one content.
func assemble(sections Sections, cache compileCache) *draft {
	d := &draft{
		origin:  make(map[entry]SectionName, cache.entryCount),
		cache:   cache,
		decoded: make(map[SectionName]decodedSection, len(sections)),
	}
	d.content.Topology.Regions = make(map[ibisid.RegionName]Region)
	d.content.Teams = make(map[ibisid.TeamName]Team)
	d.content.KeySpaces = make(map[ibisid.KeySpaceName]ibisname.KeySpace)
	d.content.Services = make(map[ibisid.ServiceName]Service)
	d.content.Routes = make(map[string]Route, cache.routeCount())
	d.content.Tenants = make(map[ibisid.TenantName]Tenant, cache.tenantCount())
	d.content.Rules = make(map[string]Rule)
	d.content.Classes = make(map[ibisid.ClassName]Class)
	names := d.checkNames(sections)
	d.decodeAll(names, sections)
	for _, name := range names {
		d.addSection(name, d.decoded[name].value)
	}
	return d
}

// checkNames returns the sections that have a valid name, in order.
func (d *draft) checkNames(sections Sections) []SectionName {
	var names []SectionName
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if name.Valid() {
			names = append(names, name)
			continue
		}
		d.fault(string(name), string(name), "a section KIND or KIND/NAME, where KIND is "+kindList+" and NAME is letters, digits and hyphens")
	}
	return names
}

func (d *draft) addSection(name SectionName, value any) {
	switch value := value.(type) {
	case Topology:
		d.addTopology(name, value)
	case map[ibisid.TeamName]Team:
		mergeEntries(d, name, value, d.content.Teams)
	case map[ibisid.KeySpaceName]ibisname.KeySpace:
		mergeEntries(d, name, value, d.content.KeySpaces)
	case map[ibisid.ServiceName]Service:
		mergeEntries(d, name, value, d.content.Services)
	case map[string]Route:
		mergeEntries(d, name, value, d.content.Routes)
	case map[ibisid.TenantName]Tenant:
		mergeEntries(d, name, value, d.content.Tenants)
	case map[string]Rule:
		mergeEntries(d, name, value, d.content.Rules)
	case map[ibisid.ClassName]Class:
		mergeEntries(d, name, value, d.content.Classes)
	}
}

func (d *draft) addTopology(name SectionName, part Topology) {
	mergeEntries(d, name, part.Regions, d.content.Topology.Regions)
	if part.StoreRegion == "" {
		return
	}
	if d.storeRegionSection != "" {
		d.fault(string(name)+".storeRegion", string(part.StoreRegion), "one section that names it: %s does", d.storeRegionSection)
	}
	d.storeRegionSection = name
	d.content.Topology.StoreRegion = part.StoreRegion
}

func mergeEntries[K ~string, V any](d *draft, section SectionName, part, into map[K]V) {
	for _, key := range slices.Sorted(maps.Keys(part)) {
		e := entry{
			kind: section.Kind(),
			name: string(key),
		}
		if other, ok := d.origin[e]; ok {
			d.fault(fmt.Sprintf("%s.%s", section, key), string(key), "a name that no other section defines: %s does", other)
			continue
		}
		d.origin[e] = section
		if !validName(string(key)) {
			d.fault(d.entryPath(e.kind, e.name), e.name, "a name of letters, digits and hyphens, up to 63")
		}
		into[key] = part[key]
	}
}
