package ibisjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/ibisridge/ibisridge/internal/base/ibisjson"
)

// TestPrune guards against an entry of a list that makes the whole list undecodable by its nesting.
func TestPrune(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)
	tests := []struct{ name, text, want string }{
		{"nothing", ``, ``},
		{"shallow", `{"a":[1,"]["]}`, `{"a":[1,"]["]}`},
		{"one level too deep", `[[[1],2],"x"]`, `[[null,2],"x"]`},
		{"two in a row", `[[{"a":[]},[[]]]]`, `[[null,null]]`},
		{"brackets in texts", `[["[\"[",[1]]]`, `[["[\"[",null]]`},
		{"a backslash at the end of a text", `[["\\",[1]]]`, `[["\\",null]]`},
		{"very deep beside sound entries", `["first",` + deep + `,"last"]`, `["first",{"a":null},"last"]`},
		{"unclosed", `[[[1`, `[[null`},
		{"closed too often", `]]]`, `]]]`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := string(ibisjson.Prune([]byte(test.text), 2)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func FuzzPrune(f *testing.F) {
	f.Add([]byte(`[[[1],{"a":[{}]}],"x\\\""]`), 2)
	f.Fuzz(func(t *testing.T, text []byte, depth int) {
		depth = 1 + (depth&0xff)%8
		pruned := ibisjson.Prune(text, depth)
		if !json.Valid(text) {
			return
		}
		if !json.Valid(pruned) {
			t.Errorf("valid before, not after: %q", pruned)
		}
		if again := ibisjson.Prune(pruned, depth); string(again) != string(pruned) {
			t.Errorf("pruned twice %q, once %q", again, pruned)
		}
	})
}
