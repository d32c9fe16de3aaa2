package ibisdoc_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisdoc")
}

func example(name string) ibisdoc.Sections {
	text, err := os.ReadFile(filepath.Join("../../../examples", name, "document.json"))
	Expect(err).NotTo(HaveOccurred())
	var sections ibisdoc.Sections
	Expect(json.Unmarshal(text, &sections)).To(Succeed())
	return sections
}

func exampleDocument(name string) *ibisdoc.Document {
	doc, faults := ibisdoc.Compile(7, example(name))
	Expect(faults).To(BeEmpty())
	return doc
}

// exampleTokens returns the sample tokens that the README of an example lists.
func exampleTokens(name string) []string {
	text, err := os.ReadFile(filepath.Join("../../../examples", name, "README.md"))
	Expect(err).NotTo(HaveOccurred())
	return regexp.MustCompile(`ibis(team)?_[A-Za-z0-9.-]+_[0-9a-f]{48}`).FindAllString(string(text), -1)
}

var _ = Describe("Document", func() {
	DescribeTable("finds the route and the one key of a request", func(example, method, path, route, key string, status ibisdoc.MatchStatus) {
		match, got := exampleDocument(example).MatchRoute(method, "any.example", path)
		Expect(got).To(Equal(status))
		Expect(match.RouteName).To(Equal(route))
		Expect(string(match.Key)).To(Equal(key))
		Expect(match.HasKey).To(Equal(key != ""))
		Expect(match.Err != nil).To(Equal(status == ibisdoc.MatchBadName))
	},
		Entry("catalogue", "kynnysmatto", "GET", "/designs/MAT-42", "design-lookup", "mat:42", ibisdoc.MatchFound),
		Entry("artwork", "kynnysmatto", "GET", "/designs/MAT-42/artwork", "artwork", "mat:42", ibisdoc.MatchFound),
		Entry("a name with slashes", "kynnysmatto", "POST", "/floor/design/00000042/prints", "print-by-floor", "mat:42", ibisdoc.MatchFound),
		Entry("exception", "kynnysmatto", "GET", "/designs/welcome/artwork", "artwork", "mat:1", ibisdoc.MatchFound),
		Entry("no key", "kynnysmatto", "POST", "/orders", "place-order", "", ibisdoc.MatchFound),
		Entry("variable", "kynnysmatto", "GET", "/stock/rubber", "stock-check", "", ibisdoc.MatchFound),
		Entry("method", "kynnysmatto", "DELETE", "/designs/MAT-42", "", "", ibisdoc.MatchMethodNotAllowed),
		Entry("bad name", "kynnysmatto", "GET", "/designs/MAT-042", "", "", ibisdoc.MatchBadName),
		Entry("no route", "kynnysmatto", "GET", "/mats/MAT-42", "", "", ibisdoc.MatchNoRoute),
		Entry("too many path segments", "kynnysmatto", "GET", "/stock/rubber/black", "", "", ibisdoc.MatchNoRoute),
		Entry("clerk", "kandy", "GET", "/plots/07/000042/balance", "balance", "plot:7/42", ibisdoc.MatchFound),
		Entry("society", "kandy", "POST", "/society/plots/mapanawathura/42/payments", "payment-by-society", "plot:7/42", ibisdoc.MatchFound),
		Entry("treasury", "kandy", "GET", "/treasury/plots/KMADO-42-07", "treasury-check", "plot:7/42", ibisdoc.MatchFound),
	)

	It("authenticates the accounts and teams of the samples by their tokens and rejects all other tokens", func() {
		for _, name := range []string{"kynnysmatto", "kandy"} {
			doc := exampleDocument(name)
			teams := doc.Content().Teams
			for _, token := range exampleTokens(name) {
				_, account := doc.AuthenticateAccount(token)
				_, team := ibisdoc.AuthenticateTeam(teams, token)
				Expect(account).To(Equal(!strings.HasPrefix(token, "ibisteam_")))
				Expect(team).To(Equal(!account))
				wrong := token[:len(token)-1] + string(token[len(token)-1]^1)
				_, account = doc.AuthenticateAccount(wrong)
				_, team = ibisdoc.AuthenticateTeam(teams, wrong)
				Expect(account || team).To(BeFalse())
			}
		}
	})

	It("limits an account to its routes and keys in every naming scheme", func() {
		doc := exampleDocument("kandy")
		token := exampleTokens("kandy")
		i := slices.IndexFunc(token, func(t string) bool { return strings.HasPrefix(t, "ibis_societies.mapanawathura_") })
		account, ok := doc.AuthenticateAccount(token[i])
		Expect(ok).To(BeTrue())
		Expect(account.Tenant).To(Equal(ibisid.TenantName("societies")))
		Expect(account.MayUseRoute("balance-by-society")).To(BeTrue())
		Expect(account.MayUseRoute("ledger")).To(BeFalse())
		Expect(account.MayUseKey("plot:7/42")).To(BeTrue())
		Expect(account.MayUseKey("plot:8/42")).To(BeFalse())
		space, _ := doc.Space("plot")
		key, err := space.Canonical("treasury", "KMADO-42-07")
		Expect(err).NotTo(HaveOccurred())
		Expect(account.MayUseKey(key)).To(BeTrue())
	})

	It("accepts two tokens while one is rotated", func() {
		sections := example("kandy")
		first, firstHash := ibisdoc.NewAccountToken("gardeners", "web")
		second, secondHash := ibisdoc.NewAccountToken("gardeners", "web")
		text, err := json.Marshal(map[string]ibisdoc.Tenant{"gardeners": {
			Accounts: map[string]ibisdoc.Account{"web": {Tokens: []ibisdoc.TokenHash{firstHash, secondHash}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		sections["tenants/members"] = text
		doc, faults := ibisdoc.Compile(1, sections)
		Expect(faults).To(BeEmpty())
		for _, token := range []string{first, second} {
			_, ok := doc.AuthenticateAccount(token)
			Expect(ok).To(BeTrue())
		}
	})

	DescribeTable("places keys", func(service, tenant, key string, domains []ibisid.DomainName, rules []string) {
		placement := exampleDocument("kynnysmatto").Placement(ibisid.ServiceName(service), ibisid.TenantName(tenant), ibisname.Key(key))
		Expect(placement.Domains).To(Equal(domains))
		var applied []string
		for _, rule := range placement.Rules {
			applied = append(applied, rule.Name)
		}
		Expect(applied).To(Equal(rules))
		for i, domain := range domains {
			weight := 1.0
			if slices.Contains(rules, "oulu-half-share") && (domain == "oulu-a" || domain == "kempele-b") {
				weight = 0.5
			}
			Expect(placement.Weights[i]).To(Equal(weight))
		}
	},
		Entry("by rules for the service", "print-floor", "", "",
			[]ibisid.DomainName{"espoo-b", "helsinki-a", "kempele-b", "nokia-b", "oulu-a", "tampere-a"}, []string{"floor-over-regions", "oulu-half-share"}),
		Entry("by a rule for a range, which takes precedence over one for the service", "print-floor", "", "mat:700100",
			[]ibisid.DomainName{"nokia-b", "tampere-a"}, []string{"tampere-campaign", "oulu-half-share"}),
		Entry("by an apart rule", "print-floor", "", "mat:17",
			[]ibisid.DomainName{"espoo-b", "helsinki-a", "kempele-b", "nokia-b", "oulu-a", "tampere-a"}, []string{"best-sellers-apart", "floor-over-regions", "oulu-half-share"}),
		Entry("by home regions, which take precedence over all rules", "print-floor", "oulu-shops", "mat:700100",
			[]ibisid.DomainName{"kempele-b", "oulu-a"}, []string{"floor-over-regions", "oulu-half-share"}),
		Entry("without rules", "order-desk", "oulu-shops", "", []ibisid.DomainName{"kempele-b", "oulu-a"}, nil),
	)

	It("uses separate slots for tenants with home regions and hidden slots for services without keys", func() {
		doc := exampleDocument("kynnysmatto")
		prints, _ := doc.MatchRoute("POST", "", "/designs/MAT-42/prints")
		space, slots := doc.SlotSpaceFor(prints, "oulu-shops")
		Expect(space.String()).To(Equal("print-floor@oulu-shops"))
		Expect(slots).To(Equal(uint32(1024)))
		order, _ := doc.MatchRoute("POST", "", "/orders")
		space, _ = doc.SlotSpaceFor(order, "uusimaa-shops")
		Expect(space.String()).To(Equal("order-desk~once"))
	})

	It("returns the places and states of failure domains", func() {
		doc := exampleDocument("kynnysmatto")
		place, ok := doc.Place("nokia-b")
		Expect(ok).To(BeTrue())
		Expect(place.Region).To(Equal(ibisid.RegionName("pirkanmaa")))
		Expect(doc.DomainState("nokia-b")).To(Equal(ibisdoc.DomainIn))
		Expect(doc.DomainState("turku-a")).To(Equal(ibisdoc.DomainOut))
	})
})
