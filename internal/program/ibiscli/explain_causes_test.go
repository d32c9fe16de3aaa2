package ibiscli

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"
)

// Each reason that a node may log has words.
func TestEveryReasonHasACause(t *testing.T) {
	for _, file := range []string{"../../relay/ibismessage/answer.go", "../../request/ibisadmit/effect.go"} {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		ast.Inspect(parsed, func(n ast.Node) bool {
			value, ok := n.(*ast.ValueSpec)
			if !ok || !strings.HasPrefix(value.Names[0].Name, "Reason") || len(value.Values) != 1 {
				return true
			}
			reason, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			found++
			if causes[reason] == "" {
				t.Errorf("%s: %s %q has no words", file, value.Names[0].Name, reason)
			}
			return true
		})
		if found < 5 {
			t.Errorf("%s: %d reasons found, at least 5 expected", file, found)
		}
	}
}
