package ibisdoc_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

var _ = Describe("Compiler", func() {
	It("gives the result of a new compiler after any changes", func() {
		original := example("kynnysmatto")
		variants := map[ibisdoc.SectionName][]string{
			"classes":        {`{"stock": {}, "order": {}, "lookup": {}, "download": {}}`, `{"stock": {}}`},
			"services/floor": {`{"print-floor": {"keySpace": "order"}}`, `{"print-floor": {"keySpace": "mat", "slots": 64}}`},
			"routes/orders":  {`{}`, `{"x": {"methods": ["GET"], "path": "/x", "service": "order-desk", "class": "stock"}}`},
			"tenants/keskus": {`{}`, `{"oulu-shops": {"accounts": {}}}`, `{"keskus": {"homes": ["uusimaa"], "accounts": {}}}`},
			"keySpaces/mats": {`{"mat": {"fields": [{"name": "design", "type": "int"}], "schemes": {"urn": {"template": "u{design}"}}}}`},
			"rules/floor":    {`{}`, `{"x": {"kind": "pin", "service": "order-desk", "regions": ["uusimaa"]}}`},
			"topology":       {`{"storeRegion": "uusimaa", "regions": {"uusimaa": {"domains": {"helsinki-a": {}}}}}`},
		}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			compiler := ibisdoc.NewCompiler()
			sections := example("kynnysmatto")
			for range rapid.IntRange(1, 8).Draw(t, "changes") {
				name := rapid.SampledFrom([]ibisdoc.SectionName{
					"classes", "services/floor", "routes/orders", "tenants/keskus", "keySpaces/mats", "rules/floor", "topology",
				}).Draw(t, "section")
				texts := append([]string{string(original[name]), ""}, variants[name]...)
				if text := rapid.SampledFrom(texts).Draw(t, "text"); text == "" {
					delete(sections, name)
				} else {
					sections[name] = json.RawMessage(text)
				}
				fresh, freshFaults := ibisdoc.Compile(3, sections)
				again, faults := compiler.Compile(3, sections)
				Expect(faults).To(Equal(freshFaults))
				Expect(again).To(Equal(fresh))
			}
		})
	})
})
