package ibisoperator

import (
	"maps"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Explain returns the information on a key that follows from the document alone: its names, slots and placement rules, but
// no owners. It fails with ErrBadRequest if the document has no such scheme or the name is invalid in it.
func Explain(document *ibisdoc.Document, query KeyQuery) (Key, error) {
	spaceName, schemeName, ok := strings.Cut(query.Scheme, "/")
	if !ok {
		return Key{}, badRequest("scheme: %q must be KEYSPACE/SCHEME", query.Scheme)
	}
	space, ok := document.Space(ibisid.KeySpaceName(spaceName))
	if !ok {
		known := slices.Sorted(maps.Keys(document.Content().KeySpaces))
		return Key{}, badRequest("key space: %q must be one of %v", spaceName, known)
	}
	if !slices.Contains(space.Schemes(), ibisid.SchemeName(schemeName)) {
		return Key{}, badRequest("scheme: %q must be one of %v", schemeName, space.Schemes())
	}
	key, err := space.Canonical(ibisid.SchemeName(schemeName), query.Name)
	if err != nil {
		return Key{}, badRequest("%w", err)
	}
	answer := Key{
		Key:       string(key),
		Spellings: make(map[ibisid.SchemeName]string),
	}
	for _, scheme := range space.Schemes() {
		if answer.Spellings[scheme], err = space.Spell(scheme, key); err != nil {
			return Key{}, err
		}
	}
	answer.Places = placesOf(document, space.Name(), key, query.Tenant)
	return answer, nil
}

// placesOf returns the slot and the rules of a key in each service that is partitioned by the key space, in order of
// service name.
func placesOf(document *ibisdoc.Document, space ibisid.KeySpaceName, key ibisname.Key, tenant ibisid.TenantName) []KeyPlace {
	content := document.Content()
	var places []KeyPlace
	for _, name := range slices.Sorted(maps.Keys(content.Services)) {
		if content.Services[name].KeySpace != space {
			continue
		}
		slots, count := document.SlotSpaceFor(ibisdoc.Match{
			Route: ibisdoc.Route{
				Service: name,
			},
		}, tenant)
		slot := ibisid.Slot{
			Space: slots,
			Index: ibisname.SlotOf(string(key), count),
		}
		places = append(places, KeyPlace{
			Service: name,
			Slot:    slot.String(),
			Rules:   rulesOf(content, document.Placement(name, tenant, key).Rules),
		})
	}
	return places
}

func rulesOf(content ibisdoc.Content, applied []ibisdoc.AppliedRule) []KeyRule {
	var rules []KeyRule
	for _, rule := range applied {
		rules = append(rules, KeyRule{
			Name:    rule.Name,
			Section: rule.Section,
			Teams:   ibisdoc.SectionOwners(content.Teams, rule.Section),
		})
	}
	return rules
}
