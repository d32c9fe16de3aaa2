package ibisname_test

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

func TestNames(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisname")
}

// plots returns a key space whose schemes use fixed widths, two different code tables and exceptions.
func plots() ibisname.KeySpace {
	wardNames := map[string]string{}
	shortCodes := map[string]string{}
	for ward := 1; ward <= 24; ward++ {
		wardNames[strconv.Itoa(ward)] = fmt.Sprintf("ward%d", ward)
		shortCodes[strconv.Itoa(ward)] = fmt.Sprintf("W%02d", ward)
	}
	wardNames["7"] = "mapanawathura"
	return ibisname.KeySpace{
		Fields: []ibisname.Field{
			{
				Name: "ward",
				Type: ibisname.FieldInt,
				Min:  1,
				Max:  24,
			},
			{
				Name: "plot",
				Type: ibisname.FieldInt,
				Max:  999999,
			},
		},
		Schemes: map[ibisid.SchemeName]ibisname.Scheme{
			"clerk":    {Template: "{ward:02}/{plot:06}"},
			"society":  {Template: "{ward}.{plot}"},
			"treasury": {Template: "KMADO-{plot}-{ward:02}"},
			"names": {
				Template: "{ward}/{plot}",
				Codes:    map[string]map[string]string{"ward": wardNames},
			},
			"codes": {
				Template: "{ward}{plot}",
				Codes:    map[string]map[string]string{"ward": shortCodes},
				Exceptions: []ibisname.NameException{
					{
						Name:   "old-tank",
						Fields: map[string]string{"ward": "3", "plot": "17"},
					},
					{
						Name:   "W0317",
						Fields: map[string]string{"ward": "3", "plot": "18"},
					},
				},
			},
		},
	}
}

func mustCompile(content ibisname.KeySpace) *ibisname.Space {
	space, faults := ibisname.Compile("plot", content)
	Expect(faults).To(BeEmpty())
	return space
}

var _ = Describe("Space", func() {
	It("translates between a key and its name in every scheme", func() {
		space := mustCompile(plots())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ward := rapid.IntRange(1, 24).Draw(t, "ward")
			plot := rapid.IntRange(0, 999999).Draw(t, "plot")
			key := ibisname.Key(fmt.Sprintf("plot:%d/%d", ward, plot))
			names := map[string]bool{}
			for _, scheme := range space.Schemes() {
				name, err := space.Spell(scheme, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(space.Canonical(scheme, name)).To(Equal(key))
				names[name] = true
			}
			Expect(names).To(HaveLen(5))
		})
	})

	It("spells the key of every accepted name as the same name", func() {
		space := mustCompile(plots())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			scheme := rapid.SampledFrom(space.Schemes()).Draw(t, "scheme")
			name := rapid.StringMatching(`(KMADO-|W)?[0-9a-w]{1,6}[-/.]?[0-9]{0,7}(-[0-9]{2})?`).Draw(t, "name")
			key, err := space.Canonical(scheme, name)
			if err == nil {
				Expect(space.Spell(scheme, key)).To(Equal(name))
			}
		})
	})

	DescribeTable("names", func(scheme, name, key string) {
		got, err := mustCompile(plots()).Canonical(ibisid.SchemeName(scheme), name)
		if key == "" {
			Expect(err).To(HaveOccurred())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(key))
	},
		Entry("parses padded numbers", "clerk", "07/000042", "plot:7/42"),
		Entry("rejects a missing leading zero", "clerk", "7/000042", ""),
		Entry("rejects a surplus leading zero", "society", "07.42", ""),
		Entry("parses a code", "names", "mapanawathura/42", "plot:7/42"),
		Entry("rejects an unknown code", "names", "ward7/42", ""),
		Entry("parses an exception", "codes", "old-tank", "plot:3/17"),
		Entry("resolves a template name that was reassigned to an exception", "codes", "W0317", "plot:3/18"),
		Entry("rejects the template's name of a key with an exception", "codes", "W0318", ""),
		Entry("rejects a value out of range", "society", "25.1", ""),
		Entry("rejects trailing text", "society", "24.1 ", ""),
		Entry("rejects an empty name", "society", "", ""),
		Entry("rejects an unknown scheme", "none", "1.1", ""),
	)

	DescribeTable("invalid key spaces", func(change func(*ibisname.KeySpace), path, allowed string) {
		content := plots()
		change(&content)
		_, faults := ibisname.Compile("plot", content)
		Expect(faults).To(ContainElement(And(
			HaveField("Path", path),
			HaveField("Allowed", ContainSubstring(allowed)),
		)), "%v", faults)
	},
		Entry("two adjacent numbers without a separator", withScheme(ibisname.Scheme{Template: "{ward}{plot}"}), "schemes.x.template", "fixed width or a separator"),
		Entry("a missing field", withScheme(ibisname.Scheme{Template: "{plot}"}), "schemes.x.template", "field ward exactly once"),
		Entry("a repeated field", withScheme(ibisname.Scheme{Template: "{plot}/{ward}/{plot}"}), "schemes.x.template", "field plot exactly once"),
		Entry("an unknown field", withScheme(ibisname.Scheme{Template: "{plot}/{row}"}), "schemes.x.template", "not one of the key space's fields"),
		Entry("an unclosed brace", withScheme(ibisname.Scheme{Template: "{plot}/{ward"}), "schemes.x.template", "needs a \"}\""),
		Entry("a width too small for the maximum", withScheme(ibisname.Scheme{Template: "{plot:05}/{ward}"}), "schemes.x.template", "fits 5 digits"),
		Entry("codes that do not cover every value", withScheme(ibisname.Scheme{
			Template: "{ward}/{plot}",
			Codes:    map[string]map[string]string{"ward": {"1": "a"}},
		}), "schemes.x.codes.ward", "a code for every value"),
		Entry("duplicate codes", func(k *ibisname.KeySpace) { k.Schemes["names"].Codes["ward"]["8"] = "ward9" }, "schemes.names.codes.ward.9", "value 8 has the same"),
		Entry("an exception with the name of another key", withScheme(ibisname.Scheme{
			Template: "{ward}/{plot}",
			Exceptions: []ibisname.NameException{{
				Name:   "1/1",
				Fields: map[string]string{"ward": "2", "plot": "2"},
			}},
		}), "schemes.x.exceptions[0].name", "does not give to key plot:1/1"),
		Entry("an exception for an invalid key", withScheme(ibisname.Scheme{
			Template: "{ward}/{plot}",
			Exceptions: []ibisname.NameException{{
				Name:   "x",
				Fields: map[string]string{"ward": "99", "plot": "2"},
			}},
		}), "schemes.x.exceptions[0].fields.ward", "canonical value"),
	)

	It("distributes keys over all slots", func() {
		seen := map[ibisid.SlotIndex]bool{}
		for i := range 1000 {
			seen[ibisname.SlotOf(fmt.Sprintf("plot:1/%d", i), 64)] = true
		}
		Expect(seen).To(HaveLen(64))
		Expect(func() { ibisname.SlotOf("plot:1/1", 48) }).To(Panic())
	})

	It("accepts words up to 64 bytes and the full range of uint64", func() {
		space := mustCompile(ibisname.KeySpace{
			Fields: []ibisname.Field{{
				Name: "word",
				Type: ibisname.FieldWord,
			}, {
				Name: "number",
				Type: ibisname.FieldInt,
			}},
			Schemes: map[ibisid.SchemeName]ibisname.Scheme{
				"a": {Template: "{number:020}{word}"},
				"b": {Template: "{word}/{number}"},
			},
		})
		key, err := space.Canonical("b", fmt.Sprintf("a-1-2/%d", uint64(math.MaxUint64)))
		Expect(err).NotTo(HaveOccurred())
		Expect(space.Spell("a", key)).To(Equal("18446744073709551615a-1-2"))
		_, err = space.Canonical("b", strings.Repeat("a", 65)+"/1")
		Expect(err).To(HaveOccurred())
	})
})

func withScheme(scheme ibisname.Scheme) func(*ibisname.KeySpace) {
	return func(k *ibisname.KeySpace) { k.Schemes["x"] = scheme }
}
