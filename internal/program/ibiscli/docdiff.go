package ibiscli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

type docDiffCommand struct {
	From string `arg:"positional,required" placeholder:"FROM" help:"document file, or a revision"`
	To   string `arg:"positional" placeholder:"TO" help:"document file, or a revision [default: the present revision]"`
	JSON bool   `arg:"--json" help:"write the differences as JSON"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (docDiffCommand) Description() string {
	return "Lists each value in which two documents differ, by its path. A number stands for a revision, anything else for a file."
}

func (*docDiffCommand) examples() string {
	return `  ibisridge doc diff 41
  ibisridge doc diff 41 42
  ibisridge doc diff old.json new.json --json`
}

// difference is one value that two documents do not share.
type difference struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

func (c *docDiffCommand) run(ctx context.Context, t Terminal) error {
	from, err := c.load(ctx, t, c.From)
	if err != nil {
		return err
	}
	to, err := c.load(ctx, t, c.To)
	if err != nil {
		return err
	}
	found := diffSections(from, to)
	if c.JSON {
		return writeJSON(t.Out, found)
	}
	writeDifferences(t, found)
	return nil
}

// load reads a file, or asks a node for a revision.
func (c *docDiffCommand) load(ctx context.Context, t Terminal, name string) (ibisdoc.Sections, error) {
	revision, err := strconv.ParseUint(name, 10, 64)
	if name != "" && err != nil {
		return readSections(name, t)
	}
	document, err := c.client().Document(ctx, ibisid.Revision(revision))
	if err != nil {
		return nil, operatorError(err)
	}
	return document.Sections, nil
}

func diffSections(from, to ibisdoc.Sections) []difference {
	names := ibisset.Of(slices.Collect(maps.Keys(from))...)
	for name := range to {
		names.Add(name)
	}
	found := []difference{}
	for _, name := range ibisset.Sorted(names) {
		found = append(found, diffText(string(name), from[name], to[name])...)
	}
	return found
}

func diffText(path string, from, to json.RawMessage) []difference {
	return diffValue(path, decodeValue(from), decodeValue(to))
}

// absent marks a value that one side does not have, which is not the same as null.
type absent struct{}

func decodeValue(text json.RawMessage) any {
	if len(bytes.TrimSpace(text)) == 0 {
		return absent{}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return string(text)
	}
	return v
}

// diffValue walks objects member by member and compares everything else as a whole.
func diffValue(path string, from, to any) []difference {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	a, fromObject := from.(map[string]any)
	b, toObject := to.(map[string]any)
	if !fromObject || !toObject {
		return []difference{{
			Path: path,
			From: encodeValue(from),
			To:   encodeValue(to),
		}}
	}
	names := ibisset.Of(slices.Collect(maps.Keys(a))...)
	for name := range b {
		names.Add(name)
	}
	var found []difference
	for _, name := range ibisset.Sorted(names) {
		found = append(found, diffValue(path+"."+name, member(a, name), member(b, name))...)
	}
	return found
}

func member(object map[string]any, name string) any {
	if v, ok := object[name]; ok {
		return v
	}
	return absent{}
}

func encodeValue(v any) json.RawMessage {
	if v == any(absent{}) {
		return nil
	}
	text, err := json.Marshal(v)
	if err != nil {
		panic("encode a value that was decoded: " + err.Error())
	}
	return text
}

func writeDiff(t Terminal, path string, from, to json.RawMessage) {
	writeDifferences(t, diffText(path, from, to))
}

func writeDifferences(t Terminal, found []difference) {
	for _, d := range found {
		_, _ = fmt.Fprintln(t.Out, bold(t, d.Path))
		if d.From != nil {
			_, _ = fmt.Fprintln(t.Out, red(t, "- "+string(d.From)))
		}
		if d.To != nil {
			_, _ = fmt.Fprintln(t.Out, green(t, "+ "+string(d.To)))
		}
	}
}
