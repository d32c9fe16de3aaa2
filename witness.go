package ibisridge

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// Witness acknowledges heartbeats and promises never to renew a lapsed lease.
	Witness = ibislease.Witness
)

// NewWitness returns a witness without memory of earlier heartbeats; it promises nothing before a term has passed.
func NewWitness(terms LeaseTerms, self Member, now time.Time) *Witness {
	return ibislease.NewWitness(terms, self, now)
}

// ChooseWitnesses returns three witnesses in three failure domains, or nil if the candidates are in fewer domains.
func ChooseWitnesses(self LeaseCandidate, candidates []LeaseCandidate, kept []Member) []Member {
	return ibislease.ChooseWitnesses(self, candidates, kept)
}
