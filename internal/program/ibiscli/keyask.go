package ibiscli

import (
	"context"
	"fmt"
)

type keyTranslateCommand struct{ keyFlags }

// Description returns what the command is for, for its help.
func (keyTranslateCommand) Description() string {
	return "Shows the name of a key in every scheme of its key space."
}

func (*keyTranslateCommand) examples() string {
	return `  ibisridge key translate mat/catalogue MAT-4711
  ibisridge key translate mat/floor design/00004711 --document document.json --json`
}

func (c *keyTranslateCommand) run(ctx context.Context, t Terminal) error {
	key, err := c.ask(ctx, t)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(t.Out, key.Spellings)
	}
	writeSpellings(t, key)
	return nil
}

type keyOwnerCommand struct{ keyFlags }

// Description returns what the command is for, for its help.
func (keyOwnerCommand) Description() string {
	return "Shows the slot of a key in each service, its owner, fencing token and standbys."
}

func (*keyOwnerCommand) examples() string {
	return `  ibisridge key owner mat/catalogue MAT-4711
  ibisridge key owner mat/catalogue MAT-4711 --tenant oulu-shops --json`
}

func (c *keyOwnerCommand) run(ctx context.Context, t Terminal) error {
	key, err := c.ask(ctx, t)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(t.Out, key.Places)
	}
	writePlaces(t, key)
	return nil
}

type keyExplainCommand struct{ keyFlags }

// Description returns what the command is for, for its help.
func (keyExplainCommand) Description() string {
	return "Shows all names of a key, its slots and owners, and the placement rules that apply with the section that defines each."
}

func (*keyExplainCommand) examples() string {
	return `  ibisridge key explain mat/urn urn:kk:mat:4711
  ibisridge key explain mat/urn urn:kk:mat:4711 --document document.json`
}

func (c *keyExplainCommand) run(ctx context.Context, t Terminal) error {
	key, err := c.ask(ctx, t)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(t.Out, key)
	}
	_, _ = fmt.Fprintf(t.Out, "%s %s\n\n", bold(t, "key"), key.Key)
	writeSpellings(t, key)
	_, _ = fmt.Fprintln(t.Out)
	writePlaces(t, key)
	_, _ = fmt.Fprintln(t.Out)
	writeRules(t, key)
	return nil
}
