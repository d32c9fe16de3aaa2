package ibiscli

import (
	"context"
	"fmt"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

type tokenCommand struct {
	Team    string `arg:"--team" placeholder:"TEAM" help:"make a token for a team of operators"`
	Account string `arg:"--account" placeholder:"TENANT.ACCOUNT" help:"make a token for a client account"`
	JSON    bool   `arg:"--json" help:"write token and hash as JSON"`
}

// Description returns what the command is for, for its help.
func (tokenCommand) Description() string {
	return "Makes a token and the salted hash of it that goes into the document. The token is shown once and kept nowhere."
}

func (*tokenCommand) examples() string {
	return `  ibisridge doc token --team floor
  ibisridge doc token --account uusimaa-shops.till --json`
}

type tokenResult struct {
	Token string            `json:"token"`
	Hash  ibisdoc.TokenHash `json:"hash"`
}

func (c *tokenCommand) run(_ context.Context, t Terminal) error {
	result, err := c.make()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(t.Out, result)
	}
	_, _ = fmt.Fprintf(t.Out, "%s %s\n%s\n", bold(t, "token"), result.Token, bold(t, "hash for the document"))
	return writeJSON(t.Out, result.Hash)
}

func (c *tokenCommand) make() (tokenResult, error) {
	if (c.Team == "") == (c.Account == "") {
		return tokenResult{}, usageError("give one of --team and --account")
	}
	if c.Team != "" {
		token, hash := ibisdoc.NewTeamToken(ibisid.TeamName(c.Team))
		return tokenResult{
			Token: token,
			Hash:  hash,
		}, nil
	}
	tenant, account, ok := strings.Cut(c.Account, ".")
	if !ok || tenant == "" || account == "" {
		return tokenResult{}, usageError("--account: %q must be TENANT.ACCOUNT", c.Account)
	}
	token, hash := ibisdoc.NewAccountToken(ibisid.TenantName(tenant), account)
	return tokenResult{
		Token: token,
		Hash:  hash,
	}, nil
}
