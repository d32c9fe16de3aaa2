package ibisfleet

import (
	"encoding/json"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

const topologySection = ibisdoc.SectionName("topology")

// turn sets the state of a failure domain in the section of the topology.
func turn(sections ibisdoc.Sections, domain ibisid.DomainName, out bool) error {
	var topology ibisdoc.Topology
	if err := json.Unmarshal(sections[topologySection], &topology); err != nil {
		return fmt.Errorf("read topology: %w", err)
	}
	state := ibisdoc.DomainIn
	if out {
		state = ibisdoc.DomainOut
	}
	for _, region := range topology.Regions {
		if d, ok := region.Domains[domain]; ok {
			d.State = state
			region.Domains[domain] = d
		}
	}
	text, err := json.Marshal(topology)
	if err != nil {
		return fmt.Errorf("write topology: %w", err)
	}
	sections[topologySection] = text
	return nil
}
