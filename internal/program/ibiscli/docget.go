package ibiscli

import (
	"context"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

type docGetCommand struct {
	Section  string `arg:"positional" placeholder:"SECTION" help:"section, such as routes/orders [default: the whole document]"`
	Revision uint64 `arg:"--revision" help:"revision to print [default: the present one]"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (docGetCommand) Description() string {
	return "Prints the document, or one section of it, as JSON."
}

func (*docGetCommand) examples() string {
	return `  ibisridge doc get > document.json
  ibisridge doc get routes/orders > orders.json
  ibisridge doc get topology --revision 41`
}

func (c *docGetCommand) run(ctx context.Context, t Terminal) error {
	document, err := c.client().Document(ctx, ibisid.Revision(c.Revision))
	if err != nil {
		return operatorError(err)
	}
	_, _ = fmt.Fprintf(t.Err, "revision %d\n", document.Revision)
	if c.Section == "" {
		return writeJSON(t.Out, document.Sections)
	}
	section, ok := document.Sections[ibisdoc.SectionName(c.Section)]
	if !ok {
		return fmt.Errorf("%w: revision %d has no section %q", errRefused, document.Revision, c.Section)
	}
	return writeJSON(t.Out, section)
}
