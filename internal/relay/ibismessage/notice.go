package ibismessage

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// ServerNotice is what a backend server says about itself beside an answer, whichever request it answers.
type ServerNotice struct {
	// Server is the incarnation of the backend server.
	Server ibisroster.ServerIncarnation
	// RateLimit is the number of requests per second that the server takes from all nodes together, absent if it names none. It
	// holds until an answer names another one or none.
	RateLimit ibisset.Option[float64]
	// Leaving reports that the server accepts no new work and stops soon.
	Leaving bool
}

// IsEmpty reports whether the server says nothing that concerns admission.
func (n ServerNotice) IsEmpty() bool {
	_, limited := n.RateLimit.Get()
	return !limited && !n.Leaving
}
