package ibisroster

import (
	"encoding/json"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// State is what a backend server takes.
type State string

const (
	// StateServing takes new work.
	StateServing State = "serving"
	// StateLeaving takes no new work and ends soon.
	StateLeaving State = "leaving"
)

// Life names one run of a backend server; a server may start again under the id that it had.
type Life struct {
	// ID is the id that the backend server goes by.
	ID string `json:"id"`
	// Born is when it started, in Unix milliseconds.
	Born int64 `json:"born"`
}

// IsZero reports whether the life names no backend server.
func (l Life) IsZero() bool { return l.ID == "" }

// Server is a backend server as its node knows it.
type Server struct {
	// Life is the run of the backend server.
	Life Life `json:"life"`
	// Service is the service that it belongs to.
	Service ibisid.ServiceName `json:"service"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// State is what it takes.
	State State `json:"state"`
}

// Member is a node and the backend server beside it.
type Member struct {
	// Node names the node; it holds its address too, as another instance may get the same name.
	Node ibisid.NodeName `json:"node"`
	// Incarnation is the run of the node.
	Incarnation ibisid.Incarnation `json:"incarnation"`
	// Place is where the node stands.
	Place ibisid.Place `json:"place"`
	// Address is where other nodes send requests for the backend server.
	Address string `json:"address"`
	// Stopping says that the node ends soon.
	Stopping bool `json:"stopping,omitempty"`
	// Server is the backend server, without a life where none is there.
	Server Server `json:"server,omitzero"`
}

// Serves reports whether the backend server takes new work.
func (m Member) Serves() bool {
	return !m.Server.Life.IsZero() && m.Server.State == StateServing && !m.Stopping
}

// Encode returns the member as the content of its row.
func (m Member) Encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("member %s can't be encoded: %v", m.Node, err))
	}
	return value
}

// DecodeMember reads the content of a member's row; it fails where a field is missing or of another type.
func DecodeMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, fmt.Errorf("row of a member: %w", err)
	}
	if m.Node == "" || m.Address == "" {
		return Member{}, fmt.Errorf("row of a member: node %q and address %q must not be empty", m.Node, m.Address)
	}
	return m, nil
}
