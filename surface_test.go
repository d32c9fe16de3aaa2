package ibisridge_test

import (
	"go/importer"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const rootPath = "github.com/ibisridge/ibisridge"

// TestExportedTypesHaveNames checks that every type that is reachable from the package's exported names has an exported
// name in the package, so that no program outside the module needs an internal package.
func TestExportedTypesHaveNames(t *testing.T) {
	root := loadRoot(t)
	walker := typeWalker{
		named: map[*types.TypeName]bool{},
		seen:  map[types.Type]bool{},
	}
	for _, name := range root.Scope().Names() {
		if object, ok := root.Scope().Lookup(name).(*types.TypeName); ok && object.Exported() {
			if named, ok := types.Unalias(object.Type()).(*types.Named); ok {
				walker.named[named.Obj()] = true
			}
		}
	}
	for _, name := range root.Scope().Names() {
		if object := root.Scope().Lookup(name); object.Exported() {
			walker.walk(object.Type(), name)
		}
	}
	for _, missing := range walker.missing {
		t.Error(missing)
	}
}

// typeWalker visits every type that is reachable from the exported names.
type typeWalker struct {
	// named are the types that have an exported name in the root package.
	named map[*types.TypeName]bool
	// seen are the visited types, so that recursive types end the walk.
	seen map[types.Type]bool
	// missing describes the reachable types without a name in the root package.
	missing []string
}

func (w *typeWalker) walk(typ types.Type, path string) {
	typ = types.Unalias(typ)
	if w.seen[typ] {
		return
	}
	w.seen[typ] = true
	switch typ := typ.(type) {
	case *types.Named:
		w.walkNamed(typ, path)
	case *types.Struct:
		for i := range typ.NumFields() {
			if f := typ.Field(i); f.Exported() {
				w.walk(f.Type(), path+"."+f.Name())
			}
		}
	case *types.Signature:
		w.walk(typ.Params(), path)
		w.walk(typ.Results(), path)
	case *types.Tuple:
		for i := range typ.Len() {
			w.walk(typ.At(i).Type(), path)
		}
	case *types.Interface:
		for i := range typ.NumMethods() {
			if m := typ.Method(i); m.Exported() {
				w.walk(m.Type(), path+"."+m.Name())
			}
		}
	case *types.Map:
		w.walk(typ.Key(), path)
		w.walk(typ.Elem(), path)
	case interface{ Elem() types.Type }:
		w.walk(typ.Elem(), path)
	}
}

func (w *typeWalker) walkNamed(typ *types.Named, path string) {
	pkg := typ.Obj().Pkg()
	if pkg == nil || !strings.HasPrefix(pkg.Path(), rootPath) {
		return
	}
	if !w.named[typ.Obj()] && pkg.Path() != rootPath {
		w.missing = append(w.missing, path+" uses "+typ.String()+", which has no name in the root package")
	}
	w.walk(typ.Underlying(), path)
	for i := range typ.NumMethods() {
		if m := typ.Method(i); m.Exported() {
			w.walk(m.Type(), path+"."+m.Name())
		}
	}
}

// loadRoot imports the root package from the export data of the go command.
func loadRoot(t *testing.T) *types.Package {
	list, err := exec.Command("go", "list", "-export", "-deps", "-f", "{{.ImportPath}} {{.Export}}", rootPath).Output()
	if err != nil {
		t.Fatal("list the package: ", err)
	}
	exports := map[string]string{}
	for line := range strings.Lines(string(list)) {
		path, file, _ := strings.Cut(strings.TrimSpace(line), " ")
		exports[path] = file
	}
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	root, err := importer.ForCompiler(token.NewFileSet(), "gc", open).Import(rootPath)
	if err != nil {
		t.Fatal("import the package: ", err)
	}
	return root
}
