package ibiscli

import (
	"context"
	"errors"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// docCommands holds the commands about the document.
type docCommands struct {
	Get    *docGetCommand    `arg:"subcommand:get" help:"print the document or a section"`
	Put    *docPutCommand    `arg:"subcommand:put" help:"change sections"`
	Check  *docCheckCommand  `arg:"subcommand:check" help:"check a document file without a node"`
	Diff   *docDiffCommand   `arg:"subcommand:diff" help:"compare two files, or two revisions"`
	Log    *docLogCommand    `arg:"subcommand:log" help:"list the changes"`
	Undo   *docUndoCommand   `arg:"subcommand:undo" help:"take back the change of a revision"`
	Init   *docInitCommand   `arg:"subcommand:init" help:"put the first document into an empty platform"`
	Token  *tokenCommand     `arg:"subcommand:token" help:"make a token for a team or an account"`
	Schema *docSchemaCommand `arg:"subcommand:schema" help:"write the JSON Schema of a kind of section"`
}

// Description returns what the commands are for, for their help.
func (docCommands) Description() string {
	return "Reads, checks and changes the document that the teams share."
}

func (*docCommands) examples() string {
	return `  ibisridge doc check document.json
  ibisridge doc init document.json --platform http://127.0.0.1:9000
  ibisridge doc get routes/orders
  ibisridge doc put routes/orders orders.json --message "proofs by phone"
  ibisridge doc log --limit 5
  ibisridge doc undo 42`
}

type docCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"document file, - for the standard input"`
	JSON bool   `arg:"--json" help:"write the faults as JSON"`
}

// Description returns what the command is for, for its help.
func (docCheckCommand) Description() string {
	return "Checks a document file as a whole, without a node, and lists every fault with its path, value and what is allowed."
}

func (*docCheckCommand) examples() string {
	return `  ibisridge doc check document.json
  ibisridge doc get | ibisridge doc check - --json`
}

var errNotValid = errors.New("document is not valid")

func (c *docCheckCommand) run(_ context.Context, t Terminal) error {
	sections, err := readSections(c.File, t)
	if err != nil {
		return err
	}
	_, faults := ibisdoc.Compile(1, sections)
	if c.JSON {
		if faults == nil {
			faults = ibisdoc.Faults{}
		}
		if err := writeJSON(t.Out, faults); err != nil {
			return err
		}
	} else {
		writeFaults(t, sections, faults)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w: %d faults", errNotValid, len(faults))
	}
	return nil
}

func writeFaults(t Terminal, sections ibisdoc.Sections, faults ibisdoc.Faults) {
	if len(faults) == 0 {
		_, _ = fmt.Fprintln(t.Out, green(t, "valid")+fmt.Sprintf(": %d sections", len(sections)))
		return
	}
	list := table{
		header: []string{"PATH", "VALUE", "ALLOWED"},
	}
	for _, fault := range faults {
		list.add(fault.Path, fault.Value, fault.Allowed)
	}
	list.write(t)
}
