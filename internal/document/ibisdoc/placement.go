package ibisdoc

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Placement lists the failure domains that may own a key, or a whole service, by the placement rules and the tenant's home
// regions.
type Placement struct {
	// Domains lists the failure domains that may own it, in order, including those in state DomainOut.
	Domains []ibisid.DomainName
	// Weights is the share of each of Domains, where 1 is the usual share.
	Weights []float64
	// SpreadRegions reports that the shares are even between regions rather than between backend servers.
	SpreadRegions bool
	// SpreadDomains reports that the shares are even between failure domains rather than between backend servers.
	SpreadDomains bool
	// Apart lists the sides of apart rules that select the key.
	Apart []ApartSide
	// Rules lists the rules that apply, in order of precedence.
	Rules []AppliedRule
}

// ApartSide is one side of an apart rule; a backend server owns keys of at most one side of a rule.
type ApartSide struct {
	// Rule is the name of the rule.
	Rule string
	// Side is the index of the selector that selects the key.
	Side int
}

// AppliedRule is a rule that applies to a placement.
type AppliedRule struct {
	// Name is the name of the rule.
	Name string
	// Section is the section that defines the rule.
	Section SectionName
	// Kind is the kind of constraint that the rule sets.
	Kind RuleKind
	// Keyed reports whether the rule selects keys.
	Keyed bool
}

// FirstKeyedRule returns the first rule that selects keys, and whether one applies.
func (p Placement) FirstKeyedRule() (AppliedRule, bool) {
	for _, r := range p.Rules {
		if r.Keyed {
			return r, true
		}
	}
	return AppliedRule{}, false
}

// Allows reports whether the failure domain may own the key.
func (p Placement) Allows(domain ibisid.DomainName) bool {
	_, found := slices.BinarySearch(p.Domains, domain)
	return found
}

// compiledRule is a placement rule with its selectors and the failure domains that it names.
type compiledRule struct {
	name      string
	section   SectionName
	rule      Rule
	selectors []*ibisname.Selector
	domains   []ibisid.DomainName
}

// serviceRules holds the rules of a service in order of precedence: rules with keys first, then by priority, then by name.
type serviceRules struct {
	rules []*compiledRule
	// byKey maps a key to the rules that select it, of those that select only single keys; unindexed lists all other rules.
	// Both hold indexes into rules.
	byKey     map[ibisname.Key][]int
	unindexed []int
}

// buildIndex separates the rules that can be looked up by key from those that must be tried for every key.
func (s *serviceRules) buildIndex() {
	s.byKey = make(map[ibisname.Key][]int)
	s.unindexed = nil
	for i, r := range s.rules {
		keys, single := r.singleKeys()
		if !single {
			s.unindexed = append(s.unindexed, i)
		}
		for _, key := range keys {
			s.byKey[key] = append(s.byKey[key], i)
		}
	}
}

// candidates returns the rules that may select the key, in order of precedence.
func (s *serviceRules) candidates(key ibisname.Key) []int {
	indexed := s.byKey[key]
	if len(indexed) == 0 {
		return s.unindexed
	}
	all := slices.Concat(indexed, s.unindexed)
	slices.Sort(all)
	return slices.Compact(all)
}

// singleKeys returns the keys of a rule, and whether the rule has selectors that each select a single key.
func (r *compiledRule) singleKeys() ([]ibisname.Key, bool) {
	var keys []ibisname.Key
	for _, s := range r.selectors {
		key, single := s.Key()
		if !single {
			return nil, false
		}
		keys = append(keys, key)
	}
	return keys, len(keys) > 0
}

// homeDomains lists the failure domains of a tenant's home regions, in order; it is empty for a tenant without home regions.
type homeDomains []ibisid.DomainName

func (r *compiledRule) selects(key ibisname.Key) bool {
	if len(r.selectors) == 0 {
		return true
	}
	return key != "" && slices.ContainsFunc(r.selectors, func(s *ibisname.Selector) bool { return s.Match(key) })
}

// level returns the precedence of the rule; of the rules of one precedence group, only those of the highest level that
// applies have effect.
func (r *compiledRule) level() ruleLevel {
	return ruleLevel{
		keyed:    len(r.selectors) > 0,
		priority: r.rule.Priority,
	}
}

// limitsDomains reports whether the rule restricts the failure domains.
func (r *compiledRule) limitsDomains() bool {
	return r.rule.Kind == RulePin || r.rule.Kind == RuleSpread
}

// precedenceGroup returns the kind of the rules among which precedence is decided; pins and spreads form one group.
func (r *compiledRule) precedenceGroup() RuleKind {
	if r.limitsDomains() {
		return RulePin
	}
	return r.rule.Kind
}

type ruleLevel struct {
	keyed    bool
	priority int
}

// HasKeyRules reports whether a placement rule of the service selects keys, in which case keys may be placed separately from
// their slot.
func (d *Document) HasKeyRules(service ibisid.ServiceName) bool {
	rules, ok := d.rules[service]
	return ok && slices.ContainsFunc(rules.rules, func(r *compiledRule) bool { return len(r.selectors) > 0 })
}

// Placement returns the failure domains that may own a key of a tenant. An empty key stands for the whole service, an empty
// tenant for no home regions. Home regions take precedence over all rules, and rules with keys do not apply to tenants with
// home regions, since no row outside these regions may contain the key. Among pins and spreads, and among weights, only the
// rules of the highest precedence have effect.
func (d *Document) Placement(service ibisid.ServiceName, tenant ibisid.TenantName, key ibisname.Key) Placement {
	p := placer{
		key:    key,
		levels: make(map[RuleKind]ruleLevel),
	}
	p.result.Domains = d.allDomains()
	if homes := d.tenantDomains[tenant]; len(homes) > 0 {
		p.result.Domains = slices.Clone(homes)
		p.hasHomes = true
	}
	if rules, ok := d.rules[service]; ok {
		for _, i := range rules.candidates(key) {
			p.apply(rules.rules[i])
		}
	}
	p.setWeights()
	return p.result
}

func (d *Document) allDomains() []ibisid.DomainName {
	domains := make([]ibisid.DomainName, 0, len(d.places))
	for domain := range d.places {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

func (d *Document) homeDomainsOf(tenant Tenant) homeDomains {
	var domains homeDomains
	for domain, place := range d.places {
		if slices.Contains(tenant.Homes, place.Region) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// placer computes a placement by applying rules in order of precedence.
type placer struct {
	key      ibisname.Key
	hasHomes bool
	result   Placement
	levels   map[RuleKind]ruleLevel
	weights  []*compiledRule
}

func (p *placer) apply(r *compiledRule) {
	if !r.selects(p.key) || p.hasHomes && len(r.selectors) > 0 {
		return
	}
	kind := r.rule.Kind
	if r.limitsDomains() && p.hasHomes && len(intersect(p.result.Domains, r.domains)) == 0 {
		return
	}
	if level, found := p.levels[r.precedenceGroup()]; found && level != r.level() && kind != RuleApart {
		return
	}
	p.levels[r.precedenceGroup()] = r.level()
	p.result.Rules = append(p.result.Rules, AppliedRule{
		Name:    r.name,
		Section: r.section,
		Kind:    kind,
		Keyed:   len(r.selectors) > 0,
	})
	switch kind {
	case RulePin:
		p.result.Domains = intersect(p.result.Domains, r.domains)
	case RuleSpread:
		p.result.SpreadRegions = len(r.rule.Regions) > 0
		p.result.SpreadDomains = len(r.rule.Domains) > 0
		p.result.Domains = intersect(p.result.Domains, r.domains)
	case RuleWeight:
		p.weights = append(p.weights, r)
	case RuleApart:
		p.addApartSides(r)
	}
}

func (p *placer) addApartSides(r *compiledRule) {
	for side, selector := range r.selectors {
		if selector.Match(p.key) {
			p.result.Apart = append(p.result.Apart, ApartSide{
				Rule: r.name,
				Side: side,
			})
		}
	}
}

// setWeights sets the share of each remaining failure domain.
func (p *placer) setWeights() {
	p.result.Weights = make([]float64, len(p.result.Domains))
	for i, domain := range p.result.Domains {
		p.result.Weights[i] = 1
		for _, r := range p.weights {
			if slices.Contains(r.domains, domain) {
				p.result.Weights[i] = r.rule.Weight
			}
		}
	}
}

// intersect returns the values that a and b have in common; both must be sorted.
func intersect(a, b []ibisid.DomainName) []ibisid.DomainName {
	var both []ibisid.DomainName
	for _, domain := range a {
		if _, found := slices.BinarySearch(b, domain); found {
			both = append(both, domain)
		}
	}
	return both
}
