package ibiscli

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// keyCommands holds the commands about keys.
type keyCommands struct {
	Translate   *keyTranslateCommand   `arg:"subcommand:translate" help:"show a key's name in every scheme"`
	Owner       *keyOwnerCommand       `arg:"subcommand:owner" help:"show who owns a key"`
	Explain     *keyExplainCommand     `arg:"subcommand:explain" help:"show names, slot, owner and the rules that apply"`
	Idempotency *keyIdempotencyCommand `arg:"subcommand:idempotency" help:"make an idempotency key for a non-idempotent request"`
	Token       *tokenCommand          `arg:"subcommand:token" help:"make a token for a team or an account"`
}

// Description returns what the commands are for, for their help.
func (keyCommands) Description() string {
	return "Translates keys between naming schemes and finds their owners."
}

func (*keyCommands) examples() string {
	return `  ibisridge key translate mat/catalogue MAT-4711 --document document.json
  ibisridge key owner mat/floor design/00004711
  ibisridge key explain mat/urn urn:kk:mat:4711`
}

// keyFlags name a key, and a node or a file to ask.
type keyFlags struct {
	Scheme   string `arg:"positional,required" placeholder:"KEYSPACE/SCHEME" help:"naming scheme"`
	Name     string `arg:"positional,required" placeholder:"NAME" help:"name of the key in the scheme"`
	Tenant   string `arg:"--tenant" placeholder:"TENANT" help:"tenant that asks, where it has home regions"`
	JSON     bool   `arg:"--json" help:"write the answer as JSON"`
	Document string `arg:"--document" placeholder:"FILE" help:"answer from a document file, without a node"`
	operatorFlags
}

func (f keyFlags) ask(ctx context.Context, t Terminal) (ibisoperator.Key, error) {
	query := ibisoperator.KeyQuery{
		Scheme: f.Scheme,
		Name:   f.Name,
		Tenant: ibisid.TenantName(f.Tenant),
	}
	if f.Document != "" {
		document, err := compileFile(f.Document, t)
		if err != nil {
			return ibisoperator.Key{}, err
		}
		return ibisoperator.Explain(document, query)
	}
	key, err := f.client().Key(ctx, query)
	return key, operatorError(err)
}

func writeSpellings(t Terminal, key ibisoperator.Key) {
	list := table{
		header: []string{"SCHEME", "NAME"},
	}
	for _, scheme := range slices.Sorted(maps.Keys(key.Spellings)) {
		list.add(string(scheme), key.Spellings[scheme])
	}
	list.write(t)
}

func writePlaces(t Terminal, key ibisoperator.Key) {
	list := table{
		header: []string{"SERVICE", "SLOT", "OWNER", "TOKEN", "STANDBYS", "APART"},
	}
	for _, place := range key.Places {
		list.add(string(place.Service), place.Slot, orDash(string(place.Owner)), tokenText(place.Token), orDash(joined(place.Standbys)), orDash(place.Apart))
	}
	list.write(t)
}

func writeRules(t Terminal, key ibisoperator.Key) {
	list := table{
		header: []string{"SERVICE", "RULE", "SECTION", "TEAMS"},
	}
	for _, place := range key.Places {
		for _, rule := range place.Rules {
			list.add(string(place.Service), rule.Name, string(rule.Section), orDash(joined(rule.Teams)))
		}
	}
	list.write(t)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func tokenText(token ibisid.Token) string {
	if token == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(token), 10)
}

func joined[T ~string](values []T) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		texts = append(texts, string(v))
	}
	return strings.Join(texts, " ")
}
