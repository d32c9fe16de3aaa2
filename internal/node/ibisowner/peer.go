package ibisowner

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Peer is a live node as its member row describes it.
type Peer struct {
	// Member is the name and incarnation of the node.
	Member ibisid.Member
	// Place is the region and failure domain of the node.
	Place ibisid.Place
	// Address is the address for control calls and forwarded requests, as host:port.
	Address string
	// Service is the service of the node's backend server, empty until one has announced itself.
	Service ibisid.ServiceName
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
}
