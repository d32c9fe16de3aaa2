package ibisdoc

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

func (d *draft) checkTenants(doc *Document) {
	unchanged := d.unchanged(KindRoutes, KindKeySpaces, KindTopology)
	for _, name := range slices.Sorted(maps.Keys(d.content.Tenants)) {
		tenant := d.content.Tenants[name]
		if unchanged && d.decoded[d.definingSection(KindTenants, string(name))].reused {
			d.reuseTenant(doc, name, tenant)
			continue
		}
		at := d.entryPath(KindTenants, string(name))
		for i, home := range tenant.Homes {
			d.checkRegionName(fmt.Sprintf("%s.homes[%d]", at, i), home)
		}
		if tenant.Weight < 0 {
			d.fault(at+".weight", strconv.Itoa(tenant.Weight), "zero or more")
		}
		if tenant.Rate < 0 {
			d.fault(at+".rate", strconv.FormatFloat(tenant.Rate, 'g', -1, 64), "zero or more")
		}
		for _, account := range slices.Sorted(maps.Keys(tenant.Accounts)) {
			d.checkAccount(doc, name, account)
		}
		doc.tenantDomains[name] = doc.homeDomainsOf(tenant)
	}
}

// reuseTenant copies the compiled accounts and home domains of a tenant from the last valid document.
func (d *draft) reuseTenant(doc *Document, name ibisid.TenantName, tenant Tenant) {
	for account := range tenant.Accounts {
		id := accountName{
			tenant:  string(name),
			account: account,
		}
		doc.accounts[id] = d.cache.document.accounts[id]
	}
	doc.tenantDomains[name] = d.cache.document.tenantDomains[name]
}

func (d *draft) checkRegionName(at string, region ibisid.RegionName) {
	if !has(d.content.Topology.Regions, region) {
		d.fault(at, string(region), "one of the regions %s", joinKeys(d.content.Topology.Regions))
	}
}

func (d *draft) checkAccount(doc *Document, tenant ibisid.TenantName, name string) {
	account := d.content.Tenants[tenant].Accounts[name]
	at := string(appendMember([]byte(d.entryPath(KindTenants, string(tenant))+".accounts"), name))
	if !validName(name) {
		d.fault(at, name, "a name of letters, digits and hyphens, up to 63")
	}
	d.checkTokens(at, account.Tokens)
	for i, route := range account.Routes {
		if !has(d.content.Routes, route) {
			d.fault(fmt.Sprintf("%s.routes[%d]", at, i), route, "one of the routes %s", joinKeys(d.content.Routes))
		}
	}
	ref := AccountRef{
		Tenant:  tenant,
		Account: name,
		routes:  slices.Sorted(slices.Values(account.Routes)),
		tokens:  decodeHashes(account.Tokens),
		keys:    d.selectors(doc, at+".keys", account.Keys),
	}
	doc.accounts[accountName{
		tenant:  string(tenant),
		account: name,
	}] = ref
}

// selectors compiles the key selectors of an account or rule, and adds a fault for each invalid one.
func (d *draft) selectors(doc *Document, at string, content []KeySelector) []*ibisname.Selector {
	var selectors []*ibisname.Selector
	for i, c := range content {
		path := fmt.Sprintf("%s[%d]", at, i)
		space, scheme, ok := d.scheme(doc, path+".scheme", c.Scheme)
		if !ok {
			continue
		}
		selector, err := c.compile(space, scheme)
		if err != nil {
			d.fault(path, c.Name+c.From+c.Prefix, "%s", err)
			continue
		}
		selectors = append(selectors, selector)
	}
	return selectors
}

func (k KeySelector) compile(space *ibisname.Space, scheme ibisid.SchemeName) (*ibisname.Selector, error) {
	isRange := k.From != "" || k.To != ""
	switch {
	case k.Name != "" && !isRange && k.Prefix == "":
		return space.SelectName(scheme, k.Name)
	case k.Name == "" && isRange && k.Prefix == "":
		return space.SelectRange(scheme, k.From, k.To)
	case k.Name == "" && !isRange && k.Prefix != "":
		return space.SelectPrefix(scheme, k.Prefix)
	default:
		return nil, fmt.Errorf("one of name, prefix, or from and to")
	}
}
