package ibisdoc

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

func (d *draft) checkTopology(doc *Document) {
	topology := d.content.Topology
	if len(topology.Regions) == 0 {
		d.fault(string(KindTopology), "", "at least one region")
		return
	}
	if _, ok := topology.Regions[topology.StoreRegion]; !ok {
		d.fault(string(KindTopology)+".storeRegion", string(topology.StoreRegion), "one of the regions %s", joinKeys(topology.Regions))
	}
	in := 0
	for _, region := range slices.Sorted(maps.Keys(topology.Regions)) {
		in += d.checkRegion(doc, region, topology.Regions[region])
	}
	if in == 0 {
		d.fault(string(KindTopology), "", "at least one failure domain that is in")
	}
}

// checkRegion checks a region and returns the number of its failure domains in state DomainIn.
func (d *draft) checkRegion(doc *Document, name ibisid.RegionName, region Region) int {
	at := d.entryPath(KindTopology, string(name)) + ".domains"
	if len(region.Domains) == 0 {
		d.fault(at, "", "at least one failure domain")
	}
	in := 0
	for _, domain := range slices.Sorted(maps.Keys(region.Domains)) {
		path := at + "." + string(domain)
		if !validName(string(domain)) {
			d.fault(path, string(domain), "a name of letters, digits and hyphens, up to 63")
		}
		if other, ok := doc.places[domain]; ok {
			d.fault(path, string(domain), "a name that no other region has: region %s has it", other.Region)
		}
		doc.places[domain] = ibisid.Place{
			Region: name,
			Domain: domain,
		}
		switch region.Domains[domain].state() {
		case DomainIn:
			in++
		case DomainOut:
		default:
			d.fault(path+".state", string(region.Domains[domain].State), "%q or %q", DomainIn, DomainOut)
		}
	}
	return in
}

// checkTeams checks the teams, and, if the document has any, that exactly one team owns each section.
func (d *draft) checkTeams(sections Sections) {
	for _, name := range slices.Sorted(maps.Keys(d.content.Teams)) {
		team := d.content.Teams[name]
		at := d.entryPath(KindTeams, string(name))
		for i, pattern := range team.Sections {
			if !validPattern(pattern) {
				d.fault(fmt.Sprintf("%s.sections[%d]", at, i), pattern, "KIND, KIND/NAME or KIND/*, where KIND is "+kindList)
			}
		}
		d.checkTokens(at, team.Tokens)
	}
	if len(d.content.Teams) == 0 {
		return
	}
	for _, section := range slices.Sorted(maps.Keys(sections)) {
		owners := SectionOwners(d.content.Teams, section)
		if len(owners) != 1 {
			d.fault(string(section), fmt.Sprint(owners), "a section that exactly one team owns")
		}
	}
}

func validPattern(pattern string) bool {
	if kind, ok := strings.CutSuffix(pattern, "/*"); ok {
		return SectionName(kind).Valid() && !strings.Contains(kind, "/")
	}
	return SectionName(pattern).Valid()
}

// SectionOwners returns the teams that may write a section, in order.
func SectionOwners(teams map[ibisid.TeamName]Team, section SectionName) []ibisid.TeamName {
	var owners []ibisid.TeamName
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if slices.ContainsFunc(teams[name].Sections, func(pattern string) bool { return matchesPattern(pattern, section) }) {
			owners = append(owners, name)
		}
	}
	return owners
}

func matchesPattern(pattern string, section SectionName) bool {
	if kind, ok := strings.CutSuffix(pattern, "/*"); ok {
		return strings.HasPrefix(string(section), kind+"/")
	}
	return pattern == string(section)
}

const (
	minSaltBytes  = 16
	hashBytes     = 32
	maxSaltBytes  = 64
	maxTokens     = 2
	tokensAllowed = "one token, or two while it is rotated"
)

// checkTokens checks token hashes; the faults do not contain salts or hashes.
func (d *draft) checkTokens(at string, tokens []TokenHash) {
	if len(tokens) == 0 || len(tokens) > maxTokens {
		d.fault(at+".tokens", strconv.Itoa(len(tokens)), tokensAllowed)
	}
	for i, token := range tokens {
		path := fmt.Sprintf("%s.tokens[%d]", at, i)
		if salt, err := hex.DecodeString(token.Salt); err != nil || len(salt) < minSaltBytes || len(salt) > maxSaltBytes {
			d.fault(path+".salt", hiddenValue, "%d to %d bytes in hexadecimal", minSaltBytes, maxSaltBytes)
		}
		if hash, err := hex.DecodeString(token.SHA256); err != nil || len(hash) != hashBytes {
			d.fault(path+".sha256", hiddenValue, "%d bytes in hexadecimal", hashBytes)
		}
	}
}

const hiddenValue = "(not shown)"

// joinKeys returns the sorted keys of a map as comma-separated text, shortened to a limit.
func joinKeys[K ~string, V any](m map[K]V) string {
	const maxNames = 12
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, string(name))
	}
	slices.Sort(names)
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + fmt.Sprintf(" and %d more", len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}
