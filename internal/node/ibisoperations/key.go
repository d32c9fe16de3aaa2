package ibisoperations

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// Key explains a key: its spelling in each scheme, and for each service its slot, owner and the placement rules that
// apply. It fails with ErrUnauthorized, ErrUnavailable or ErrBadRequest.
func (o *Operations) Key(_ context.Context, token string, query ibisoperator.KeyQuery) (ibisoperator.Key, error) {
	doc, err := o.authorize(token)
	if err != nil {
		return ibisoperator.Key{}, err
	}
	space, scheme, err := lookUpScheme(doc, query.Scheme)
	if err != nil {
		return ibisoperator.Key{}, err
	}
	key, err := space.Canonical(scheme, query.Name)
	if err != nil {
		return ibisoperator.Key{}, fmt.Errorf("%w: %w", ibisoperator.ErrBadRequest, err)
	}
	explanation := ibisoperator.Key{
		Key:       string(key),
		Spellings: make(map[ibisid.SchemeName]string),
	}
	for _, other := range space.Schemes() {
		if name, err := space.Spell(other, key); err == nil {
			explanation.Spellings[other] = name
		}
	}
	keySpace, _, _ := strings.Cut(query.Scheme, "/")
	explanation.Places = o.keyPlaces(doc, ibisid.KeySpaceName(keySpace), key, query.Tenant)
	return explanation, nil
}

// lookUpScheme parses KEYSPACE/SCHEME and returns the key space and the scheme. It fails with ErrBadRequest if the document
// defines no such key space or scheme.
func lookUpScheme(doc *ibisdoc.Document, text string) (*ibisname.Space, ibisid.SchemeName, error) {
	name, scheme, ok := strings.Cut(text, "/")
	space, known := doc.Space(ibisid.KeySpaceName(name))
	if !ok || !known || !slices.Contains(space.Schemes(), ibisid.SchemeName(scheme)) {
		return nil, "", fmt.Errorf("%w: scheme: %q must be KEYSPACE/SCHEME of the document", ibisoperator.ErrBadRequest, text)
	}
	return space, ibisid.SchemeName(scheme), nil
}

// keyPlaces returns the placement of the key for each service that is sharded by its key space, in order of service name.
func (o *Operations) keyPlaces(doc *ibisdoc.Document, keySpace ibisid.KeySpaceName, key ibisname.Key, tenant ibisid.TenantName) []ibisoperator.KeyPlace {
	content := doc.Content()
	var places []ibisoperator.KeyPlace
	for _, name := range slices.Sorted(maps.Keys(content.Services)) {
		service, _ := doc.Service(name)
		if service.KeySpace != keySpace {
			continue
		}
		places = append(places, o.keyPlace(doc, name, key, tenant))
	}
	return places
}

func (o *Operations) keyPlace(doc *ibisdoc.Document, service ibisid.ServiceName, key ibisname.Key, tenant ibisid.TenantName) ibisoperator.KeyPlace {
	match := ibisdoc.Match{
		Key:    key,
		HasKey: true,
	}
	match.Route.Service = service
	space, slots := doc.SlotSpaceFor(match, tenant)
	slot := ibisid.Slot{
		Space: space,
		Index: ibisname.SlotOf(string(key), slots),
	}
	place := ibisoperator.KeyPlace{}
	if overview, ok := o.overview(); ok {
		place = overview.Locate(slot, string(key))
	}
	place.Service = service
	place.Slot = slot.String()
	placement := doc.Placement(service, tenant, key)
	// Locate can't distinguish a hot key from one that a rule placed; if a rule selects the key, the rule is the reason.
	if rule, ok := placement.FirstKeyedRule(); ok && place.Apart != "" {
		place.Apart = "rule " + rule.Name
	}
	for _, rule := range placement.Rules {
		place.Rules = append(place.Rules, ibisoperator.KeyRule{
			Name:    rule.Name,
			Section: rule.Section,
			Teams:   ibisdoc.SectionOwners(doc.Content().Teams, rule.Section),
		})
	}
	return place
}
