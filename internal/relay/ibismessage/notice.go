package ibismessage

import "github.com/ibisridge/ibisridge/internal/base/ibisset"

// ServerNotice is what a backend server says about itself beside an answer, whichever request it answers.
type ServerNotice struct {
	// RateLimit is the number of requests per second that the server takes from all nodes together, absent if it names none. It
	// holds until an answer names another one or none.
	RateLimit ibisset.Option[float64]
}
