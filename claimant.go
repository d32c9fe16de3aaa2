package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// Claimant declares lapsed members dead, many in one commit.
	Claimant = ibislease.Claimant
	// Deaths is the content of a deaths row: members that are permanently dead, in order of name and incarnation.
	Deaths = ibislease.Deaths
)

const (
	// MaxSuspects is the number of suspects that a claimant works on at once.
	MaxSuspects = ibislease.MaxSuspects
	// MaxDeathsBatch is the number of members that one commit declares dead.
	MaxDeathsBatch = ibislease.MaxDeathsBatch
)

// NewClaimant returns a claimant; its member must be unique to the run, for it makes the commit ids unique.
func NewClaimant(terms LeaseTerms, self Member) *Claimant { return ibislease.NewClaimant(terms, self) }

// DeathsRowKey returns the table key of the row that may list the node among the dead.
func DeathsRowKey(domain DomainName, name NodeName) string { return ibislease.DeathsKey(domain, name) }

// DecodeDeaths reads a deaths row of the table; an empty value is a row that does not exist.
func DecodeDeaths(value []byte) (Deaths, error) { return ibislease.DecodeDeaths(value) }

// Claimants returns the n live members that should work on the suspects of a deaths row, the first in rank first.
func Claimants(deathsRow string, live []Member, n int) []Member {
	return ibislease.ChooseCoordinators(deathsRow, live, n)
}
