package ibisoperator

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// KeyQuery identifies a key by its name in a naming scheme.
type KeyQuery struct {
	// Scheme is the naming scheme, as KEYSPACE/SCHEME.
	Scheme string
	// Name is the name of the key in the scheme.
	Name string
	// Tenant is the requesting tenant, empty for a tenant without home regions.
	Tenant ibisid.TenantName
}

// Key describes a key and its placement.
type Key struct {
	// Key is the canonical key.
	Key string `json:"key"`
	// Spellings holds the name of the key in each scheme of its key space.
	Spellings map[ibisid.SchemeName]string `json:"spellings"`
	// Places holds the placement of the key in each service that is partitioned by its key space.
	Places []KeyPlace `json:"places,omitempty"`
}

// KeyPlace is the placement of a key in one service.
type KeyPlace struct {
	// Service is the service.
	Service ibisid.ServiceName `json:"service"`
	// Slot is the slot of the key, as SPACE/INDEX.
	Slot string `json:"slot"`
	// Owner is the owner of the slot, empty if unknown.
	Owner ibisid.NodeName `json:"owner,omitempty"`
	// Token is the fencing token of the owner.
	Token ibisid.Token `json:"token,omitempty"`
	// Standbys lists the nodes that take over first if the owner fails.
	Standbys []ibisid.NodeName `json:"standbys,omitempty"`
	// Apart is the reason why the key has an owner of its own: the rule that places it, or that it is hot; empty if the owner
	// of the slot owns the key.
	Apart string `json:"apart,omitempty"`
	// Rules lists the placement rules that apply and the section that defines each.
	Rules []KeyRule `json:"rules,omitempty"`
}

// KeyRule is a placement rule that applies to a key.
type KeyRule struct {
	// Name is the name of the rule.
	Name string `json:"name"`
	// Section is the section that defines the rule.
	Section ibisdoc.SectionName `json:"section"`
	// Teams lists the teams that own the section.
	Teams []ibisid.TeamName `json:"teams,omitempty"`
}
