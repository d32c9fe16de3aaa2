package ibisdoc

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// accountName identifies an account by its tenant and its name.
type accountName struct {
	tenant  string
	account string
}

// AccountRef is the client account that a token belongs to.
type AccountRef struct {
	// Tenant is the tenant of the account.
	Tenant ibisid.TenantName
	// Account is the name of the account.
	Account string
	routes  []string
	keys    []*ibisname.Selector
	tokens  []storedHash
}

// MayUseRoute reports whether the account may use a route.
func (a AccountRef) MayUseRoute(route string) bool {
	if len(a.routes) == 0 {
		return true
	}
	_, found := slices.BinarySearch(a.routes, route)
	return found
}

// MayUseKey reports whether the account may send requests for a key.
func (a AccountRef) MayUseKey(key ibisname.Key) bool {
	if len(a.keys) == 0 {
		return true
	}
	return slices.ContainsFunc(a.keys, func(s *ibisname.Selector) bool { return s.Match(key) })
}

// AuthenticateAccount returns the client account of a bearer token, and whether the token is valid. An unknown account and a
// wrong secret take the same time, so the duration does not disclose which accounts exist.
func (d *Document) AuthenticateAccount(token string) (AccountRef, bool) {
	name, wellFormed := parseAccountToken(token)
	ref, known := d.accounts[name]
	valid := matchesAny(ref.tokens, token)
	if !wellFormed || !known || !valid {
		return AccountRef{}, false
	}
	return ref, true
}
