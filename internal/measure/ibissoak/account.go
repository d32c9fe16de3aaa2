package ibissoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
)

const (
	accountCount = 4
	// keyChangeTime is how long after its write a change of keys may take to be in force at a node in touch, with the slack of a
	// busy machine.
	keyChangeTime = 4 * time.Second
)

// accounts holds the accounts of a soak and their keys.
type accounts struct {
	ledger *ibisapp.Ledger

	mu     sync.Mutex
	random *rand.Rand
	byName []account
	// revoked lists the keys that have been removed.
	revoked []usedKey
	// changedAt is when the keys were last replaced.
	changedAt time.Time
}

// account has a key that the last change added and one that the next change removes.
type account struct {
	name            string
	newest, current string
	// newestSince and currentSince are when the two were added.
	newestSince, currentSince time.Time
}

// keyKind says what a key is.
type keyKind int

const (
	keyNone keyKind = iota
	keyCurrent
	keyRevoked
	keyUnknown
)

// usedKey is a key that a caller sends.
type usedKey struct {
	kind    keyKind
	account string
	key     string
	// since is when the key was added, or revoked if it has been.
	since time.Time
}

func newAccounts(seed uint64, ledger *ibisapp.Ledger) *accounts {
	a := &accounts{
		ledger: ledger,
		random: rand.New(rand.NewPCG(seed, 5)),
	}
	for i := range accountCount {
		a.byName = append(a.byName, account{
			name:    fmt.Sprintf("account-%d", i),
			newest:  a.newKey(),
			current: a.newKey(),
		})
	}
	return a
}

// newKey returns a key that is like no other text.
func (a *accounts) newKey() string {
	key := fmt.Sprintf("soakkey%016x", a.random.Uint64())
	a.ledger.AddSecret(key)
	return key
}

// replaceKeys removes the current key of each account, makes the newest one current and adds another, and returns the accounts as a
// field of the configuration; a is nil without accounts.
func (a *accounts) replaceKeys() string {
	if a == nil {
		return ""
	}
	type tenant struct {
		Name     string   `json:"name"`
		APIKeys  []string `json:"apiKeys"`
		Priority int      `json:"priority"`
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changedAt = time.Now()
	var tenants []tenant
	for i := range a.byName {
		account := &a.byName[i]
		a.revoked = append(a.revoked, usedKey{
			kind:    keyRevoked,
			account: account.name,
			key:     account.current,
			since:   a.changedAt,
		})
		account.current, account.currentSince = account.newest, account.newestSince
		account.newest, account.newestSince = a.newKey(), a.changedAt
		tenants = append(tenants, tenant{
			Name:     account.name,
			APIKeys:  []string{account.current, account.newest},
			Priority: i % 2,
		})
	}
	text, err := json.Marshal(tenants)
	if err != nil {
		panic(err)
	}
	return `"tenants":` + string(text) + ","
}

// draw returns the key of a request: mostly a current one. Without accounts it returns none.
func (a *accounts) draw(random *rand.Rand) usedKey {
	if a == nil {
		return usedKey{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.byName[random.IntN(len(a.byName))]
	switch x := random.Float64(); {
	case x < 0.05:
		return a.revoked[random.IntN(len(a.revoked))]
	case x < 0.08:
		return usedKey{
			kind: keyUnknown,
			key:  "soakkey-unknown",
		}
	}
	return usedKey{
		kind:    keyCurrent,
		account: account.name,
		key:     account.current,
		since:   account.currentSince,
	}
}

// valid reports whether the key is a current one still.
func (a *accounts) valid(k usedKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, account := range a.byName {
		if account.name == k.account {
			return account.current == k.key || account.newest == k.key
		}
	}
	return false
}

// set puts the key into a request, and an account that the caller makes up.
func (k usedKey) set(r *http.Request) {
	if k.kind != keyNone {
		r.Header.Set("Authorization", "Bearer "+k.key)
		r.Header.Set("Tenant", "forged")
	}
}

// checkAccount looks whether the answer to a request with a key is what the key allows.
func (c *caller) checkAccount(id string, r *http.Response, k usedKey, began time.Time) {
	if k.kind == keyNone {
		return
	}
	ledger := c.soak.ledger
	if seen := r.Header.Get(ibisapp.HeaderTenantSeen); r.StatusCode == http.StatusOK && seen != k.account {
		ledger.Report("request %s of the account %q reached a backend server as one of %q", id, k.account, seen)
	}
	switch {
	case k.kind == keyUnknown && r.StatusCode == http.StatusOK:
		ledger.Report("request %s ran with an unknown key", id)
	case began.Sub(k.since) < keyChangeTime || !c.soak.inTouch(c.node) || c.soak.storeRewound():
	case k.kind == keyRevoked && r.StatusCode == http.StatusOK:
		ledger.Report("request %s at %s ran with a key that was revoked %s before", id, c.node.name, began.Sub(k.since))
	case k.kind == keyCurrent && r.StatusCode == http.StatusUnauthorized && c.soak.accounts.valid(k):
		ledger.Report("request %s at %s with a current key got %d", id, c.node.name, r.StatusCode)
	}
}

// storeRewound reports whether the store came back from a copy after the last change of keys, which may lack the change.
func (s *soak) storeRewound() bool {
	s.accounts.mu.Lock()
	changed := s.accounts.changedAt
	s.accounts.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rewoundAt.After(changed)
}

// searchSecrets reports keys in what the nodes have written.
func (s *soak) searchSecrets() error {
	secrets := s.ledger.Secrets()
	if len(secrets) == 0 {
		return nil
	}
	files, err := filepath.Glob(filepath.Join(s.config.Dir, "*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, secret := range secrets {
			if strings.Contains(string(text), secret) {
				s.ledger.Report("a key is in %s", filepath.Base(file))
				break
			}
		}
	}
	return nil
}
