package ibislease

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// DeathsPrefix is the prefix of the table keys of all deaths rows.
	DeathsPrefix = "deaths/"
	// DeathsShards is the number of deaths rows of each failure domain.
	DeathsShards = 8
)

// Deaths is the content of a deaths row: members that can never be valid again, in order of name and incarnation.
type Deaths struct {
	// Members are the dead members.
	Members []ibisid.Member `json:"members"`
}

// DeathsKey returns the table key of the deaths row for a node of the failure domain.
func DeathsKey(domain ibisid.DomainName, name ibisid.NodeName) string {
	return fmt.Sprintf("%s%s/%d", DeathsPrefix, domain, xxh3.HashString(string(name))%DeathsShards)
}

// Has reports whether the member is listed.
func (d Deaths) Has(m ibisid.Member) bool {
	_, found := slices.BinarySearchFunc(d.Members, m, compareMembers)
	return found
}

// With returns a copy of the row with the members added.
func (d Deaths) With(members []ibisid.Member) Deaths {
	all := slices.Concat(d.Members, members)
	slices.SortFunc(all, compareMembers)
	return Deaths{Members: slices.Compact(all)}
}

// Without returns a copy of the row with the members removed.
func (d Deaths) Without(members []ibisid.Member) Deaths {
	kept := slices.DeleteFunc(slices.Clone(d.Members), func(m ibisid.Member) bool {
		return slices.Contains(members, m)
	})
	return Deaths{Members: kept}
}

// Encode returns the row as JSON.
func (d Deaths) Encode() []byte { return mustEncode(d) }

// DecodeDeaths parses a deaths row from JSON; an empty value, as of a row that does not exist, gives an empty list.
func DecodeDeaths(value []byte) (Deaths, error) {
	var d Deaths
	if len(value) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return Deaths{}, fmt.Errorf("deaths row: %w", err)
	}
	slices.SortFunc(d.Members, compareMembers)
	return d, nil
}

func compareMembers(a, b ibisid.Member) int {
	if c := strings.Compare(string(a.Name), string(b.Name)); c != 0 {
		return c
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
