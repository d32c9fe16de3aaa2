package ibisname_test

import (
	"testing"

	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

func compilePlots(tb testing.TB) *ibisname.Space {
	space, faults := ibisname.Compile("plot", plots())
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	return space
}

func TestTranslateAllocatesOnlyTheResult(t *testing.T) {
	space := compilePlots(t)
	parseAllocations := testing.AllocsPerRun(100, func() { _, _ = space.Canonical("names", "mapanawathura/42") })
	spellAllocations := testing.AllocsPerRun(100, func() { _, _ = space.Spell("treasury", "plot:7/42") })
	if parseAllocations != 1 || spellAllocations != 1 {
		t.Fatalf("allocations: Canonical %v, Spell %v; want 1 each", parseAllocations, spellAllocations)
	}
}

func BenchmarkTranslate(b *testing.B) {
	space := compilePlots(b)
	b.ReportAllocs()
	for b.Loop() {
		key, err := space.Canonical("names", "mapanawathura/42")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := space.Spell("treasury", key); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSelectorMatch(b *testing.B) {
	selector, err := compilePlots(b).SelectRange("society", "3.100", "7.50")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		selector.Match("plot:7/42")
	}
}
