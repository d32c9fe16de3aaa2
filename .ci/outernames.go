//go:build ignore

// Command outernames lists the names of a checkout that leave the process, so that a rename leaves them alone.
//
//	go run .ci/outernames.go > names.txt
//
// It reads the Go sources outside tests (tags of struct fields, fields and methods that gob and net/rpc write, string
// literals without a space) and the keys and words of the JSON, TOML and txtar files.
package main

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// Types whose values gob writes, and receivers that net/rpc serves: the roots of the search.
var (
	gobRoot  = regexp.MustCompile(`^(Args|Reply)$|(Args|Reply)$`)
	gobNames = []string{"ibisidempotency.Record", "ibisdocsync.None"}
	rpcTypes = map[string]bool{"ibisowner.calls": true, "ibisdocsync.Service": true, "ibisrowcache.Service": true}
	callArea = map[string]bool{"ibisowner": true, "ibisdocsync": true, "ibisrowcache": true}
	nameLike = regexp.MustCompile(`^[^\s\\]{2,}$`)
	letter   = regexp.MustCompile(`[A-Za-z]{2,}`)
	tomlKey  = regexp.MustCompile(`(?m)^\s*\[*([A-Za-z][A-Za-z0-9_.-]*)\]*(?:\s*=|\s*$)`)
	word     = regexp.MustCompile(`[A-Za-z][A-Za-z0-9_-]+`)
)

type lists map[string]map[string]bool

func (l lists) add(section, name string) {
	if l[section] == nil {
		l[section] = map[string]bool{}
	}
	l[section][name] = true
}

var (
	found   = lists{}
	structs = map[string]*ast.StructType{}
)

func main() {
	must(filepath.WalkDir(".", func(file string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal" || d.Name() == "rapid") {
			return filepath.SkipDir
		}
		switch filepath.Ext(file) {
		case ".go":
			if !strings.HasSuffix(file, "_test.go") {
				source(file)
			}
		case ".json":
			keys(file)
		case ".toml":
			matches(file, "keys of "+filepath.Dir(file)+"/*.toml", tomlKey)
		case ".txtar":
			matches(file, "words of scenarios and scripts", word)
		}
		return nil
	}))
	for name := range structs {
		pkg, short, _ := strings.Cut(name, ".")
		if callArea[pkg] && gobRoot.MatchString(short) {
			follow(name)
		}
	}
	for _, name := range gobNames {
		follow(name)
	}
	var sections []string
	for s := range found {
		sections = append(sections, s)
	}
	sort.Strings(sections)
	for _, s := range sections {
		var names []string
		for n := range found[s] {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Printf("\n== %s (%d)\n%s\n", s, len(names), strings.Join(names, "  "))
	}
}

func source(name string) {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	must(err)
	pkg := file.Name.Name
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.TypeSpec:
			if s, ok := n.Type.(*ast.StructType); ok {
				structs[pkg+"."+n.Name.Name] = s
			}
		case *ast.FuncDecl:
			if n.Recv != nil && n.Name.IsExported() && rpcTypes[pkg+"."+base(n.Recv.List[0].Type)] {
				found.add("methods that net/rpc calls by name", pkg+"."+base(n.Recv.List[0].Type)+"."+n.Name.Name)
			}
		case *ast.Field:
			if n.Tag != nil {
				tag(n)
				return false
			}
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				text, _ := strconv.Unquote(n.Value)
				if nameLike.MatchString(text) && letter.MatchString(text) {
					found.add("string literals without a space in "+path.Dir(name), text)
				}
			}
		}
		return true
	})
}

func tag(f *ast.Field) {
	text, _ := strconv.Unquote(f.Tag.Value)
	t := reflect.StructTag(text)
	field := ""
	if len(f.Names) > 0 {
		field = f.Names[0].Name
	}
	if v := strings.Split(t.Get("json"), ",")[0]; v != "" {
		found.add("json fields", v)
	} else if field != "" && t.Get("json") != "" {
		found.add("json fields", field)
	}
	if v, ok := t.Lookup("arg"); ok {
		long := "--" + strings.ToLower(field)
		for _, part := range strings.Split(v, ",") {
			if strings.HasPrefix(part, "--") || strings.HasPrefix(part, "subcommand:") || strings.HasPrefix(part, "env:") || strings.HasPrefix(part, "-") {
				long = part
			} else if part == "positional" {
				long = ""
			}
		}
		if long != "" {
			found.add("flags and subcommands", long)
		}
	} else if _, ok := t.Lookup("help"); ok {
		found.add("flags and subcommands", "--"+strings.ToLower(field))
	}
	if v := t.Get("placeholder"); v != "" {
		found.add("flags and subcommands", v)
	}
}

// follow adds the fields of a struct and of the structs that they hold.
func follow(name string) {
	s, ok := structs[name]
	if !ok || found["fields that gob writes under Go's own names"][name+" {}"] {
		return
	}
	pkg, _, _ := strings.Cut(name, ".")
	found.add("fields that gob writes under Go's own names", name+" {}")
	for _, f := range s.Fields.List {
		for _, id := range f.Names {
			if id.IsExported() {
				found.add("fields that gob writes under Go's own names", name+"."+id.Name)
			}
		}
		ast.Inspect(f.Type, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok {
					follow(x.Name + "." + n.Sel.Name)
				}
				return false
			case *ast.Ident:
				follow(pkg + "." + n.Name)
			}
			return true
		})
	}
}

func base(e ast.Expr) string {
	if s, ok := e.(*ast.StarExpr); ok {
		e = s.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}

func keys(name string) {
	text, err := os.ReadFile(name)
	must(err)
	var v any
	if json.Unmarshal(text, &v) != nil {
		matches(name, "keys of "+filepath.Dir(name)+"/*.json", regexp.MustCompile(`"([A-Za-z][^"\s]*)"\s*:`))
		return
	}
	var walk func(any)
	walk = func(v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, e := range v {
				found.add("keys of "+filepath.Dir(name)+"/*.json", k)
				walk(e)
			}
		case []any:
			for _, e := range v {
				walk(e)
			}
		}
	}
	walk(v)
}

func matches(name, section string, expr *regexp.Regexp) {
	text, err := os.ReadFile(name)
	must(err)
	for _, m := range expr.FindAllStringSubmatch(string(text), -1) {
		found.add(section, m[len(m)-1])
	}
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "outernames:", err)
		os.Exit(1)
	}
}
