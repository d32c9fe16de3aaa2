package ibisdoc

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// apartSides is the number of selectors of an apart rule.
const apartSides = 2

func (d *draft) checkRules(doc *Document) {
	before := len(d.faults)
	for _, name := range slices.Sorted(maps.Keys(d.content.Rules)) {
		d.checkRule(doc, name)
	}
	for _, service := range slices.Sorted(maps.Keys(doc.rules)) {
		rules := doc.rules[service].rules
		slices.SortStableFunc(rules, compareRules)
		doc.rules[service].buildIndex()
		if len(d.faults) == before {
			d.checkConflicts(doc.rules[service])
			d.checkHomes(doc, service, rules)
		}
	}
}

func compareRules(a, b *compiledRule) int {
	if a.level().keyed != b.level().keyed {
		if a.level().keyed {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rule.Priority, a.rule.Priority)
}

func (d *draft) checkRule(doc *Document, name string) {
	rule := d.content.Rules[name]
	at := d.entryPath(KindRules, name)
	service, known := d.content.Services[rule.Service]
	if !known {
		d.fault(at+".service", string(rule.Service), "one of the services %s", joinKeys(d.content.Services))
		return
	}
	r := &compiledRule{
		name:    name,
		section: d.definingSection(KindRules, name),
		rule:    rule,
	}
	r.selectors = d.ruleSelectors(doc, at+".keys", service, rule)
	r.domains = d.ruleDomains(doc, at, rule)
	d.checkRuleKind(at, r)
	rules, ok := doc.rules[rule.Service]
	if !ok {
		rules = &serviceRules{}
		doc.rules[rule.Service] = rules
	}
	rules.rules = append(rules.rules, r)
}

func (d *draft) ruleSelectors(doc *Document, at string, service Service, rule Rule) []*ibisname.Selector {
	if len(rule.Keys) > 0 && service.KeySpace == "" {
		d.fault(at, strconv.Itoa(len(rule.Keys)), "no keys, as service %s is not divided by key", rule.Service)
		return nil
	}
	selectors := d.selectors(doc, at, rule.Keys)
	for _, s := range selectors {
		if s.Space() != service.KeySpace {
			d.fault(at, s.String(), "keys of key space %s, by which service %s is divided", service.KeySpace, rule.Service)
		}
	}
	return selectors
}

// ruleDomains returns the failure domains that the rule names, in order.
func (d *draft) ruleDomains(doc *Document, at string, rule Rule) []ibisid.DomainName {
	domains := make(map[ibisid.DomainName]struct{})
	for i, region := range rule.Regions {
		d.checkRegionName(fmt.Sprintf("%s.regions[%d]", at, i), region)
		for domain := range d.content.Topology.Regions[region].Domains {
			domains[domain] = struct{}{}
		}
	}
	for i, domain := range rule.Domains {
		if !has(doc.places, domain) {
			d.fault(fmt.Sprintf("%s.domains[%d]", at, i), string(domain), "one of the failure domains %s", joinKeys(doc.places))
		}
		domains[domain] = struct{}{}
	}
	return slices.Sorted(maps.Keys(domains))
}

func (d *draft) checkRuleKind(at string, r *compiledRule) {
	rule := r.rule
	named := len(rule.Regions) + len(rule.Domains)
	if rule.Kind != RuleWeight && rule.Weight != 0 {
		d.fault(at+".weight", strconv.FormatFloat(rule.Weight, 'g', -1, 64), "a weight only in a rule of kind %s", RuleWeight)
	}
	if len(rule.Regions) > 0 && len(rule.Domains) > 0 {
		d.fault(at+".domains", fmt.Sprint(rule.Domains), "regions or domains, not both")
	}
	if len(rule.Keys) > 0 && (rule.Kind == RuleSpread || rule.Kind == RuleWeight) {
		d.fault(at+".keys", strconv.Itoa(len(rule.Keys)), "no keys, as a rule of kind %s binds a whole service; keys can be pinned or kept apart", rule.Kind)
	}
	switch rule.Kind {
	case RulePin, RuleSpread:
		if named == 0 {
			d.fault(at, string(rule.Kind), "a rule with regions or domains")
		}
	case RuleWeight:
		if named == 0 {
			d.fault(at, string(rule.Kind), "a rule with regions or domains")
		}
		if rule.Weight <= 0 || rule.Weight > 100 {
			d.fault(at+".weight", strconv.FormatFloat(rule.Weight, 'g', -1, 64), "more than 0, up to 100")
		}
	case RuleApart:
		if len(rule.Keys) != apartSides || named > 0 {
			d.fault(at+".keys", strconv.Itoa(len(rule.Keys)), "two selectors, and neither regions nor domains")
		} else if len(r.selectors) == apartSides && r.selectors[0].Overlaps(r.selectors[1]) {
			d.fault(at+".keys", r.selectors[1].String(), "keys that the first selector does not pick: a key cannot be kept apart from itself")
		}
	default:
		d.fault(at+".kind", string(rule.Kind), "%s, %s, %s or %s", RulePin, RuleSpread, RuleApart, RuleWeight)
	}
}

// checkConflicts adds a fault for two rules of the same precedence that cannot both hold for a key.
func (d *draft) checkConflicts(rules *serviceRules) {
	before := len(d.faults)
	for i, a := range rules.rules {
		for _, j := range rules.conflictCandidates(i) {
			b := rules.rules[j]
			if reason := a.conflictReason(b); reason != "" {
				d.fault(d.entryPath(KindRules, b.name), b.name, "a rule that agrees with %s of section %s, or another priority: %s", a.name, a.section, reason)
			}
		}
	}
	if len(d.faults) == before {
		d.checkUnkeyedRules(rules.rules)
	}
}

// checkUnkeyedRules adds a fault if rules without keys do not conflict in pairs, but together leave the service no failure
// domain.
func (d *draft) checkUnkeyedRules(rules []*compiledRule) {
	remaining := make(map[ruleLevel][]ibisid.DomainName)
	for _, r := range rules {
		if !r.limitsDomains() || len(r.selectors) > 0 {
			continue
		}
		domains, found := remaining[r.level()]
		if !found {
			remaining[r.level()] = r.domains
			continue
		}
		remaining[r.level()] = intersect(domains, r.domains)
		if len(remaining[r.level()]) == 0 {
			d.fault(d.entryPath(KindRules, r.name), r.name, "a rule that leaves the service a failure domain of %s, which the other rules of priority %d leave it", joinNames(domains), r.rule.Priority)
			return
		}
	}
}

// conflictCandidates returns the rules that may select the same key as rule i; each pair of rules is returned once.
func (s *serviceRules) conflictCandidates(i int) []int {
	keys, single := s.rules[i].singleKeys()
	var candidates []int
	for _, j := range s.unindexed {
		if single || j > i {
			candidates = append(candidates, j)
		}
	}
	for _, key := range keys {
		for _, j := range s.byKey[key] {
			if single && j > i {
				candidates = append(candidates, j)
			}
		}
	}
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

// conflictReason returns why no placement can satisfy both rules; it is empty if one can.
func (r *compiledRule) conflictReason(other *compiledRule) string {
	both := intersect(r.domains, other.domains)
	switch {
	case r.level() != other.level() || r.precedenceGroup() != other.precedenceGroup() || !r.overlaps(other):
		return ""
	case r.limitsDomains() && len(both) == 0:
		return fmt.Sprintf("%s and %s have no failure domain in common", joinNames(r.domains), joinNames(other.domains))
	case r.rule.Kind == RuleWeight && r.rule.Weight != other.rule.Weight && len(both) > 0:
		return fmt.Sprintf("weights %g and %g for %s", r.rule.Weight, other.rule.Weight, joinNames(both))
	case r.rule.Kind == RuleSpread && other.rule.Kind == RuleSpread && (len(r.rule.Regions) > 0) != (len(other.rule.Regions) > 0):
		return "one spreads over regions, the other over failure domains"
	default:
		return ""
	}
}

// overlaps reports whether both rules may select the same key.
func (r *compiledRule) overlaps(other *compiledRule) bool {
	if len(r.selectors) == 0 || len(other.selectors) == 0 {
		return true
	}
	for _, a := range r.selectors {
		for _, b := range other.selectors {
			if a.Overlaps(b) {
				return true
			}
		}
	}
	return false
}

// checkHomes adds a fault for a rule that leaves a tenant no failure domain in its home regions.
func (d *draft) checkHomes(doc *Document, service ibisid.ServiceName, rules []*compiledRule) {
	for _, tenant := range slices.Sorted(maps.Keys(doc.tenantDomains)) {
		homes := doc.tenantDomains[tenant]
		if len(homes) == 0 || !d.mayCall(tenant, service) {
			continue
		}
		for _, r := range rules {
			if r.limitsDomains() && len(r.selectors) == 0 && len(intersect(homes, r.domains)) == 0 {
				d.fault(d.entryPath(KindRules, r.name), r.name, "a rule that leaves tenant %s of section %s a failure domain in its home regions %s",
					tenant, d.definingSection(KindTenants, string(tenant)), joinNames(d.content.Tenants[tenant].Homes))
			}
		}
	}
}

// mayCall reports whether some account of the tenant may use a route of the service.
func (d *draft) mayCall(tenant ibisid.TenantName, service ibisid.ServiceName) bool {
	for _, account := range d.content.Tenants[tenant].Accounts {
		if len(account.Routes) == 0 {
			return true
		}
		for _, route := range account.Routes {
			if d.content.Routes[route].Service == service {
				return true
			}
		}
	}
	return false
}

func joinNames[T ~string](names []T) string {
	set := make(map[T]struct{}, len(names))
	for _, name := range names {
		set[name] = struct{}{}
	}
	return joinKeys(set)
}
