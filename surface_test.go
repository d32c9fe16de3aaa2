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
	s := typeWalker{
		named: map[*types.TypeName]bool{},
		seen:  map[types.Type]bool{},
	}
	for _, name := range root.Scope().Names() {
		if object, ok := root.Scope().Lookup(name).(*types.TypeName); ok && object.Exported() {
			if named, ok := types.Unalias(object.Type()).(*types.Named); ok {
				s.named[named.Obj()] = true
			}
		}
	}
	for _, name := range root.Scope().Names() {
		if object := root.Scope().Lookup(name); object.Exported() {
			s.walk(object.Type(), name)
		}
	}
	for _, missing := range s.missing {
		t.Error(missing)
	}
}

type typeWalker struct {
	named   map[*types.TypeName]bool
	seen    map[types.Type]bool
	missing []string
}

func (s *typeWalker) walk(typ types.Type, path string) {
	typ = types.Unalias(typ)
	if s.seen[typ] {
		return
	}
	s.seen[typ] = true
	switch typ := typ.(type) {
	case *types.Named:
		s.walkNamed(typ, path)
	case *types.Struct:
		for i := range typ.NumFields() {
			if f := typ.Field(i); f.Exported() {
				s.walk(f.Type(), path+"."+f.Name())
			}
		}
	case *types.Signature:
		s.walk(typ.Params(), path)
		s.walk(typ.Results(), path)
	case *types.Tuple:
		for i := range typ.Len() {
			s.walk(typ.At(i).Type(), path)
		}
	case *types.Interface:
		for i := range typ.NumMethods() {
			if m := typ.Method(i); m.Exported() {
				s.walk(m.Type(), path+"."+m.Name())
			}
		}
	case *types.Map:
		s.walk(typ.Key(), path)
		s.walk(typ.Elem(), path)
	case interface{ Elem() types.Type }:
		s.walk(typ.Elem(), path)
	}
}

func (s *typeWalker) walkNamed(typ *types.Named, path string) {
	pkg := typ.Obj().Pkg()
	if pkg == nil || !strings.HasPrefix(pkg.Path(), rootPath) {
		return
	}
	if !s.named[typ.Obj()] && pkg.Path() != rootPath {
		s.missing = append(s.missing, path+" uses "+typ.String()+", which has no name in the root package")
	}
	s.walk(typ.Underlying(), path)
	for i := range typ.NumMethods() {
		if m := typ.Method(i); m.Exported() {
			s.walk(m.Type(), path+"."+m.Name())
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
