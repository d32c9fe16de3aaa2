package ibisname_test

import (
	"testing"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// FuzzSchemes checks for any two templates that compile: a name that one accepts translates to the other and back unchanged.
func FuzzSchemes(f *testing.F) {
	f.Add("MAT-{design}", "{shop}", "x", "MAT-17")
	f.Add("{shop}/{design:06}", "urn:{design}:{shop}", "helsinki", "helsinki/000017")
	f.Add("{design}{shop}", "{shop}{design}", "1", "17a")
	f.Add("{shop}-{design}", "{design:06}{shop}", "-1", "a-1-2")
	f.Add("{design:03}{shop}", "{shop}:{design}", "old", "007old")
	f.Fuzz(func(t *testing.T, one, two, exception, name string) {
		space, faults := ibisname.Compile("mat", ibisname.KeySpace{
			Fields: []ibisname.Field{
				{
					Name: "design",
					Type: ibisname.FieldInt,
					Max:  999999,
				},
				{
					Name: "shop",
					Type: ibisname.FieldWord,
				},
			},
			Schemes: map[ibisid.SchemeName]ibisname.Scheme{
				"one": {
					Template: one,
					Exceptions: []ibisname.NameException{{
						Name:   exception,
						Fields: map[string]string{"design": "1", "shop": "old"},
					}},
				},
				"two": {Template: two},
			},
		})
		if len(faults) > 0 {
			return
		}
		for _, scheme := range space.Schemes() {
			checkName(t, space, scheme, name)
		}
		checkName(t, space, "one", exception)
	})
}

func checkName(t *testing.T, space *ibisname.Space, scheme ibisid.SchemeName, name string) {
	key, err := space.Canonical(scheme, name)
	if err != nil {
		return
	}
	for _, other := range space.Schemes() {
		spelled, err := space.Spell(other, key)
		if err != nil {
			t.Fatalf("%s has no name in scheme %s: %v", key, other, err)
		}
		if other == scheme && spelled != name {
			t.Fatalf("scheme %s parses %q to key %s but spells it %q", scheme, name, key, spelled)
		}
		if parsed, err := space.Canonical(other, spelled); err != nil || parsed != key {
			t.Fatalf("key %s is spelled %q, which parses to %s, %v", key, spelled, parsed, err)
		}
	}
	selector, err := space.SelectPrefix(scheme, name)
	if err != nil || !selector.Match(key) {
		t.Fatalf("the selector of prefix %q does not match key %s: %v", name, key, err)
	}
}
