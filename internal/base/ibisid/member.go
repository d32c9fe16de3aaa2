package ibisid

// Member identifies one run of a node by its name and incarnation.
type Member struct {
	// Name is the node's name.
	Name NodeName `json:"name"`
	// Incarnation identifies the run of the node.
	Incarnation Incarnation `json:"incarnation"`
}

// Place is the region and failure domain of a node.
type Place struct {
	// Region is the region of the node.
	Region RegionName `json:"region"`
	// Domain is the failure domain of the node.
	Domain DomainName `json:"domain"`
}

// IsZero reports whether the member has no node name.
func (m Member) IsZero() bool { return m.Name == "" }
