package ibisstatus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisduration"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
)

// Path is where a node tells its status, at the address of its metrics.
const Path = "/status"

// maxStatus bounds an answer in bytes.
const maxStatus = 4 << 20

// ErrUnavailable reports a node that gave no status.
var ErrUnavailable = errors.New("node gave no status")

// Status is what a node knows of itself and of what it depends on.
type Status struct {
	// Node is the node.
	Node ibisid.NodeName `json:"node"`
	// Region is where it stands.
	Region ibisid.RegionName `json:"region"`
	// Domain is where it stands.
	Domain ibisid.DomainName `json:"domain"`
	// Service is the service of its backend server.
	Service ibisid.ServiceName `json:"service"`
	// Ready says that it takes callers' requests.
	Ready bool `json:"ready"`
	// Stopping says that it ends as planned.
	Stopping bool `json:"stopping,omitempty"`
	// Config is the configuration in force.
	Config Config `json:"config"`
	// Server is the backend server beside the node.
	Server Server `json:"server"`
	// Lease is what the node owns.
	Lease Lease `json:"lease"`
	// Gate is the admission to the backend server.
	Gate Gate `json:"gate"`
	// Members is the number of nodes known.
	Members int `json:"members"`
	// Unreachable lists nodes that can't be reached from here.
	Unreachable []ibisid.NodeName `json:"unreachable,omitempty"`
	// Out lists failure domains that take no work.
	Out []ibisid.DomainName `json:"out,omitempty"`
	// Store lists what the node follows in the store.
	Store []Dependency `json:"store"`
	// Ended counts callers' requests by how they ended, since the node's start.
	Ended []Ended `json:"ended"`
}

// Config is the configuration in force.
type Config struct {
	// Version is its version, zero before the first.
	Version uint64 `json:"version"`
	// Routes is the number of routes.
	Routes int `json:"routes"`
	// Age is for how long it has been in force.
	Age ibisduration.Duration `json:"age"`
}

// Server is the backend server beside a node.
type Server struct {
	// ID is its id, empty where none has announced itself.
	ID string `json:"id"`
	// State is what it says of itself.
	State string `json:"state"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Silent says that it has ended, or that its heartbeats don't come.
	Silent bool `json:"silent,omitempty"`
	// HeartbeatAge is how long ago its last heartbeat came.
	HeartbeatAge ibisduration.Duration `json:"heartbeatAge"`
}

// Lease is what a node owns.
type Lease struct {
	// Left is how much longer the lease holds.
	Left ibisduration.Duration `json:"left"`
	// Ranges is the number of ranges of keys that the node owns.
	Ranges int `json:"ranges"`
	// Keys is the number of keys in them.
	Keys int `json:"keys"`
	// Page is the version of the page that says so.
	Page uint64 `json:"page"`
}

// Gate is the admission to a backend server.
type Gate struct {
	// Running is the number of requests at the server.
	Running int `json:"running"`
	// Waiting is the number that waits for a slot.
	Waiting int `json:"waiting"`
	// Admitted and Refused count since the node's start.
	Admitted uint64 `json:"admitted"`
	// Refused is the number that was not admitted.
	Refused uint64 `json:"refused"`
}

// Dependency is a table that a node follows.
type Dependency struct {
	// Table is the table.
	Table string `json:"table"`
	// Answers says that the store answered last.
	Answers bool `json:"answers"`
	// Age is for how long that has been so.
	Age ibisduration.Duration `json:"age"`
}

// Ended counts requests that ended alike.
type Ended struct {
	// Class is the class.
	Class ibisid.ClassName `json:"class"`
	// Outcome is the outcome.
	Outcome ibisid.Outcome `json:"outcome"`
	// Reason says why there was no answer of a backend server.
	Reason ibisorder.Reason `json:"reason,omitempty"`
	// Count is the number of requests.
	Count uint64 `json:"count"`
}

// Handler answers with the present status.
func Handler(status func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.Marshal(status())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	})
}

// Read asks the node whose metrics are at the base URL for its status; it fails with ErrUnavailable.
func Read(ctx context.Context, client *http.Client, baseURL string) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(baseURL, "/")+Path, nil)
	if err != nil {
		return Status{}, fmt.Errorf("status of %s: %w", baseURL, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatus))
	if err != nil {
		return Status{}, fmt.Errorf("%w: %s: %w", ErrUnavailable, baseURL, err)
	}
	var s Status
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &s) != nil {
		return Status{}, fmt.Errorf("%w: %s answers %s, which is no status", ErrUnavailable, baseURL, response.Status)
	}
	return s, nil
}
