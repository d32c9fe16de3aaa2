package ibisroster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// State is whether a backend server accepts new work.
type State string

const (
	// StateServing means that the server accepts new work.
	StateServing State = "serving"
	// StateDraining means that the server finishes its requests, accepts no new work and stops soon.
	StateDraining State = "leaving"
)

// ServerIncarnation identifies one run of a backend server, which may restart under the same id.
type ServerIncarnation struct {
	// ID is the id that the backend server announces.
	ID string `json:"id"`
	// StartedAt is the start time of the run in Unix milliseconds.
	StartedAt int64 `json:"born"`
}

// IsZero reports whether the value identifies no backend server.
func (i ServerIncarnation) IsZero() bool { return i.ID == "" }

// Server describes a backend server as its node last saw it.
type Server struct {
	// Incarnation identifies the run.
	Incarnation ServerIncarnation `json:"life"`
	// Service is the service that the server belongs to.
	Service ibisid.ServiceName `json:"service"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// State is whether the server accepts new work.
	State State `json:"state"`
}

// Member describes a node and the backend server beside it.
type Member struct {
	// Node is the node's name. It includes the address, since another instance may be given the same name.
	Node ibisid.NodeName `json:"node"`
	// Incarnation identifies the run of the node.
	Incarnation ibisid.Incarnation `json:"incarnation"`
	// Place is the node's region and failure domain.
	Place ibisid.Place `json:"place"`
	// Address is the address to which other nodes send requests for the backend server.
	Address string `json:"address"`
	// Stopping reports that the node shuts down soon.
	Stopping bool `json:"stopping,omitempty"`
	// Server is the backend server; its Incarnation is zero if there is none.
	Server Server `json:"server,omitzero"`
}

// AcceptsWork reports whether the member has a backend server that accepts new work and the node isn't stopping.
func (m Member) AcceptsWork() bool {
	return !m.Server.Incarnation.IsZero() && m.Server.State == StateServing && !m.Stopping
}

// Encode returns the value of the member's row.
func (m Member) Encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encode member %s: %v", m.Node, err))
	}
	return value
}

// DecodeMember decodes the value of a member's row; it fails if a field has the wrong type, the node is missing or the
// address can't be one.
func DecodeMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, fmt.Errorf("decode member row: %w", err)
	}
	if m.Node == "" {
		return Member{}, errors.New("decode member row: node must not be empty")
	}
	if !isAddress(m.Address) {
		return Member{}, fmt.Errorf("decode member row: address %q must be a host and a port from 1 to 65535", m.Address)
	}
	return m, nil
}

func isAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return false
	}
	target, err := url.Parse("http://" + text)
	return err == nil && target.Host == text && target.Hostname() != ""
}
