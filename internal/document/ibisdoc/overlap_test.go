package ibisdoc_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

var _ = Describe("Routes", func() {
	// compile compiles the sample with the given routes as its only routes and without tenants.
	compile := func(routes map[string]ibisdoc.Route) (*ibisdoc.Document, ibisdoc.Faults) {
		sections := example("kynnysmatto")
		for name := range sections {
			if kind := name.Kind(); kind == ibisdoc.KindTenants || kind == ibisdoc.KindRoutes {
				delete(sections, name)
			}
		}
		text, err := json.Marshal(routes)
		Expect(err).NotTo(HaveOccurred())
		sections["routes/orders"] = text
		return ibisdoc.Compile(1, sections)
	}

	It("are accepted together only if no path matches both", func() {
		schemes := []string{"order/till", "order/web", "order/urn", "mat/catalogue", "mat/floor"}
		draw := func(t *rapid.T, label string) ibisdoc.Route {
			pieces := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "design", "{key}", "{x}", "01-000000001", "7", "welcome"}), 1, 4).Draw(t, label)
			route := ibisdoc.Route{
				Methods: []string{"GET"},
				Path:    "/" + strings.Join(pieces, "/"),
				Service: "order-desk",
				Class:   "lookup",
			}
			if strings.Contains(route.Path, "{key}") {
				route.Scheme = rapid.SampledFrom(schemes).Draw(t, label+" scheme")
			}
			return route
		}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			one, two := draw(t, "one"), draw(t, "two")
			first, firstFaults := compile(map[string]ibisdoc.Route{"one": one})
			second, secondFaults := compile(map[string]ibisdoc.Route{"two": two})
			if len(firstFaults)+len(secondFaults) > 0 {
				return
			}
			_, faults := compile(map[string]ibisdoc.Route{"one": one, "two": two})
			for range 20 {
				words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "design", "01-000000001", "helsinki", "7", "urn:kk:order:1:7", "00000007", "MAT-7", "welcome"}), 1, 6)
				path := "/" + strings.Join(words.Draw(t, "path"), "/")
				_, a := first.MatchRoute("GET", "", path)
				_, b := second.MatchRoute("GET", "", path)
				if a == ibisdoc.MatchFound && b == ibisdoc.MatchFound && len(faults) == 0 {
					t.Fatalf("routes %s and %s are accepted together, but both match %s", one.Path, two.Path, path)
				}
			}
		})
	})
})
