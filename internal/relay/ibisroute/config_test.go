package ibisroute_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisroute")
}

var _ = Describe("A Config", func() {
	route := func(name, host string, homes ...ibisid.RegionName) ibisroute.Route {
		return ibisroute.Route{
			Name: ibisid.ClassName(name), Host: host, Prefix: "/", Timeout: 1, MaxAttempts: 1, Homes: homes,
			Services: []ibisroute.WeightedService{{Service: "floor", Weight: 1}},
		}
	}
	config := func(routes ...ibisroute.Route) *ibisroute.Config {
		return ibisroute.New(1, ibisroute.Limits{}, []ibisroute.Service{{Name: "floor"}}, routes)
	}

	It("keeps routes of one name apart as classes, and names only those by their host", func() {
		faulty := route("same", "c")
		faulty.Fault = errors.New("unusable")
		var names []ibisid.ClassName
		for _, r := range config(route("same", "b"), route("same", "a"), route("one", "d"), faulty).Routes() {
			names = append(names, r.Name)
		}
		Expect(names).To(Equal([]ibisid.ClassName{"same (a/)", "same (b/)", "same", "one"}))
	})

	DescribeTable("has the same home regions for a service in whatever order its routes are read",
		func(expected []ibisid.RegionName, homes ...[]ibisid.RegionName) {
			for range 20 {
				var routes []ibisroute.Route
				for i, h := range homes {
					routes = append(routes, route("r", string(rune('a'+i)), h...))
				}
				Expect(config(routes...).Homes("floor")).To(BeEquivalentTo(expected))
			}
			Expect(config().Homes("floor")).To(BeEmpty())
		},
		Entry("no homes", nil, []ibisid.RegionName{}),
		Entry("common homes", []ibisid.RegionName{"north"}, []ibisid.RegionName{"south", "north"}, []ibisid.RegionName{}, []ibisid.RegionName{"west", "north"}),
		Entry("no common homes", []ibisid.RegionName{"north", "south"}, []ibisid.RegionName{"south"}, []ibisid.RegionName{"north"}),
	)
})
