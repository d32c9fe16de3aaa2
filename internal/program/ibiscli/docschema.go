package ibiscli

import (
	"context"
	"slices"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

type docSchemaCommand struct {
	Kind string `arg:"positional,required" placeholder:"KIND" help:"kind of section, such as routes"`
}

// Description returns what the command is for, for its help.
func (docSchemaCommand) Description() string {
	return "Writes the JSON Schema of a kind of section, so that an editor completes and checks it; it asks no node."
}

func (*docSchemaCommand) examples() string {
	return `  ibisridge doc schema routes > routes.schema.json`
}

func (c *docSchemaCommand) run(_ context.Context, t Terminal) error {
	kind := ibisdoc.SectionKind(c.Kind)
	if !slices.Contains(ibisdoc.Kinds(), kind) {
		return usageError("KIND: %q must be one of %v", c.Kind, ibisdoc.Kinds())
	}
	return writeJSON(t.Out, ibisdoc.SectionSchema(kind))
}
