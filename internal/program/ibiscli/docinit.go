package ibiscli

import (
	"context"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/platform"
)

type docInitCommand struct {
	File     string        `arg:"positional,required" placeholder:"FILE" help:"document file, - for the standard input"`
	Platform string        `arg:"--platform,env:IBISRIDGE_PLATFORM" default:"http://127.0.0.1:9000" placeholder:"URL" help:"base URL of the platform's store"`
	Timeout  time.Duration `arg:"--timeout" default:"10s" help:"how long the platform may take"`
}

// Description returns what the command is for, for its help.
func (docInitCommand) Description() string {
	return "Puts the first document into a platform that holds none; later changes go through a node."
}

func (*docInitCommand) examples() string {
	return `  ibisridge doc init document.json --platform http://127.0.0.1:9000`
}

func (c *docInitCommand) run(ctx context.Context, t Terminal) error {
	sections, err := readSections(c.File, t)
	if err != nil {
		return err
	}
	if _, faults := ibisdoc.Compile(1, sections); len(faults) > 0 {
		writeFaults(t, sections, faults)
		return fmt.Errorf("%w: %d faults", errNotValid, len(faults))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := putFirstDocument(ctx, platform.NewTable(c.Platform, c.Timeout), sections); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.Out, "%s: %d sections\n", green(t, "put"), len(sections))
	return nil
}
