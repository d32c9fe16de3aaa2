package ibisscenario

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

const ownerUsage = "owner KEYSPACE/SCHEME NAME NODE|not NODE token=TOKEN [at=NODE]"

// expectOwner checks which node owns a key in every service that is divided by its key space.
func (w *world) expectOwner(args []string) error {
	in := parseWords(args, "token", "at")
	if len(in.plain) < 3 {
		return errors.New("usage: expect " + ownerUsage)
	}
	n, err := w.anyNode(in.or("at", ""))
	if err != nil {
		return err
	}
	client := ibisoperator.NewClient("http://"+n.at(operatorPort), in.or("token", ""), w.client)
	key, err := client.Key(context.Background(), ibisoperator.KeyQuery{
		Scheme: in.plain[0],
		Name:   in.plain[1],
	})
	if err != nil {
		return err
	}
	want := strings.Join(in.plain[2:], " ")
	unwanted, not := strings.CutPrefix(want, "not ")
	for _, place := range key.Places {
		if !not && place.Owner != ibisid.NodeName(want) || not && (place.Owner == "" || place.Owner == ibisid.NodeName(unwanted)) {
			return fmt.Errorf("owner in %s is %q, want %s", place.Service, place.Owner, want)
		}
	}
	return nil
}
