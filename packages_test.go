package ibisridge_test

import (
	"bytes"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestPackagesPage checks that the table of docs/PACKAGES.md lists exactly the imports between areas.
func TestPackagesPage(t *testing.T) {
	text, err := os.ReadFile("docs/PACKAGES.md")
	if err != nil {
		t.Fatal(err)
	}
	found := importsOfAreas(t)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\w+) \| ?([\w, ]*)\|$`).FindAllStringSubmatch(string(text), -1) {
		documented[row[1]] = strings.TrimSpace(row[2])
	}
	for area, imports := range found {
		delete(imports, area)
		// An area that the page lists among its own imports is ignored, as in found.
		documented[area] = strings.TrimPrefix(strings.ReplaceAll(", "+documented[area], ", "+area, ""), ", ")
		if want := strings.Join(slices.Sorted(maps.Keys(imports)), ", "); documented[area] != want {
			t.Errorf("%s imports %q, but docs/PACKAGES.md lists %q", area, want, documented[area])
		}
	}
}

// importsOfAreas returns, for each area, the areas whose packages it imports.
func importsOfAreas(t *testing.T) map[string]map[string]bool {
	list, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./...").Output()
	if err != nil {
		t.Fatal("list the packages: ", err)
	}
	found := map[string]map[string]bool{}
	for line := range strings.Lines(string(list)) {
		paths := strings.Fields(line)
		area := areaOf(paths[0])
		if found[area] == nil {
			found[area] = map[string]bool{}
		}
		for _, path := range paths[1:] {
			if strings.HasPrefix(path, rootPath) {
				found[area][areaOf(path)] = true
			}
		}
	}
	return found
}

// areaOf returns the area of a package of the module: the directory under internal, or the first directory, or root.
func areaOf(path string) string {
	rest := strings.TrimPrefix(strings.TrimPrefix(path, rootPath), "/")
	area, _, _ := strings.Cut(strings.TrimPrefix(rest, "internal/"), "/")
	if area == "" {
		return "root"
	}
	return area
}

// hasTest reports whether a test file of a package under internal or of a command contains the title.
func hasTest(t *testing.T, pkg, title string) bool {
	files, err := filepath.Glob("internal/*/" + pkg + "/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	commands, err := filepath.Glob("cmd/" + pkg + "/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	files = append(files, commands...)
	return slices.ContainsFunc(files, func(file string) bool {
		text, err := os.ReadFile(file)
		return err == nil && bytes.Contains(text, []byte(title))
	})
}

// TestProofsPage checks that every test and scenario that docs/PROOFS.md names exists.
func TestProofsPage(t *testing.T) {
	text, err := os.ReadFile("docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile("`(ibis\\w+)` \"([^\"]+)\"").FindAllStringSubmatch(string(text), -1)
	if len(named) == 0 {
		t.Fatal("docs/PROOFS.md names no test")
	}
	for _, n := range named {
		if !hasTest(t, n[1], n[2]) {
			t.Errorf("%s has no test %q", n[1], n[2])
		}
	}
	for _, file := range regexp.MustCompile("`(scenarios/[^`]+)`").FindAllStringSubmatch(string(text), -1) {
		if _, err := os.Stat(file[1]); err != nil {
			t.Errorf("no scenario: %v", err)
		}
	}
}

// TestPlatformWords checks that the platform's names of headers, paths and fields occur only in platform/, in the
// stand-ins and soak runs that use its protocol, and in tests.
func TestPlatformWords(t *testing.T) {
	words := []string{
		"Attempt-Id", "Time-Remaining-Ms", "Expected-Instance", "Caller-Service", "Not-Executed", "Shard-Key", "Server-Seal",
		"rows-tx", "rows-get", "rows-feed", "/-/instances/", "in_service", "coldLeftMs", "weightedSplit", "ruleSet",
		"apiKeys", "authExempt", "ratePerS",
	}
	list, err := exec.Command("git", "ls-files", "*.go").Output()
	if err != nil {
		t.Fatal("list the files: ", err)
	}
	for file := range strings.Lines(string(list)) {
		file = strings.TrimSpace(file)
		allowed := strings.HasPrefix(file, "platform/") || strings.HasPrefix(file, "internal/standin/") ||
			strings.HasPrefix(file, "internal/measure/ibissoak/") || strings.HasSuffix(file, "_test.go")
		if allowed {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, word := range words {
			if bytes.Contains(text, []byte(word)) {
				t.Errorf("%s contains the platform name %q, which only platform/ may use", file, word)
			}
		}
	}
}
