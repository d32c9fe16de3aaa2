package ibisdoc_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

var _ = Describe("Compile", func() {
	DescribeTable("reports the path, the value and the allowed values", func(section, text, path, allowed string) {
		sections := example("kynnysmatto")
		sections[ibisdoc.SectionName(section)] = json.RawMessage(text)
		doc, faults := ibisdoc.Compile(1, sections)
		Expect(doc).To(BeNil())
		Expect(faults).To(ContainElement(And(
			HaveField("Path", path),
			HaveField("Allowed", ContainSubstring(allowed)),
		)), faults.Error())
	},
		Entry("unknown kind", "zones", `{}`, "zones", "a section KIND"),
		Entry("broken JSON", "classes", `{"a": `, "classes.a", "JSON: at byte"),
		Entry("text after the value", "classes", `{} {}`, "classes", "nothing after"),
		Entry("unknown field", "classes", `{"stock": {"priorty": 1}}`, "classes.stock.priorty", "one of the fields priority, deadline"),
		Entry("repeated key", "classes", `{"stock": {}, "stock": {}}`, "classes.stock", "each key once"),
		Entry("wrong type", "classes", `{"stock": {"priority": "high"}}`, "classes.stock.priority", "a whole number"),
		Entry("number out of range", "services/floor", `{"print-floor": {"slots": -1}}`, "services/floor.print-floor.slots", "a whole number from 0 up of 32 bits"),
		Entry("wrong duration", "classes", `{"stock": {"deadline": "5 parsecs"}}`, "classes.stock.deadline", "250ms"),
		Entry("object for a list", "routes/orders", `{"x": {"methods": {"a": [1]}}}`, "routes/orders.x.methods", "a list"),
		Entry("null", "classes", `{"stock": null}`, "classes.stock", "an object"),
		Entry("name", "classes", `{"a.b": {}}`, `classes["a.b"]`, "letters, digits and hyphens"),
		Entry("two sections, one name", "classes/more", `{"stock": {}}`, "classes/more.stock", "no other section defines: classes does"),
		Entry("section without an owner", "classes/more", `{}`, "classes/more", "exactly one team"),
		Entry("slots", "services/floor", `{"print-floor": {"keySpace": "mat", "slots": 1000}}`, "services/floor.print-floor.slots", "power of two up to 262144"),
		Entry("dangling key space", "services/floor", `{"print-floor": {"keySpace": "rug"}}`, "services/floor.print-floor.keySpace", "mat, order"),
		Entry("dangling service", "routes/orders", `{"x": {"methods": ["GET"], "path": "/x", "service": "desk", "class": "stock"}}`, "routes/orders.x.service", "order-desk, print-floor"),
		Entry("dangling scheme", "routes/designs", `{"x": {"methods": ["GET"], "path": "/x/{key}", "scheme": "mat/x", "service": "print-floor", "class": "stock"}}`, "routes/designs.x.scheme", "catalogue, floor, urn"),
		Entry("dangling region", "tenants/shops", `{"x": {"homes": ["lappi"], "accounts": {}}}`, "tenants/shops.x.homes[0]", "uusimaa"),
		Entry("key missing in the path", "routes/designs", `{"x": {"methods": ["GET"], "path": "/x", "service": "print-floor", "class": "stock"}}`, "routes/designs.x.path", "divided by key"),
		Entry("scheme of another key space", "routes/designs", `{"x": {"methods": ["GET"], "path": "/x/{key}", "scheme": "order/web", "service": "print-floor", "class": "stock"}}`, "routes/designs.x.scheme", "key space mat"),
		Entry("non-idempotent GET", "routes/orders", `{"x": {"methods": ["GET"], "path": "/x", "service": "order-desk", "class": "stock", "nonIdempotent": true}}`, "routes/orders.x.methods[0]", "change state"),
		Entry("two routes, one path", "routes/orders", `{"a": {"methods": ["GET"], "path": "/designs/{any}/artwork", "service": "order-desk", "class": "stock"}}`, "routes/orders.a.path", "artwork of section routes/designs"),
		Entry("a route that takes the path of an exception", "routes/orders", `{"x": {"methods": ["GET"], "path": "/designs/welcome", "service": "order-desk", "class": "stock"}}`, "routes/orders.x.path", "design-lookup of section routes/designs"),
		Entry("ambiguous scheme", "keySpaces/orders", `{"order": {"fields": [{"name": "a", "type": "int"}, {"name": "b", "type": "int"}], "schemes": {"till": {"template": "{a}{b}"}}}}`, "keySpaces/orders.order.schemes.till.template", "fixed width or a separator"),
		Entry("selector", "tenants/shops", `{"x": {"accounts": {"a": {"tokens": [], "keys": [{"scheme": "mat/floor", "name": "design/1"}]}}}}`, "tenants/shops.x.accounts.a.keys[0]", "no name of scheme floor"),
		Entry("no token", "tenants/shops", `{"x": {"accounts": {"a": {"tokens": []}}}}`, "tenants/shops.x.accounts.a.tokens", "one token, or two"),
		Entry("pins that contradict", "rules/more", `{"x": {"kind": "pin", "service": "print-floor", "keys": [{"scheme": "mat/floor", "prefix": "design/007004"}], "regions": ["uusimaa"]}}`, "rules/more.x", "tampere-campaign of section rules/floor"),
		Entry("pins that contradict three at a time", "rules/more", `{"a": {"kind": "pin", "service": "print-floor", "regions": ["uusimaa", "pirkanmaa"]}, "b": {"kind": "pin", "service": "print-floor", "regions": ["uusimaa", "pohjois-pohjanmaa"]}, "c": {"kind": "pin", "service": "print-floor", "regions": ["pirkanmaa", "pohjois-pohjanmaa"]}}`, "rules/more.c", "helsinki-a"),
		Entry("weights that contradict", "rules/more", `{"x": {"kind": "weight", "service": "print-floor", "domains": ["oulu-a"], "weight": 2}}`, "rules/more.x", "oulu-half-share of section rules/floor"),
		Entry("a weight of keys", "rules/more", `{"x": {"kind": "weight", "service": "print-floor", "keys": [{"scheme": "mat/urn", "name": "urn:kk:mat:19"}], "domains": ["oulu-a"], "weight": 2}}`, "rules/more.x.keys", "binds a whole service"),
		Entry("a spread of keys", "rules/more", `{"x": {"kind": "spread", "service": "print-floor", "keys": [{"scheme": "mat/urn", "name": "urn:kk:mat:19"}], "domains": ["oulu-a"]}}`, "rules/more.x.keys", "binds a whole service"),
		Entry("a key apart from itself", "rules/more", `{"x": {"kind": "apart", "service": "print-floor", "keys": [{"scheme": "mat/floor", "name": "design/00000017"}, {"scheme": "mat/catalogue", "prefix": "MAT-17"}]}}`, "rules/more.x.keys", "apart from itself"),
		Entry("a rule that excludes all home regions of a tenant", "rules/more", `{"x": {"kind": "pin", "service": "order-desk", "regions": ["uusimaa"]}}`, "rules/more.x", "tenant oulu-shops of section tenants/shops"),
		Entry("store region that is not in the topology", "topology", `{"storeRegion": "lappi", "regions": {"uusimaa": {"domains": {"helsinki-a": {}}}}}`, "topology.storeRegion", "uusimaa"),
		Entry("every failure domain out", "topology", `{"storeRegion": "uusimaa", "regions": {"uusimaa": {"domains": {"helsinki-a": {"state": "out"}}}}}`, "topology", "at least one failure domain that is in"),
	)

	It("reports the faults of all sections at once", func() {
		sections := example("kynnysmatto")
		sections["classes"] = json.RawMessage(`{"stock": {"share": 2, "queueLength": -1}, "order": {}, "lookup": {}, "download": {}}`)
		sections["services/desk"] = json.RawMessage(`{"order-desk": {"slots": 3}}`)
		_, faults := ibisdoc.Compile(1, sections)
		Expect(faults).To(HaveLen(3))
		Expect(faults.Error()).To(ContainSubstring("classes.stock.share"))
	})

	It("omits tokens and their hashes from faults", func() {
		sections := example("kynnysmatto")
		sections["tenants/keskus"] = json.RawMessage(`{"keskus": {"accounts": {"floor": {"tokens": [{"salt": "5ec2e7", "sha256": "5ec2e7"}]}}}}`)
		_, faults := ibisdoc.Compile(1, sections)
		Expect(faults).NotTo(BeEmpty())
		Expect(faults.Error()).NotTo(ContainSubstring("5ec2e7"))
	})
})
