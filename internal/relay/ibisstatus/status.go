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
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// Path is the URL path of a node's status, on the listener of its metrics.
const Path = "/status"

const maxStatusBytes = 4 << 20

// ErrUnavailable reports that a node did not answer with a status.
var ErrUnavailable = errors.New("node gave no status")

// Status is the state of a node and of its dependencies.
type Status struct {
	// Node is the name of the node.
	Node ibisid.NodeName `json:"node"`
	// Region is the region of the node.
	Region ibisid.RegionName `json:"region"`
	// Domain is the failure domain of the node.
	Domain ibisid.DomainName `json:"domain"`
	// Service is the service of its backend server.
	Service ibisid.ServiceName `json:"service"`
	// Ready reports whether the node accepts callers' requests.
	Ready bool `json:"ready"`
	// Stopping reports whether the node is shutting down as planned.
	Stopping bool `json:"stopping,omitempty"`
	// Config is the configuration in force.
	Config Config `json:"config"`
	// Server is the backend server beside the node.
	Server Server `json:"server"`
	// Lease is the node's lease and the ranges of keys that it owns.
	Lease Lease `json:"lease"`
	// Gate is the state of admission to the backend server.
	Gate Gate `json:"gate"`
	// Members is the number of nodes in the roster.
	Members int `json:"members"`
	// Unreachable lists the nodes that this node can't reach.
	Unreachable []ibisid.NodeName `json:"unreachable,omitempty"`
	// Out lists the failure domains that operators have taken out of service.
	Out []ibisid.DomainName `json:"out,omitempty"`
	// Store lists the tables of the store that the node follows.
	Store []Dependency `json:"store"`
	// RequestCounts counts callers' requests by class, outcome and reason since the node started.
	RequestCounts []RequestCount `json:"ended"`
}

// Config is the configuration in force.
type Config struct {
	// Version is the version of the configuration, zero before the first one.
	Version uint64 `json:"version"`
	// Routes is the number of routes.
	Routes int `json:"routes"`
	// Age is the time for which the configuration has been in force.
	Age ibisduration.Duration `json:"age"`
}

// Server is the backend server beside a node.
type Server struct {
	// ID is the id of the server, empty if none has announced itself.
	ID string `json:"id"`
	// State is the state that the server announces.
	State string `json:"state"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Silent reports that the server has ended or that its heartbeats are missing.
	Silent bool `json:"silent,omitempty"`
	// HeartbeatAge is the time since the server's last heartbeat.
	HeartbeatAge ibisduration.Duration `json:"heartbeatAge"`
}

// Lease is a node's lease and the ranges of keys that the node owns under it.
type Lease struct {
	// Remaining is the time until the lease expires.
	Remaining ibisduration.Duration `json:"left"`
	// Ranges is the number of ranges of keys that the node owns.
	Ranges int `json:"ranges"`
	// Keys is the number of keys in these ranges.
	Keys int `json:"keys"`
	// Page is the version of the page that assigns the ranges.
	Page uint64 `json:"page"`
}

// Gate is the state of admission to a backend server.
type Gate struct {
	// Running is the number of requests that the server runs.
	Running int `json:"running"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
	// Admitted is the number of requests admitted since the node started.
	Admitted uint64 `json:"admitted"`
	// Refused is the number of requests refused admission since the node started.
	Refused uint64 `json:"refused"`
}

// Dependency is the state of a table of the store that a node follows.
type Dependency struct {
	// Table is the name of the table.
	Table string `json:"table"`
	// Reachable reports whether the store answered the last request for the table.
	Reachable bool `json:"answers"`
	// Age is the time for which Reachable has had its value.
	Age ibisduration.Duration `json:"age"`
}

// RequestCount is the number of requests of one class that ended with the same outcome and reason.
type RequestCount struct {
	// Class is the requests' class.
	Class ibisid.ClassName `json:"class"`
	// Outcome is the requests' outcome.
	Outcome ibisid.Outcome `json:"outcome"`
	// Reason is the reason why no backend server answered; empty if one did.
	Reason ibismessage.Reason `json:"reason,omitempty"`
	// Count is the number of requests.
	Count uint64 `json:"count"`
}

// Handler responds with the current status as JSON.
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

// Read requests the status of the node whose metrics listener is at the base URL. It fails with ErrUnavailable if the node
// doesn't answer with a valid status.
func Read(ctx context.Context, client *http.Client, baseURL string) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(baseURL, "/")+Path, nil)
	if err != nil {
		return Status{}, fmt.Errorf("request status of %s: %w", baseURL, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return Status{}, fmt.Errorf("%w: %s: %w", ErrUnavailable, baseURL, err)
	}
	var s Status
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &s) != nil {
		return Status{}, fmt.Errorf("%w: response %s from %s is not a valid status", ErrUnavailable, response.Status, baseURL)
	}
	return s, nil
}
