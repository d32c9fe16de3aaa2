package ibisdoc_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// fuzzSections is a small valid document.
func fuzzSections() ibisdoc.Sections {
	return ibisdoc.Sections{
		"topology":  json.RawMessage(`{"regions":{"uusimaa":{"domains":{"helsinki-a":{},"espoo-b":{"state":"out"}}}},"storeRegion":"uusimaa"}`),
		"teams":     json.RawMessage(`{}`),
		"keySpaces": json.RawMessage(`{"mat":{"fields":[{"name":"design","type":"int","max":999999}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`),
		"services":  json.RawMessage(`{"print-floor":{"keySpace":"mat","slots":64}}`),
		"classes":   json.RawMessage(`{"lookup":{"priority":1,"deadline":"8s"}}`),
		"routes":    json.RawMessage(`{"erp":{"methods":["GET"],"path":"/erp/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup"}}`),
		"tenants":   json.RawMessage(`{"shop":{"homes":["uusimaa"]}}`),
		"rules":     json.RawMessage(`[]`),
	}
}

// FuzzSection checks that any text of a section gives either a document or faults, with the same result each time, and that
// matching requests with the document does not panic.
func FuzzSection(f *testing.F) {
	for name, text := range fuzzSections() {
		f.Add(string(name), []byte(text), "/erp/MAT-17")
	}
	f.Add("routes", []byte(`{"a":{"methods":["GET"],"path":"/{key}/{key}"}}`), "/%2F")
	f.Add("topology", []byte(`{"regions":null}`), "")
	f.Add("classes", []byte(`{"a":{"deadline":"-1s"},"a":1}`), "//")
	f.Add("tenants", []byte("\xff"), "/")
	f.Fuzz(func(t *testing.T, name string, text []byte, path string) {
		sections := fuzzSections()
		sections[ibisdoc.SectionName(name)] = text
		doc, faults := ibisdoc.Compile(7, sections)
		if (doc == nil) != (len(faults) > 0) {
			t.Fatalf("compiled a document: %t, with %d faults; a document must be returned if and only if there are no faults", doc != nil, len(faults))
		}
		again, faultsAgain := ibisdoc.Compile(7, sections)
		if (again == nil) != (doc == nil) || faultsAgain.Error() != faults.Error() {
			t.Fatalf("two compiles of the same sections: faults %q, then %q", faults.Error(), faultsAgain.Error())
		}
		if doc == nil {
			return
		}
		match, status := doc.MatchRoute("GET", "", path)
		if status == ibisdoc.MatchFound {
			doc.SlotSpaceFor(match, "shop")
		}
	})
}

// FuzzMerge checks that a merge of any three texts ends, is deterministic, and keeps changes that only one side made.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"a":1}`), []byte(`{"a":2}`), []byte(`{"a":1,"b":3}`))
	f.Add([]byte(`{"a":{"b":[1,2]}}`), []byte(`{"a":null}`), []byte(`{}`))
	f.Add([]byte(``), []byte(`{`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, base, yours, theirs []byte) {
		if !json.Valid(base) || !json.Valid(yours) || !json.Valid(theirs) {
			return
		}
		if differences, merged := ibissection.Merge(base, yours, base); len(differences) > 0 && merged == nil {
			t.Fatalf("one-sided change %s of %s is reported as a conflict: %v", yours, base, differences)
		}
		differences, merged := ibissection.Merge(base, yours, theirs)
		_, mergedAgain := ibissection.Merge(base, yours, theirs)
		if !bytes.Equal(merged, mergedAgain) {
			t.Fatalf("two merges of the same texts: %s, then %s (%d differences)", merged, mergedAgain, len(differences))
		}
	})
}
