package ibisdoc

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Document is the compiled form of one valid revision of the document; it is immutable.
type Document struct {
	revision      ibisid.Revision
	content       Content
	spaces        map[ibisid.KeySpaceName]*ibisname.Space
	places        map[ibisid.DomainName]ibisid.Place
	routes        routeIndex
	accounts      map[accountName]AccountRef
	rules         map[ibisid.ServiceName]*serviceRules
	tenantDomains map[ibisid.TenantName]homeDomains
}

// Compile merges and checks the sections. It returns all faults that it finds, and a nil document if there are any.
func Compile(revision ibisid.Revision, sections Sections) (*Document, Faults) {
	return NewCompiler().Compile(revision, sections)
}

// compile checks an assembled document and returns its compiled form.
func (d *draft) compile(revision ibisid.Revision, sections Sections) (*Document, Faults) {
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	doc := &Document{
		revision:      revision,
		content:       d.content,
		spaces:        make(map[ibisid.KeySpaceName]*ibisname.Space),
		places:        make(map[ibisid.DomainName]ibisid.Place),
		accounts:      make(map[accountName]AccountRef, d.cache.tenantCount()),
		rules:         make(map[ibisid.ServiceName]*serviceRules),
		tenantDomains: make(map[ibisid.TenantName]homeDomains, d.cache.tenantCount()),
	}
	d.checkTopology(doc)
	d.checkTeams(sections)
	d.checkKeySpaces(doc)
	d.checkServices()
	d.checkClasses()
	d.checkRoutes(doc)
	d.checkTenants(doc)
	d.checkRules(doc)
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	return doc, nil
}

// Revision returns the revision of the document.
func (d *Document) Revision() ibisid.Revision { return d.revision }

// Content returns the content, which must not be changed.
func (d *Document) Content() Content { return d.content }

// Space returns the compiled key space and whether the document has it.
func (d *Document) Space(name ibisid.KeySpaceName) (*ibisname.Space, bool) {
	space, ok := d.spaces[name]
	return space, ok
}

// Service returns a service with its defaults filled in and whether the document has it.
func (d *Document) Service(name ibisid.ServiceName) (Service, bool) {
	service, ok := d.content.Services[name]
	return service.withDefaults(), ok
}

// Class returns a class with its defaults filled in; an unknown class is all defaults.
func (d *Document) Class(name ibisid.ClassName) Class { return d.content.Classes[name].withDefaults() }

// Tenant returns a tenant with its defaults filled in and whether the document has it.
func (d *Document) Tenant(name ibisid.TenantName) (Tenant, bool) {
	tenant, ok := d.content.Tenants[name]
	if tenant.Weight == 0 {
		tenant.Weight = defaultTenantWeight
	}
	return tenant, ok
}

// Place returns the place of a failure domain and whether the document has it.
func (d *Document) Place(domain ibisid.DomainName) (ibisid.Place, bool) {
	place, ok := d.places[domain]
	return place, ok
}

// DomainState returns whether a failure domain accepts new work; it is DomainOut for a domain that the document does not
// have.
func (d *Document) DomainState(domain ibisid.DomainName) DomainState {
	place, ok := d.places[domain]
	if !ok {
		return DomainOut
	}
	return d.domain(place).state()
}

// Domain returns a failure domain with its defaults filled in and whether the document has it.
func (d *Document) Domain(domain ibisid.DomainName) (Domain, bool) {
	place, ok := d.places[domain]
	if !ok {
		return Domain{}, false
	}
	found := d.domain(place)
	found.State = found.state()
	if found.RampUp.Duration == 0 {
		found.RampUp.Duration = defaultRampUp
	}
	return found, true
}

func (d *Document) domain(place ibisid.Place) Domain {
	return d.content.Topology.Regions[place.Region].Domains[place.Domain]
}

func (d Domain) state() DomainState {
	if d.State == "" {
		return DomainIn
	}
	return d.State
}

// SlotSpaceFor returns the slot space of a matched request of a tenant, and its number of slots. Tenants with home regions
// have separate slots, and services that are not divided by key have hidden slots for idempotency keys.
func (d *Document) SlotSpaceFor(match Match, tenant ibisid.TenantName) (ibisid.SlotSpace, uint32) {
	service, _ := d.Service(match.Route.Service)
	space := ibisid.SlotSpace{
		Service: match.Route.Service,
		Hidden:  service.KeySpace == "",
	}
	if len(d.content.Tenants[tenant].Homes) > 0 {
		space.Home = tenant
	}
	return space, service.Slots
}
