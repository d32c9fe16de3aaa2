package ibislease

import (
	"encoding/json"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// MemberPrefix is the prefix of the table keys of all member rows.
const MemberPrefix = "member/"

// State is the lifecycle state of a member.
type State string

const (
	// StateJoining means that the member may not own slots yet.
	StateJoining State = "joining"
	// StateLive means that the member may own slots.
	StateLive State = "live"
	// StateLeaving means that the member is handing over its slots.
	StateLeaving State = "leaving"
	// StateLeft means that the member ended its own lease for good, so that its name can be used again.
	StateLeft State = "left"
)

// Announcement is the description that a backend server sends to its node.
type Announcement struct {
	// Service is the service of the server.
	Service ibisid.ServiceName `json:"service,omitempty"`
	// ChecksGrants reports whether the server rejects orders without a fenced grant.
	ChecksGrants bool `json:"checksGrants,omitempty"`
	// Weight is the server's share of slots, relative to the weights of other servers.
	Weight float64 `json:"weight,omitempty"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int `json:"slots,omitempty"`
}

// Row is the content of a member row.
type Row struct {
	// Member is the node and its incarnation.
	Member ibisid.Member `json:"member"`
	// Place is the region and the failure domain of the node.
	Place ibisid.Place `json:"place"`
	// PeerAddress is the host:port address at which other nodes connect to the node.
	PeerAddress string `json:"peerAddress"`
	// CallerAddress is the host:port address at which callers connect to the node.
	CallerAddress string `json:"callerAddress"`
	// Announcement is the latest announcement of the node's backend server.
	Announcement Announcement `json:"announcement"`
	// Witnesses are the three members that acknowledge heartbeats; a direct row has none.
	Witnesses []ibisid.Member `json:"witnesses,omitempty"`
	// Direct reports that only commits of the row renew the lease.
	Direct bool `json:"direct,omitempty"`
	// State is the lifecycle state of the member.
	State State `json:"state"`
}

// RowKey returns the table key of the member row of the node.
func RowKey(name ibisid.NodeName) string { return MemberPrefix + string(name) }

// Encode returns the row as JSON.
func (r Row) Encode() []byte { return mustEncode(r) }

// DecodeRow parses a member row from JSON.
func DecodeRow(value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("decode member row: %w", err)
	}
	return row, nil
}

func mustEncode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("encode row: %w", err))
	}
	return value
}
