package ibisrollout

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Acceptance tracks one committed change until the watcher of every live failure domain has it in force.
type Acceptance struct {
	revision ibisid.Revision
	domains  []ibisid.DomainName
	reached  map[ibisid.DomainName]ibisid.Revision
	reports  map[ibisid.DomainName]Report
}

// NewAcceptance returns the state of a newly committed change for the failure domains that have a live node.
func NewAcceptance(revision ibisid.Revision, domains []ibisid.DomainName) *Acceptance {
	return &Acceptance{
		revision: revision,
		domains:  slices.Sorted(slices.Values(domains)),
		reached:  make(map[ibisid.DomainName]ibisid.Revision),
		reports:  make(map[ibisid.DomainName]Report),
	}
}

// ConfirmEvent is the confirmation from the watcher of a failure domain.
type ConfirmEvent struct {
	// Domain is the failure domain.
	Domain ibisid.DomainName
	// Revision is the revision in force on the watcher.
	Revision ibisid.Revision
	// Report summarizes the revisions in force on the nodes of the failure domain.
	Report Report
}

// Confirm records the confirmation of a watcher; a late one with a lower revision is ignored.
func (a *Acceptance) Confirm(e ConfirmEvent) {
	if e.Revision >= a.reached[e.Domain] {
		a.reached[e.Domain] = e.Revision
		a.reports[e.Domain] = e.Report
	}
}

// Live sets the failure domains that have a live node; a domain without live nodes no longer delays acceptance.
func (a *Acceptance) Live(domains []ibisid.DomainName) {
	a.domains = slices.Sorted(slices.Values(domains))
}

// NotReached returns the failure domains whose watcher has not confirmed the change; the change is accepted when the list is
// empty.
func (a *Acceptance) NotReached() []ibisid.DomainName {
	var missing []ibisid.DomainName
	for _, domain := range a.domains {
		if a.reached[domain] < a.revision {
			missing = append(missing, domain)
		}
	}
	return missing
}

// Lagging returns the failure domains with nodes that have not been reported to have the change in force, with the names of
// some of these nodes.
func (a *Acceptance) Lagging() map[ibisid.DomainName][]ibisid.NodeName {
	lagging := make(map[ibisid.DomainName][]ibisid.NodeName)
	for _, domain := range a.domains {
		if a.reached[domain] < a.revision || a.reports[domain].Revision < a.revision {
			lagging[domain] = a.reports[domain].Lagging
		}
	}
	return lagging
}
