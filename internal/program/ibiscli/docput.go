package ibiscli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

type docPutCommand struct {
	Section string        `arg:"positional,required" placeholder:"SECTION" help:"section to change, or \"all\" for every section of a document file"`
	File    string        `arg:"positional" placeholder:"FILE" help:"new content, - for the standard input [default: -]"`
	Base    uint64        `arg:"--base" help:"revision that the change started from [default: the present one]"`
	Delete  bool          `arg:"--delete" help:"remove the section"`
	Message string        `arg:"--message,-m" placeholder:"TEXT" help:"why the change is made"`
	Wait    time.Duration `arg:"--wait" default:"10s" help:"how long to wait until the change is in force everywhere"`
	JSON    bool          `arg:"--json" help:"write the result as JSON"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (docPutCommand) Description() string {
	return "Changes a section of the document. Where another change of the section came first, nothing is written and both are shown."
}

func (*docPutCommand) examples() string {
	return `  ibisridge doc put routes/orders orders.json --base 41 --message "proofs by phone"
  ibisridge doc put all document.json
  ibisridge doc put rules/night --delete`
}

func (c *docPutCommand) run(ctx context.Context, t Terminal) error {
	sections, err := c.sections(t)
	if err != nil {
		return err
	}
	change := ibisoperator.Change{
		Base:       ibisid.Revision(c.Base),
		Sections:   sections,
		Message:    c.Message,
		WaitMillis: c.Wait.Milliseconds(),
	}
	c.Timeout += c.Wait
	client := c.client()
	if change.Base == 0 {
		present, err := client.Document(ctx, 0)
		if err != nil {
			return operatorError(err)
		}
		change.Base = present.Revision
	}
	result, err := sendChange(ctx, client, change)
	if err != nil {
		return err
	}
	return writeResult(t, result, c.JSON)
}

func (c *docPutCommand) sections(t Terminal) (map[ibisdoc.SectionName]json.RawMessage, error) {
	if c.Delete {
		return map[ibisdoc.SectionName]json.RawMessage{ibisdoc.SectionName(c.Section): json.RawMessage("null")}, nil
	}
	file := c.File
	if file == "" {
		file = "-"
	}
	if c.Section == "all" {
		return readSections(file, t)
	}
	if !ibisdoc.SectionName(c.Section).Valid() {
		return nil, usageError("section: %q must be KIND or KIND/NAME, such as topology or routes/orders", c.Section)
	}
	text, err := readFile(file, t)
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, fmt.Errorf("%s: is not JSON", file)
	}
	return map[ibisdoc.SectionName]json.RawMessage{ibisdoc.SectionName(c.Section): text}, nil
}

// writeResult tells how a change ended; the error carries the exit code.
func writeResult(t Terminal, result ibisoperator.ChangeResult, asJSON bool) error {
	if asJSON {
		if err := writeJSON(t.Out, result); err != nil {
			return err
		}
	} else {
		describeResult(t, result)
	}
	switch result.Status {
	case ibisoperator.ChangeAccepted, ibisoperator.ChangePending:
		return nil
	case ibisoperator.ChangeInvalid:
		return fmt.Errorf("%w: %d faults", errNotValid, len(result.Faults))
	}
	return fmt.Errorf("%w: %s", errRefused, result.Status)
}

func describeResult(t Terminal, result ibisoperator.ChangeResult) {
	switch result.Status {
	case ibisoperator.ChangeAccepted:
		_, _ = fmt.Fprintf(t.Out, "%s: revision %d is in force everywhere\n", green(t, "accepted"), result.Revision)
	case ibisoperator.ChangePending:
		_, _ = fmt.Fprintf(t.Out, "pending: revision %d is committed, but not confirmed by %v\n", result.Revision, result.NotReached)
	case ibisoperator.ChangeInvalid:
		writeFaults(t, nil, result.Faults)
	default:
		_, _ = fmt.Fprintf(t.Out, "%s: %s\n", red(t, string(result.Status)), result.Detail)
	}
	for _, conflict := range result.Conflicts {
		_, _ = fmt.Fprintf(t.Out, "section %s: theirs since your base\n", conflict.Section)
		writeDiff(t, string(conflict.Section), conflict.Base, conflict.Theirs)
		_, _ = fmt.Fprintf(t.Out, "section %s: yours since your base\n", conflict.Section)
		writeDiff(t, string(conflict.Section), conflict.Base, conflict.Mine)
	}
}
