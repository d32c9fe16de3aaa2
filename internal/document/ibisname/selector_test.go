package ibisname_test

import (
	"fmt"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// smallPlots is a key space small enough to check a selector against every key.
func smallPlots() *ibisname.Space {
	codes := map[string]string{}
	for ward := 1; ward <= 12; ward++ {
		codes[strconv.Itoa(ward)] = fmt.Sprintf("%c%d", 'a'+ward%3, ward)
	}
	return mustCompile(ibisname.KeySpace{
		Fields: []ibisname.Field{
			{
				Name: "ward",
				Type: ibisname.FieldInt,
				Min:  1,
				Max:  12,
			},
			{
				Name: "plot",
				Type: ibisname.FieldInt,
				Max:  40,
			},
		},
		Schemes: map[ibisid.SchemeName]ibisname.Scheme{
			"wide":  {Template: "{plot:03}-{ward}"},
			"plain": {Template: "P/{ward}/{plot}"},
			"codes": {
				Template: "{ward}:{plot}",
				Codes:    map[string]map[string]string{"ward": codes},
				Exceptions: []ibisname.NameException{{
					Name:   "b:tank",
					Fields: map[string]string{"ward": "5", "plot": "5"},
				}},
			},
		},
	})
}

func allPlotKeys() []ibisname.Key {
	var keys []ibisname.Key
	for ward := 1; ward <= 12; ward++ {
		for plot := 0; plot <= 40; plot++ {
			keys = append(keys, ibisname.Key(fmt.Sprintf("plot:%d/%d", ward, plot)))
		}
	}
	return keys
}

// drawSelector draws a random selector and returns it with a function that reports which keys it must match.
func drawSelector(t *rapid.T, space *ibisname.Space) (*ibisname.Selector, func(ibisname.Key) bool) {
	scheme := rapid.SampledFrom(space.Schemes()).Draw(t, "scheme")
	keys := allPlotKeys()
	spell := func(key ibisname.Key) string {
		name, err := space.Spell(scheme, key)
		Expect(err).NotTo(HaveOccurred())
		return name
	}
	from := rapid.SampledFrom(keys).Draw(t, "from")
	if rapid.Bool().Draw(t, "prefix") {
		prefix := spell(from)
		prefix = prefix[:rapid.IntRange(0, len(prefix)).Draw(t, "length")]
		selector, err := space.SelectPrefix(scheme, prefix)
		Expect(err).NotTo(HaveOccurred())
		return selector, func(key ibisname.Key) bool { return strings.HasPrefix(spell(key), prefix) }
	}
	to := rapid.SampledFrom(keys).Draw(t, "to")
	rank := func(key ibisname.Key) int {
		var ward, plot int
		_, err := fmt.Sscanf(string(key), "plot:%d/%d", &ward, &plot)
		Expect(err).NotTo(HaveOccurred())
		if scheme == "wide" {
			return plot*100 + ward
		}
		return ward*100 + plot
	}
	if rank(from) > rank(to) {
		_, err := space.SelectRange(scheme, spell(from), spell(to))
		Expect(err).To(HaveOccurred())
		from, to = to, from
	}
	selector, err := space.SelectRange(scheme, spell(from), spell(to))
	Expect(err).NotTo(HaveOccurred())
	return selector, func(key ibisname.Key) bool { return rank(from) <= rank(key) && rank(key) <= rank(to) }
}

var _ = Describe("Selector", func() {
	It("matches exactly the keys of its range or prefix in every scheme", func() {
		space := smallPlots()
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			selector, expected := drawSelector(t, space)
			for _, key := range allPlotKeys() {
				if selector.Match(key) != expected(key) {
					t.Fatalf("%s: key %s: got %v", selector, key, selector.Match(key))
				}
			}
		})
	})

	It("reports whether two selectors overlap", func() {
		space := smallPlots()
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, _ := drawSelector(t, space)
			b, _ := drawSelector(t, space)
			shared := false
			for _, key := range allPlotKeys() {
				shared = shared || (a.Match(key) && b.Match(key))
			}
			if shared && !a.Overlaps(b) {
				t.Fatalf("%s and %s share a key", a, b)
			}
			exceptionKey := ibisname.Key("plot:5/5")
			if !shared && a.Overlaps(b) && !a.Match(exceptionKey) && !b.Match(exceptionKey) {
				t.Fatalf("%s and %s share no key", a, b)
			}
		})
	})

	It("matches words by range and prefix", func() {
		space := mustCompile(ibisname.KeySpace{
			Fields: []ibisname.Field{{
				Name: "shop",
				Type: ibisname.FieldWord,
			}},
			Schemes: map[ibisid.SchemeName]ibisname.Scheme{"plain": {Template: "{shop}"}},
		})
		ranged, err := space.SelectRange("plain", "b", "d")
		Expect(err).NotTo(HaveOccurred())
		prefix, err := space.SelectPrefix("plain", "da")
		Expect(err).NotTo(HaveOccurred())
		Expect(ranged.Match("plot:cellar")).To(BeTrue())
		Expect(ranged.Match("plot:da")).To(BeFalse())
		Expect(prefix.Match("plot:dab")).To(BeTrue())
		Expect(prefix.Overlaps(ranged)).To(BeFalse())
		_, err = space.SelectPrefix("plain", "d a")
		Expect(err).To(HaveOccurred())
	})

	It("rejects a prefix that no name of the scheme has", func() {
		_, err := smallPlots().SelectPrefix("plain", "Q/")
		Expect(err).To(HaveOccurred())
	})
})
