package ibisrollout

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Rollout tracks one committed change until the watcher of every live failure domain has it in force.
type Rollout struct {
	revision  ibisid.Revision
	domains   []ibisid.DomainName
	confirmed map[ibisid.DomainName]ibisid.Revision
	reports   map[ibisid.DomainName]Report
}

// NewRollout returns the state of a newly committed change for the failure domains that have a live node.
func NewRollout(revision ibisid.Revision, domains []ibisid.DomainName) *Rollout {
	return &Rollout{
		revision:  revision,
		domains:   slices.Sorted(slices.Values(domains)),
		confirmed: make(map[ibisid.DomainName]ibisid.Revision),
		reports:   make(map[ibisid.DomainName]Report),
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
func (r *Rollout) Confirm(e ConfirmEvent) {
	if e.Revision >= r.confirmed[e.Domain] {
		r.confirmed[e.Domain] = e.Revision
		r.reports[e.Domain] = e.Report
	}
}

// SetLiveDomains sets the failure domains that have a live node; a domain without live nodes no longer delays acceptance.
func (r *Rollout) SetLiveDomains(domains []ibisid.DomainName) {
	r.domains = slices.Sorted(slices.Values(domains))
}

// UnconfirmedDomains returns the failure domains whose watcher has not confirmed the change; the change is accepted when the
// list is empty.
func (r *Rollout) UnconfirmedDomains() []ibisid.DomainName {
	var missing []ibisid.DomainName
	for _, domain := range r.domains {
		if r.confirmed[domain] < r.revision {
			missing = append(missing, domain)
		}
	}
	return missing
}

// Lagging returns the failure domains with nodes that have not been reported to have the change in force, with the names of
// some of these nodes.
func (r *Rollout) Lagging() map[ibisid.DomainName][]ibisid.NodeName {
	lagging := make(map[ibisid.DomainName][]ibisid.NodeName)
	for _, domain := range r.domains {
		if r.confirmed[domain] < r.revision || r.reports[domain].Revision < r.revision {
			lagging[domain] = r.reports[domain].Lagging
		}
	}
	return lagging
}
