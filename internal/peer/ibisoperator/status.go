package ibisoperator

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
)

// Status is the state of a node and of the other nodes known to it.
type Status struct {
	// Node is the node that answers.
	Node ibisid.NodeName `json:"node"`
	// Revision is the revision of the document in force at the node.
	Revision ibisid.Revision `json:"revision"`
	// Ready reports whether the node accepts requests.
	Ready bool `json:"ready"`
	// Nodes lists the nodes known to the node, in order of name.
	Nodes []NodeStatus `json:"nodes"`
	// Domains lists the failure domains of the document, in order of region and name.
	Domains []DomainStatus `json:"domains"`
	// Slots lists the slot spaces, in order of name.
	Slots []SlotStatus `json:"slots"`
	// Histograms lists the duration histograms of the node.
	Histograms []Histogram `json:"histograms"`
	// Counts lists the request counters of the node.
	Counts []ibismetric.Count `json:"counts"`
}

// NodeStatus is the state of one node as known to another.
type NodeStatus struct {
	// Name is the node's name.
	Name ibisid.NodeName `json:"name"`
	// Incarnation identifies the run of the node.
	Incarnation ibisid.Incarnation `json:"incarnation,omitempty"`
	// Region is the region of the node.
	Region ibisid.RegionName `json:"region"`
	// Domain is the failure domain of the node.
	Domain ibisid.DomainName `json:"domain"`
	// Service is the service of its backend server, empty if no backend server has announced itself.
	Service ibisid.ServiceName `json:"service,omitempty"`
	// Address is the address at which other nodes call the node.
	Address string `json:"address"`
	// Lease is the state of the node's lease: held, direct (held, and renewed in the table rather than by witnesses), lapsed,
	// or empty if unknown.
	Lease string `json:"lease,omitempty"`
	// Revision is the revision of the document that the node acknowledged, zero if unknown.
	Revision ibisid.Revision `json:"revision,omitempty"`
	// Slots is the number of slots that the node owns.
	Slots int `json:"slots"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	// Region is the region of the failure domain.
	Region ibisid.RegionName `json:"region"`
	// Domain is the name of the failure domain.
	Domain ibisid.DomainName `json:"domain"`
	// State is "in" if the failure domain accepts new work, and "out" if operators have taken it out of service.
	State string `json:"state"`
	// Nodes is the number of live nodes in the failure domain.
	Nodes int `json:"nodes"`
	// Revision is the latest revision that every live node of the failure domain is known to have in force, zero if its
	// watcher, the node that reads the table for the failure domain, did not answer.
	Revision ibisid.Revision `json:"revision,omitempty"`
	// Lagging lists some of the nodes that are still at Revision while others have a later one.
	Lagging []ibisid.NodeName `json:"lagging,omitempty"`
}

// SlotStatus counts the slots of one space.
type SlotStatus struct {
	// Space is the slot space.
	Space string `json:"space"`
	// Slots is the number of slots.
	Slots int `json:"slots"`
	// Owned is the number of slots with a live owner.
	Owned int `json:"owned"`
}

// Histogram is a duration histogram of one tenant or request class.
type Histogram struct {
	// Name is the name of the metric.
	Name string `json:"name"`
	// Value is the name of the tenant or request class.
	Value string `json:"value"`
	// Durations is the content of the histogram.
	Durations ibismetric.Snapshot `json:"times"`
}
