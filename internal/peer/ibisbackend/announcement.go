package ibisbackend

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// AnnouncePeriod is the time between two announcements of a backend server.
	AnnouncePeriod = time.Second
	// AnnounceTimeout is the time without an announcement after which a node treats its backend server as gone.
	AnnounceTimeout = 3 * AnnouncePeriod
)

// State is the stage in the life of a backend server; it decides whether the server accepts new requests.
type State string

const (
	// StateServing means that the backend server accepts new requests.
	StateServing State = "serving"
	// StateDraining means that the backend server completes its running requests and accepts no new ones.
	StateDraining State = "draining"
	// StateLeaving means that the backend server has completed all requests and is about to exit.
	StateLeaving State = "leaving"
)

// Announcement describes a backend server to its node.
type Announcement struct {
	// Service is the service that the backend server belongs to.
	Service ibisid.ServiceName
	// Address is the IP address and port at which the backend server accepts requests.
	Address string
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// Connections is the number of connections that the backend server accepts.
	Connections int
	// ChecksGrants reports whether the backend server rejects requests with a stale grant.
	ChecksGrants bool
	// Cold reports whether the backend server is in a cold start.
	Cold bool
	// Weight is the backend server's relative share of the load; the default is 1.
	Weight float64
	// State is the stage in the life of the backend server.
	State State
	// Run identifies one run of the backend server, so that a restart between two announcements is detected.
	Run string
}

// Validate returns an error that lists every invalid field with its value and the allowed values.
func (a Announcement) Validate() error {
	var errs []error
	addError := func(field string, value any, allowed string) {
		errs = append(errs, fmt.Errorf("%s: %v: must be %s", field, value, allowed))
	}
	if a.Service == "" {
		addError("service", `""`, "the name of a service")
	}
	if host, port, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		addError("address", a.Address, "an IP address and a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		addError("slots", a.Slots, fmt.Sprintf("from 1 to %d", maxSlots))
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		addError("connections", a.Connections, fmt.Sprintf("from 1 to %d", maxConnections))
	}
	if !(a.Weight > 0 && a.Weight <= maxWeight) {
		addError("weight", a.Weight, fmt.Sprintf("above 0 and up to %v", maxWeight))
	}
	switch a.State {
	case StateServing, StateDraining, StateLeaving:
	default:
		addError("state", a.State, "serving, draining or leaving")
	}
	return errors.Join(errs...)
}

const (
	maxWeight      = 100.0
	maxSlots       = 100_000
	maxConnections = 100_000
)
