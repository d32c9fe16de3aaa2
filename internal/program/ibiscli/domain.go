package ibiscli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// domainCommands holds the commands about failure domains.
type domainCommands struct {
	Out *domainOutCommand `arg:"subcommand:out" help:"take a failure domain out"`
	In  *domainInCommand  `arg:"subcommand:in" help:"bring a failure domain back"`
}

// Description returns what the commands are for, for their help.
func (domainCommands) Description() string { return "Takes failure domains out and brings them back." }

func (*domainCommands) examples() string {
	return `  ibisridge domain out espoo-b --message "rack work"
  ibisridge domain in espoo-b`
}

// domainFlags name the failure domain to change.
type domainFlags struct {
	Domain  string        `arg:"positional,required" placeholder:"DOMAIN" help:"failure domain"`
	Message string        `arg:"--message,-m" placeholder:"TEXT" help:"why the change is made"`
	Wait    time.Duration `arg:"--wait" default:"10s" help:"how long to wait until the change is in force everywhere"`
	JSON    bool          `arg:"--json" help:"write the result as JSON"`
	operatorFlags
}

type domainOutCommand struct{ domainFlags }

// Description returns what the command is for, for its help.
func (domainOutCommand) Description() string {
	return "Takes a failure domain out: its nodes refuse new work, finish what runs and hand over their slots."
}

func (*domainOutCommand) examples() string {
	return `  ibisridge domain out espoo-b --message "rack work"`
}

func (c *domainOutCommand) run(ctx context.Context, t Terminal) error {
	return c.change(ctx, t, ibisdoc.DomainOut)
}

type domainInCommand struct{ domainFlags }

// Description returns what the command is for, for its help.
func (domainInCommand) Description() string {
	return "Brings a failure domain back; its share of the work grows over the domain's ramp."
}

func (*domainInCommand) examples() string {
	return `  ibisridge domain in espoo-b`
}

func (c *domainInCommand) run(ctx context.Context, t Terminal) error {
	return c.change(ctx, t, ibisdoc.DomainIn)
}

// change is a short form of a change of the section of the topology.
func (f domainFlags) change(ctx context.Context, t Terminal, state ibisdoc.DomainState) error {
	f.Timeout += f.Wait
	client := f.client()
	document, err := client.Document(ctx, 0)
	if err != nil {
		return operatorError(err)
	}
	name, text, err := withDomainState(document.Sections, ibisid.DomainName(f.Domain), state)
	if err != nil {
		return err
	}
	result, err := sendChange(ctx, client, ibisoperator.Change{
		Base:       document.Revision,
		Sections:   map[ibisdoc.SectionName]json.RawMessage{name: text},
		Message:    f.Message,
		WaitMillis: f.Wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return writeResult(t, result, f.JSON)
}

// withDomainState returns the section that defines the failure domain and its text with the new state.
func withDomainState(sections ibisdoc.Sections, domain ibisid.DomainName, state ibisdoc.DomainState) (ibisdoc.SectionName, json.RawMessage, error) {
	var known []ibisid.DomainName
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if name.Kind() != ibisdoc.SectionName("topology").Kind() {
			continue
		}
		var topology ibisdoc.Topology
		if err := json.Unmarshal(sections[name], &topology); err != nil {
			return "", nil, fmt.Errorf("section %s: %w", name, err)
		}
		for _, region := range topology.Regions {
			known = append(known, slices.Collect(maps.Keys(region.Domains))...)
			found, ok := region.Domains[domain]
			if !ok {
				continue
			}
			found.State = state
			region.Domains[domain] = found
			text, err := json.Marshal(topology)
			return name, text, err
		}
	}
	slices.Sort(known)
	return "", nil, fmt.Errorf("%w: domain: %q must be one of %v", errRefused, domain, known)
}
