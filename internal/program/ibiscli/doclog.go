package ibiscli

import (
	"context"
	"strconv"
	"strings"
	"time"
)

type docLogCommand struct {
	Limit int  `arg:"--limit" default:"20" help:"number of changes, newest first"`
	JSON  bool `arg:"--json" help:"write the changes as JSON"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (docLogCommand) Description() string {
	return "Lists the changes of the document: revision, when, who, which sections and why."
}

func (*docLogCommand) examples() string {
	return `  ibisridge doc log
  ibisridge doc log --limit 100 --json`
}

func (c *docLogCommand) run(ctx context.Context, t Terminal) error {
	if c.Limit < 1 {
		return usageError("--limit: %d must be 1 or more", c.Limit)
	}
	entries, err := c.client().Log(ctx, c.Limit)
	if err != nil {
		return operatorError(err)
	}
	if c.JSON {
		return writeJSON(t.Out, entries)
	}
	list := table{
		header: []string{"REVISION", "WHEN", "TEAM", "SECTIONS", "MESSAGE"},
	}
	for _, entry := range entries {
		var sections []string
		for _, name := range entry.Sections {
			sections = append(sections, string(name))
		}
		list.add(strconv.FormatUint(uint64(entry.Revision), 10), entry.At.UTC().Format(time.RFC3339), string(entry.Team),
			strings.Join(sections, " "), entry.Message)
	}
	list.write(t)
	return nil
}
