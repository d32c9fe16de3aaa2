package ibisroute

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// PriorityOfRoute is the priority of an account that has none of its own.
	PriorityOfRoute = -1
	// InvalidPriority is the priority of an account whose priority is not a whole number from zero.
	InvalidPriority = -2
	// maxAccountPriority bounds the priorities of accounts: each one in use has a queue of its own at every gate.
	maxAccountPriority = 1000
	// maxAccountRate bounds the requests per second and the burst of an account.
	maxAccountRate = 1_000_000_000
	// maxAccountNameBytes bounds the names of accounts, which travel in a header of each request.
	maxAccountNameBytes = 256
)

var (
	errSharedKey       = errors.New("the key belongs to two accounts")
	errAccountUnread   = errors.New("an account can't be read; the key may be one of its keys")
	errNameInvalid     = fmt.Errorf("name must be 1 to %d printable characters without a space at either end", maxAccountNameBytes)
	errNameDuplicate   = errors.New("another account before it has the same name")
	errBurstIgnored    = errors.New("burst without a rate: it is ignored")
	errKeyEmpty        = errors.New("a key is empty: it is ignored")
	errNoAccount       = errors.New("the list of accounts is empty: only routes without authentication accept requests")
	errPriorityIgnored = fmt.Errorf("priority must be a whole number from 0 to %d: that of the route is used", maxAccountPriority)
)

// KeyHash is the hash by which a key of an account is looked up. Comparing hashes takes no longer the more of a key matches.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// KeyDigest is a short digest of the hash of a key. A node that does not get the key sees by it whether the key still is one of its
// account's. It is never zero.
type KeyDigest uint64

// Digest returns the digest of the hash.
func (h KeyHash) Digest() KeyDigest {
	sum := sha256.Sum256(h[:])
	return KeyDigest(max(1, binary.BigEndian.Uint64(sum[:])))
}

// Account is a client account: its callers share a priority, a rate limit and home regions.
type Account struct {
	// Name is the name of the account.
	Name ibisid.TenantName
	// Priority is the rank of the account's requests, where zero is the most urgent. It takes precedence over that of the route,
	// unless it is PriorityOfRoute.
	Priority int
	// Rate is the number of requests per second that may run on all nodes together; zero for no limit.
	Rate float64
	// Burst is the number of requests beyond the rate that may run at once.
	Burst float64
	// Homes lists the only regions that may run the account's requests; empty for all. The route's list applies, too.
	Homes []ibisid.RegionName
}

// AccountEntry is one entry of the list of accounts.
type AccountEntry struct {
	// Account is the account.
	Account Account
	// Keys lists the hashes of its keys.
	Keys []KeyHash
	// KeysUnread reports that some of its keys could not be read.
	KeysUnread bool
	// Fault is why the account can't be used, nil if it can. Requests with its keys are refused for now.
	Fault error
}

// Accounts is the set of accounts of a configuration; it is immutable.
type Accounts struct {
	byName map[ibisid.TenantName]*Account
	// sorted lists the accounts by name.
	sorted []*Account
	byKey  map[KeyHash]keyOwner
	// digests lists the digests of each account's keys.
	digests map[ibisid.TenantName][]KeyDigest
	// keysUnread reports that a key which is not in byKey may belong to an account.
	keysUnread bool
	faults     []error
}

// keyOwner is the account of a key, or the fault because of which requests with the key are refused.
type keyOwner struct {
	account *Account
	fault   error
	// entry is the index of the account in the list.
	entry int
}

// NewAccounts returns the set of the accounts in a list. An entry with a fault affects no other one; of two entries with one
// name, the first is used.
func NewAccounts(entries []AccountEntry) *Accounts {
	a := &Accounts{
		byName: make(map[ibisid.TenantName]*Account, len(entries)),
		byKey:  make(map[KeyHash]keyOwner),

		digests: make(map[ibisid.TenantName][]KeyDigest, len(entries)),
	}
	if len(entries) == 0 {
		a.faults = append(a.faults, errNoAccount)
	}
	for i, entry := range entries {
		a.add(i, entry)
	}
	for key, owner := range a.byKey {
		if owner.account != nil {
			a.digests[owner.account.Name] = append(a.digests[owner.account.Name], key.Digest())
		}
	}
	a.sorted = slices.SortedFunc(maps.Values(a.byName), func(x, y *Account) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// add adds the entry with the index.
func (a *Accounts) add(index int, entry AccountEntry) {
	fault := func(err error) {
		a.faults = append(a.faults, fmt.Errorf("account %d (%q): %w", index, entry.Account.Name, err))
	}
	account := entry.Account
	owner := keyOwner{
		account: &account,
		entry:   index,
	}
	if _, known := a.byName[account.Name]; known && entry.Fault == nil {
		entry.Fault = errNameDuplicate
	}
	if entry.Fault == nil {
		entry.Fault = account.check(fault)
	}
	if entry.Fault != nil {
		owner.account, owner.fault = nil, entry.Fault
		fault(fmt.Errorf("requests with its keys are refused: %w", entry.Fault))
	} else {
		a.byName[account.Name] = &account
	}
	if entry.KeysUnread {
		a.keysUnread = true
		fault(errors.New("keys can't be read: requests with unknown keys are refused for now"))
	}
	for _, key := range entry.Keys {
		if key == HashKey("") {
			fault(errKeyEmpty)
			continue
		}
		known, ok := a.byKey[key]
		if !ok {
			a.byKey[key] = owner
			continue
		}
		if known.entry != index {
			// The key itself must not be in the logs.
			fault(fmt.Errorf("one of its keys also belongs to account %d: requests with the key are refused", known.entry))
			a.byKey[key] = keyOwner{
				fault: errSharedKey,
				entry: known.entry,
			}
		}
	}
}

// check returns why the account can't be used, nil if it can. Faults that only affect one of its fields are reported and the
// field is replaced.
func (a *Account) check(report func(error)) error {
	if !validAccountName(string(a.Name)) {
		return errNameInvalid
	}
	if !validRate(a.Rate) {
		return fmt.Errorf("rate %g: must be from 0 to %d", a.Rate, maxAccountRate)
	}
	if !validRate(a.Burst) {
		return fmt.Errorf("burst %g: must be from 0 to %d", a.Burst, maxAccountRate)
	}
	if a.Burst > 0 && a.Rate == 0 {
		report(errBurstIgnored)
		a.Burst = 0
	}
	if a.Priority != PriorityOfRoute && (a.Priority < 0 || a.Priority > maxAccountPriority) {
		report(errPriorityIgnored)
		a.Priority = PriorityOfRoute
	}
	return nil
}

func validRate(x float64) bool { return x >= 0 && x <= maxAccountRate }

// validAccountName reports whether the name arrives unchanged as the value of a header.
func validAccountName(name string) bool {
	if name == "" || len(name) > maxAccountNameBytes || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for _, c := range []byte(name) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// EffectivePriority returns the rank of the requests of an account, which may be nil, on a route.
func EffectivePriority(account *Account, route *Route) int {
	if account == nil || account.Priority == PriorityOfRoute {
		return route.Priority
	}
	return account.Priority
}

// CommonHomes returns the regions that may run requests of an account, which may be nil, on a route; empty for all. It reports
// false if there is none.
func CommonHomes(account *Account, route *Route) ([]ibisid.RegionName, bool) {
	if account == nil || len(account.Homes) == 0 {
		return route.Homes, true
	}
	if len(route.Homes) == 0 {
		return account.Homes, true
	}
	var common []ibisid.RegionName
	for _, region := range route.Homes {
		if slices.Contains(account.Homes, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}

// HasAccounts reports whether requests must carry the key of an account, unless their route is exempt.
func (c *Config) HasAccounts() bool { return c.accounts != nil }

// AccountOf returns the account of a key and whether there is one.
func (c *Config) AccountOf(key string) (*Account, bool) {
	account, _ := c.Identify(HashKey(key))
	return account, account != nil
}

// Identify returns the account of the key with the hash, nil if there is none. It fails if a fault of the configuration leaves
// open which account the key belongs to.
func (c *Config) Identify(key KeyHash) (*Account, error) {
	if c.accounts == nil {
		return nil, nil
	}
	owner, ok := c.accounts.byKey[key]
	if !ok && c.accounts.keysUnread {
		return nil, errAccountUnread
	}
	return owner.account, owner.fault
}

// HasKey reports whether the key with the digest is one of an account's, or requests need no key.
func (c *Config) HasKey(account ibisid.TenantName, digest KeyDigest) bool {
	return c.accounts == nil || slices.Contains(c.accounts.digests[account], digest)
}

// Accounts returns the accounts that can be used, sorted by name.
func (c *Config) Accounts() []*Account {
	if c.accounts == nil {
		return nil
	}
	return slices.Clone(c.accounts.sorted)
}

// AccountFaults returns the faults of the accounts, in the order of the list.
func (c *Config) AccountFaults() []error {
	if c.accounts == nil {
		return nil
	}
	return c.accounts.faults
}
