package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// Claimant declares lapsed members dead, many in one commit.
	Claimant = ibislease.Claimant
	// Deaths is the content of a deaths row: the members that are permanently dead, ordered by name and incarnation.
	Deaths = ibislease.Deaths
)

const (
	// MaxSuspects is the maximum number of suspects that a claimant handles at once.
	MaxSuspects = ibislease.MaxSuspects
	// MaxDeathsBatch is the maximum number of members that one commit declares dead.
	MaxDeathsBatch = ibislease.MaxDeathsBatch
)

// NewClaimant returns a claimant for the member self. No other claimant may ever have the same member, earlier runs of
// the node included, since the member makes the commit ids unique.
func NewClaimant(terms LeaseTerms, self Member) *Claimant { return ibislease.NewClaimant(terms, self) }

// DeathsRowKey returns the table key of the deaths row for a node of the failure domain.
func DeathsRowKey(domain DomainName, name NodeName) string { return ibislease.DeathsKey(domain, name) }

// DecodeDeaths decodes the value of a deaths row; an empty value stands for a row that does not exist.
func DecodeDeaths(value []byte) (Deaths, error) { return ibislease.DecodeDeaths(value) }

// Claimants returns the n live members that handle the suspects of a deaths row, the highest rank first.
func Claimants(deathsRow string, live []Member, n int) []Member {
	return ibislease.ChooseCoordinators(deathsRow, live, n)
}
