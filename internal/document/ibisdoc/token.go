package ibisdoc

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	accountPrefix = "ibis_"
	teamPrefix    = "ibisteam_"
	secretBytes   = 24
	saltBytes     = 16
)

// storedHash is a decoded token hash.
type storedHash struct {
	salt []byte
	sum  [sha256.Size]byte
}

func decodeHashes(tokens []TokenHash) []storedHash {
	hashes := make([]storedHash, len(tokens))
	for i, token := range tokens {
		hashes[i].salt, _ = hex.DecodeString(token.Salt)
		sum, _ := hex.DecodeString(token.SHA256)
		copy(hashes[i].sum[:], sum)
	}
	return hashes
}

// matchesAny reports whether one of the hashes belongs to the token. It always computes the maximum number of
// hashes, so that its duration does not disclose how many tokens an account has.
func matchesAny(hashes []storedHash, token string) bool {
	valid := 0
	for i := range maxTokens {
		var stored storedHash
		usable := 0
		if i < len(hashes) {
			stored = hashes[i]
			usable = 1
		}
		sum := hashToken(stored.salt, token)
		valid |= usable & subtle.ConstantTimeCompare(sum[:], stored.sum[:])
	}
	return valid == 1
}

func hashToken(salt []byte, token string) [sha256.Size]byte {
	text := make([]byte, 0, maxSaltBytes+maxTokenBytes)
	text = append(text, salt...)
	if len(token) > maxTokenBytes {
		token = token[:maxTokenBytes]
	}
	return sha256.Sum256(append(text, token...))
}

const maxTokenBytes = 256

// NewAccountToken returns a new random token for a client account, and its hash for the document.
func NewAccountToken(tenant ibisid.TenantName, account string) (string, TokenHash) {
	return newToken(accountPrefix + string(tenant) + "." + account + "_")
}

// NewTeamToken returns a new random token for a team, and its hash for the document.
func NewTeamToken(team ibisid.TeamName) (string, TokenHash) {
	return newToken(teamPrefix + string(team) + "_")
}

func newToken(prefix string) (string, TokenHash) {
	var secret [secretBytes]byte
	_, _ = rand.Read(secret[:])
	token := prefix + hex.EncodeToString(secret[:])
	return token, HashToken(token)
}

// HashToken returns the hash of a token with a new random salt.
func HashToken(token string) TokenHash {
	var salt [saltBytes]byte
	_, _ = rand.Read(salt[:])
	sum := hashToken(salt[:], token)
	return TokenHash{
		Salt:   hex.EncodeToString(salt[:]),
		SHA256: hex.EncodeToString(sum[:]),
	}
}

// AuthenticateTeam returns the team of a team token, and whether the token is valid. An unknown team and a wrong secret take
// the same time, so the duration does not disclose which teams exist.
func AuthenticateTeam(teams map[ibisid.TeamName]Team, token string) (ibisid.TeamName, bool) {
	name, wellFormed := parseToken(token, teamPrefix)
	team, known := teams[ibisid.TeamName(name)]
	valid := matchesAny(decodeHashes(team.Tokens), token)
	if !wellFormed || !known || !valid {
		return "", false
	}
	return ibisid.TeamName(name), true
}

// parseToken returns the id between the prefix and the secret of a token.
func parseToken(token, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(token, prefix)
	if !ok || len(token) > maxTokenBytes {
		return "", false
	}
	return cutSecret(rest)
}

func cutSecret(text string) (string, bool) {
	end := strings.LastIndexByte(text, '_')
	if end < 0 || len(text)-end-1 != 2*secretBytes {
		return "", false
	}
	return text[:end], true
}

func parseAccountToken(token string) (accountName, bool) {
	id, ok := parseToken(token, accountPrefix)
	if !ok {
		return accountName{}, false
	}
	tenant, account, ok := strings.Cut(id, ".")
	return accountName{
		tenant:  tenant,
		account: account,
	}, ok
}
