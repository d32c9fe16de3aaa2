package ibisdoc_test

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

const bigDocument = 10 << 20

// bigSections returns the sample of Kynnysmatto with tenants, accounts, routes and rules up to about the given size in bytes,
// and the total size of their text.
func bigSections(tb testing.TB, size int) (ibisdoc.Sections, int) {
	text, err := os.ReadFile("../../../examples/kynnysmatto/document.json")
	if err != nil {
		tb.Fatal(err)
	}
	var sections ibisdoc.Sections
	if err := json.Unmarshal(text, &sections); err != nil {
		tb.Fatal(err)
	}
	total := len(text)
	hash := ibisdoc.HashToken("sample")
	for i := 0; total < size; i++ {
		tenants, rules, routes := map[string]ibisdoc.Tenant{}, map[string]ibisdoc.Rule{}, map[string]ibisdoc.Route{}
		for j := range 50 {
			name := fmt.Sprintf("t%d-%d", i, j)
			tenants[name] = ibisdoc.Tenant{Accounts: map[string]ibisdoc.Account{"a": {
				Tokens: []ibisdoc.TokenHash{hash, hash},
				Routes: []string{"design-lookup", "artwork"},
				Keys: []ibisdoc.KeySelector{{
					Scheme: "mat/catalogue",
					From:   "MAT-2",
					To:     "MAT-900",
				}, {
					Scheme: "mat/urn",
					Prefix: "urn:kk:mat:77",
				}},
			}}}
			routes[name] = ibisdoc.Route{
				Methods: []string{"GET"},
				Path:    "/" + name + "/{key}/artwork",
				Scheme:  "mat/floor",
				Service: "print-floor",
				Class:   "lookup",
			}
		}
		rules[fmt.Sprintf("r%d", i)] = ibisdoc.Rule{
			Kind:    ibisdoc.RulePin,
			Service: "print-floor",
			Regions: nil,
			Domains: nil,
			Keys: []ibisdoc.KeySelector{{
				Scheme: "mat/urn",
				Name:   fmt.Sprintf("urn:kk:mat:%d", 1000000+i),
			}},
		}
		rule := rules[fmt.Sprintf("r%d", i)]
		rule.Domains = append(rule.Domains, "nokia-b")
		rules[fmt.Sprintf("r%d", i)] = rule
		for kind, content := range map[string]any{"tenants": tenants, "rules": rules, "routes": routes} {
			text, err := json.Marshal(content)
			if err != nil {
				tb.Fatal(err)
			}
			sections[ibisdoc.SectionName(fmt.Sprintf("%s/x%d", kind, i))] = text
			total += len(text)
		}
	}
	delete(sections, "teams")
	return sections, total
}

func BenchmarkCompile(b *testing.B) {
	for _, size := range []int{bigDocument / 100, bigDocument / 10, bigDocument} {
		sections, total := bigSections(b, size)
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			b.SetBytes(int64(total))
			for b.Loop() {
				if _, faults := ibisdoc.Compile(1, sections); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(len(sections)), "sections")
			b.ReportMetric(retained(sections)/(1<<20), "kept-MB")
		})
	}
}

// retained returns the heap size in bytes of a compiled document, not counting its text.
func retained(sections ibisdoc.Sections) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	doc, _ := ibisdoc.Compile(1, sections)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(doc)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkCompileChange recompiles a document after a change of one section of tenants.
func BenchmarkCompileChange(b *testing.B) {
	for _, size := range []int{bigDocument / 100, bigDocument / 10, bigDocument} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) { compileChange(b, size) })
	}
}

func compileChange(b *testing.B, size int) {
	sections, _ := bigSections(b, size)
	compiler := ibisdoc.NewCompiler()
	texts := []json.RawMessage{json.RawMessage(`{"added": {"accounts": {}}}`), json.RawMessage(`{"other": {"accounts": {}}}`)}
	for i := 0; b.Loop(); i++ {
		sections["tenants/added"] = texts[i%2]
		if _, faults := compiler.Compile(1, sections); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkMatchRoute(b *testing.B) {
	for _, size := range []int{1, bigDocument} {
		sections, _ := bigSections(b, size)
		doc, faults := ibisdoc.Compile(1, sections)
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		b.Run(fmt.Sprintf("%dRoutes", len(doc.Content().Routes)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, status := doc.MatchRoute("POST", "shop.example", "/floor/design/00000042/prints"); status != ibisdoc.MatchFound {
					b.Fatal(status)
				}
			}
		})
	}
}

func BenchmarkAccount(b *testing.B) {
	sections, _ := bigSections(b, bigDocument)
	token, hash := ibisdoc.NewAccountToken("known", "a")
	text, err := json.Marshal(map[string]ibisdoc.Tenant{"known": {Accounts: map[string]ibisdoc.Account{"a": {Tokens: []ibisdoc.TokenHash{hash}}}}})
	if err != nil {
		b.Fatal(err)
	}
	sections["tenants/known"] = text
	doc, faults := ibisdoc.Compile(1, sections)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := doc.AuthenticateAccount(token); !ok {
			b.Fatal("a valid token of a known account was rejected")
		}
	}
}

func BenchmarkPlacement(b *testing.B) {
	sections, _ := bigSections(b, bigDocument)
	doc, faults := ibisdoc.Compile(1, sections)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	b.ReportAllocs()
	for b.Loop() {
		doc.Placement("print-floor", "", "mat:42")
	}
}
