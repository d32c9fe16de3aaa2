package ibismember

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Node is a live node and its address for control calls.
type Node struct {
	// Name is the node's name.
	Name ibisid.NodeName
	// Place is the region and failure domain of the node.
	Place ibisid.Place
	// Address is the address at which the node receives control calls.
	Address string
}

// Directory lists the live nodes.
type Directory interface {
	// Live returns the live nodes in order of name, including the local node, and a version number that increases with
	// each change; it returns no nodes if the version is the known one.
	Live(known uint64) ([]Node, uint64)
}
